export * from "./answer_headers.ts";
export * from "./caller_answer.ts";
export * from "./create_configuration_index.ts";
export * from "./create_router.ts";
export * from "./enums.ts";
export * from "./event_log.ts";
export * from "./ports.ts";
export * from "./to_router_settings.ts";

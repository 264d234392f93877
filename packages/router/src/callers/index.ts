export * from "./create_body_intake.ts";
export * from "./create_byte_budget.ts";
export * from "./create_caller_connections.ts";
export * from "./create_intake.ts";
export * from "./create_memory_watch.ts";

export * from "./caller_exchange.ts";
export * from "./create_configuration_index.ts";
export {
  type Connect,
  type UpstreamAddress,
} from "./create_connection_pool.ts";
export * from "./create_router.ts";
export * from "./create_router_metrics.ts";
export {
  type WhereAnswer,
  type WhereCandidate,
  type WherePlace,
} from "./create_where_handler.ts";
export * from "./end_to_end_headers.ts";
export * from "./enums.ts";
export * from "./event_log.ts";
export * from "./ports.ts";
export * from "./to_router_settings.ts";

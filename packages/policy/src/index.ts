export * from "./choose_upstream.ts";
export * from "./create_admission.ts";
export * from "./create_drain_rate.ts";
export * from "./create_request_queue.ts";
export * from "./create_retry_budget.ts";
export * from "./create_upstream_limit.ts";
export * from "./queued_request.ts";

export * from "./create_broker.ts";
export * from "./create_pool.ts";
export * from "./poll_load.ts";
export * from "./sync_claims.ts";

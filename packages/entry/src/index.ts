export * from "./create_entry.ts";
export * from "./attempt.ts";
export * from "./call.ts";
export type { Permit, PermitClient } from "./create_permit_client.ts";
export * from "./read_call.ts";
export * from "./run_model_attempt.ts";
export * from "./run_service_attempt.ts";
export * from "./serve_call.ts";
export * from "./write_problem.ts";

export * from "./create_backer_ledger.ts";
export * from "./create_leader_tenure.ts";
export * from "./create_list_history.ts";
export * from "./create_membership.ts";
export * from "./create_upstream_account.ts";
export * from "./lease_times.ts";
export * from "./share_of_limit.ts";

export * from "./claim_key.ts";
export * from "./create_claim_holder.ts";
export * from "./list_claim_holders.ts";

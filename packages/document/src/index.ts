export * from "./check_document.ts";
export * from "./document_schema.ts";
export * from "./parse_document.ts";
export * from "./classify_request.ts";
export * from "./pools.ts";
export * from "./resolve_lease.ts";

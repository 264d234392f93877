export * from "./handle_admin_request.ts";
export * from "./process_status.ts";

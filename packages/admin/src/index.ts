export * from "./handle_admin_request.ts";

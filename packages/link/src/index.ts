export * from "./create_link.ts";
export * from "./create_reconnecting_link.ts";
export * from "./messages.ts";
export * from "./serve_links.ts";

export * from "./create_link.ts";
export * from "./keep_link.ts";
export * from "./messages.ts";
export * from "./serve_links.ts";

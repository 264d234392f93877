export * from "./settings_schema.ts";
export * from "./read_settings.ts";
export * from "./router_settings_schema.ts";

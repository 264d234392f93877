export * from "./settings_schema.ts";
export * from "./read_settings.ts";

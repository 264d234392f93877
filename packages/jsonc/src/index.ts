export * from "./describe_fields.ts";
export * from "./find_nearest_name.ts";
export * from "./parse_checked.ts";

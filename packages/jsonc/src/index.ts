export * from "./find_nearest_name.ts";
export * from "./parse_checked.ts";

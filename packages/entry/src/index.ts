export * from "./create_entry.ts";

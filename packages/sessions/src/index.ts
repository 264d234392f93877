export * from "./call_fleet.ts";
export * from "./start_fleet.ts";

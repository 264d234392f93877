export * from "./create_timeline.ts";

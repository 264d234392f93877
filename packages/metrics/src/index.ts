export * from "./create_metrics.ts";

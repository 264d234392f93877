export * from "./run_process.ts";

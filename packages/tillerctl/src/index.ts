export * from "./command.ts";
export * from "./run_command.ts";

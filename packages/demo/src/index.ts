export * from "./prepare_document.ts";
export * from "./run_demo.ts";
export * from "./run_stand_ins.ts";
export * from "./sample_requests.ts";

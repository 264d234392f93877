export * from "./list_sample_requests.ts";
export * from "./prepare_document.ts";
export * from "./run_demo.ts";
export * from "./run_stand_ins.ts";

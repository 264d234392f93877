export * from "./enums.ts";
export * from "./error_kinds.ts";
export * from "./clock.ts";
export * from "./log.ts";
export * from "./ids.ts";
export * from "./read_limited.ts";
export * from "./create_subject.ts";
export * from "./field_readers.ts";

export * from "./create_timeline.ts";
export * from "./collect_timelines.ts";
export * from "./order_events.ts";
export * from "./filter_events.ts";
export * from "./format_events.ts";

export * from "./create_fleet_view.ts";
export * from "./create_http_platform.ts";
export * from "./exchange_fleet_view.ts";
export * from "./platform_port.ts";
export * from "./resolve_leader.ts";
export * from "./watch_platform.ts";

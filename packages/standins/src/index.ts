export * from "./check_containment.ts";
export * from "./check_named_limits.ts";
export * from "./create_stand_in_engine.ts";
export * from "./create_stand_in_platform.ts";
export * from "./create_stand_in_service.ts";
export * from "./create_relay.ts";
export * from "./lease_port.ts";
export * from "./start_process_fleet.ts";

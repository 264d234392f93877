export * from "./create_peer_network.ts";
export * from "./create_published_items.ts";
export * from "./create_shared_facts.ts";
export * from "./exchange_facts.ts";
export * from "./exchange_published.ts";
export * from "./peer_messages.ts";

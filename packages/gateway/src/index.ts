/**
 * Public names of the gateway: one box between callers and backend servers.
 */

export * from "./caller-protocol.js";
export * from "./gateway.js";
export * from "./settings.js";
export * from "./state-store.js";

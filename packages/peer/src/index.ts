/**
 * Protocol between the processes of the system.
 */

export * from "./connect-client.js";
export * from "./connect-server.js";
export * from "./payload.js";
export * from "./peer-network.js";
export * from "./subscriptions.js";

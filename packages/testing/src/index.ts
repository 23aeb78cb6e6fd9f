/**
 * Stand-ins and launchers for tests, demo and measurements. Private to the workspace.
 */

export * from "./launch/deployment.js";
export * from "./standins/backend-server.js";
export * from "./standins/object-store.js";
export * from "./standins/platform-server.js";

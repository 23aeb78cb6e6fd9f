/**
 * The store of the settings tree and its HTTP client.
 */

export * from "./change-object.js";
export * from "./http-store.js";
export * from "./settings-store.js";

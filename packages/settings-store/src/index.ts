/**
 * The interface of the settings store, its HTTP client, and conditional changes of an object.
 */

export * from "./change-object.js";
export * from "./http-store.js";
export * from "./settings-store.js";

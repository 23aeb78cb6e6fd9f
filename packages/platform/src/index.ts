/**
 * The platform's object API and its HTTP adapter.
 */

export * from "./conditional.js";
export * from "./http-platform.js";
export * from "./platform.js";

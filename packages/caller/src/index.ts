/**
 * Client library for callers.
 */

export * from "./caller.js";

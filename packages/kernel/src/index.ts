/**
 * Types and functions that all packages share: branded ids and units, results,
 * hashing, and the types of clock and random source. No I/O.
 */

export * from "./environment.js";
export * from "./hash.js";
export * from "./ids.js";
export * from "./result.js";

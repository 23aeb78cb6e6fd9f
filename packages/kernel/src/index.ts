/**
 * What all packages share: branded ids and units, results, hashing, and the
 * clock and random source that decisions are given. No I/O.
 */

export * from "./environment.js";
export * from "./hash.js";
export * from "./ids.js";
export * from "./result.js";

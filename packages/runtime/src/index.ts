/**
 * What all programs share: logs, time, streams, addresses, exit codes.
 */

export * from "./addresses.js";
export * from "./clock.js";
export * from "./exit-codes.js";
export * from "./line-output.js";
export * from "./log.js";
export * from "./rate-limited-log.js";
export * from "./streams.js";

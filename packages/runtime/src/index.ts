/**
 * What all programs share: logs, time, streams, addresses, exit codes.
 */

export * from "./addresses.js";
export * from "./clock.js";
export * from "./exit-codes.js";
export * from "./log-budget.js";
export * from "./log.js";
export * from "./output.js";
export * from "./streams.js";

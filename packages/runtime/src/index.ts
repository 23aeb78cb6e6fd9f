/**
 * Modules that all programs share: logs, clocks, timers as streams, addresses and exit codes.
 */

export * from "./addresses.js";
export * from "./clock.js";
export * from "./exit-codes.js";
export * from "./line-output.js";
export * from "./log.js";
export * from "./next-poll.js";
export * from "./rate-limited-log.js";
export * from "./streams.js";

/**
 * What all programs share: start and stop, logs, time, streams, addresses.
 */

export * from "./addresses.js";
export * from "./bounded-call.js";
export * from "./clock.js";
export * from "./log-budget.js";
export * from "./log.js";
export * from "./operators-interface.js";
export * from "./output.js";
export * from "./program.js";
export * from "./streams.js";
export * from "./task.js";

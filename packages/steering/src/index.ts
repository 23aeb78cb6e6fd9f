/**
 * Public names of the pure steering decisions: no I/O, time passed in.
 */

export * from "./carriers.js";
export * from "./cold-admission.js";
export * from "./configuration.js";
export * from "./directory.js";
export * from "./membership.js";
export * from "./recent-keys.js";
export * from "./rendezvous.js";
export * from "./repeat-budget.js";
export * from "./replica.js";
export * from "./route-table.js";
export * from "./server-catalog.js";
export * from "./server-choice.js";
export * from "./server-record.js";
export * from "./server-standing.js";
export * from "./settings-places.js";
export * from "./sliding-count.js";
export * from "./store-watch-duty.js";
export * from "./weighted-rotation.js";
export * from "./work-estimate.js";

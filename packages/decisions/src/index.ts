/**
 * Public names of the decisions of a box: no I/O, time and chance passed in.
 */

export * from "./admit/admission.js";
export * from "./admit/returning-callers.js";
export * from "./admit/route-table.js";
export * from "./admit/weighted-split.js";
export * from "./choose/choice.js";
export * from "./choose/recent-keys.js";
export * from "./choose/rendezvous.js";
export * from "./choose/round-trips.js";
export * from "./choose/server-choice.js";
export * from "./choose/service-load.js";
export * from "./choose/work-estimate.js";
export * from "./customers/copy-age.js";
export * from "./customers/key-table.js";
export * from "./give-up/refusals.js";
export * from "./give-up/stop-schedule.js";
export * from "./give-up/time-limits.js";
export * from "./limits/shared-limits.js";
export * from "./membership/member-record.js";
export * from "./membership/membership-times.js";
export * from "./membership/membership.js";
export * from "./membership/probing.js";
export * from "./place/advertised-boxes.js";
export * from "./place/directory.js";
export * from "./place/homes.js";
export * from "./place/place-settings.js";
export * from "./retry/answer-verdict.js";
export * from "./retry/retry-budget.js";
export * from "./retry/retry-decision.js";
export * from "./retry/sliding-count.js";
export * from "./servers/load-estimate.js";
export * from "./servers/server-catalog.js";
export * from "./servers/server-record.js";
export * from "./servers/server-state.js";
export * from "./servers/shared-evidence.js";
export * from "./servers/slow-start.js";
export * from "./shared-state/configuration.js";
export * from "./shared-state/copy-refresh.js";
export * from "./shared-state/kinds.js";
export * from "./shared-state/relay-role.js";
export * from "./shared-state/replica.js";

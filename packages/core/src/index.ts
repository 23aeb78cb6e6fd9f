/**
 * Public names of the pure core: kernel, settings tree, shared state and
 * decisions. Nothing here does I/O.
 */

export * from "./decide/active-request.js";
export * from "./decide/bucket.js";
export * from "./decide/capacity-lease.js";
export * from "./decide/explain.js";
export * from "./decide/goal.js";
export * from "./decide/lookup.js";
export * from "./decide/overload.js";
export * from "./decide/presence.js";
export * from "./decide/rate-meter.js";
export * from "./decide/region-capacity.js";
export * from "./decide/relays.js";
export * from "./decide/retry-budget.js";
export * from "./decide/router.js";
export * from "./decide/server-directory.js";
export * from "./decide/server-pool.js";
export * from "./decide/shift.js";
export * from "./decide/spread.js";
export * from "./decide/tickets.js";
export * from "./decide/traffic-plan.js";
export * from "./decide/warmth.js";
export * from "./errors/errors.js";
export * from "./kernel/assert.js";
export * from "./kernel/environment.js";
export * from "./kernel/hash.js";
export * from "./kernel/ids.js";
export * from "./kernel/result.js";
export * from "./settings/client-blocks.js";
export * from "./settings/compiled.js";
export * from "./settings/tree.js";
export * from "./settings/values.js";
export * from "./state/members.js";
export * from "./state/records.js";
export * from "./state/traffic.js";

/**
 * An operator's order to move a service's traffic to servers of another version, as
 * stored. The fields are part of the snapshots that boxes exchange.
 */

import type { Milliseconds, ServerVersion, ServiceId } from "@chalkdale/kernel";

/** State of an order; final once it is `completed` or `rolledBack`. */
export type RolloutState = "running" | "completed" | "rolledBack";

/** One order. Each service has at most one. */
export interface RolloutOrder {
    readonly service: ServiceId;
    /** Version that the traffic is to move to. */
    readonly targetVersion: ServerVersion;
    /** Time after the order by which it must be decided. */
    readonly duration: Milliseconds;
    /** State that boxes wrote for this target version; undefined until the first write. */
    readonly state: RolloutState | undefined;
    /** Revision at which the object was created. With service and target version it identifies the order. */
    readonly createdAt: number;
    /** Revision of the object's last change; the next write is conditional on it. */
    readonly revision: number;
}

/** Identity of an order among all current and past ones. */
export interface RolloutId {
    readonly service: ServiceId;
    readonly targetVersion: ServerVersion;
    readonly createdAt: number;
}

/** True if both are the same order. */
export function isSameRollout(a: RolloutId, b: RolloutId): boolean {
    return a.service === b.service && a.targetVersion === b.targetVersion && a.createdAt === b.createdAt;
}

/** Bounds on the exposure of a version that is not proven. */
export interface RolloutBounds {
    /**
     * Maximum share of the service's requests between an order and its end that may reach a bad version, from 0
     * to 1.
     */
    readonly exposedShare: number;
    /** Number of requests that may reach it in addition to the share. */
    readonly exposedAllowance: number;
    /** Time after a bad version's 50th bad answer from which it must get no more requests. */
    readonly rollbackTime: Milliseconds;
}

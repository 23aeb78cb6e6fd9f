/**
 * An operator's order to move a service's traffic onto servers of another
 * version, as the store keeps it.
 *
 * Owns nothing; the fields stand in the snapshots between boxes.
 */

import type { Milliseconds, ServerVersion, ServiceId } from "@chalkdale/kernel";

/** Outcome of an order; final once it is `completed` or `rolledBack`. */
export type RolloutState = "running" | "completed" | "rolledBack";

/** One order. There is one at most for each service. */
export interface RolloutOrder {
    readonly service: ServiceId;
    /** Version of the servers that the traffic is to move to. */
    readonly targetVersion: ServerVersion;
    /** Time since the order in which it is to be decided. */
    readonly duration: Milliseconds;
    /** State that the boxes wrote for this target version; undefined before they did. */
    readonly state: RolloutState | undefined;
    /** Revision of the object at its creation: with service and target version it tells one order from another. */
    readonly createdAt: number;
    /** Revision of the object's last change, the condition of the next write. */
    readonly revision: number;
}

/** One order among all that there ever were. */
export interface RolloutId {
    readonly service: ServiceId;
    readonly targetVersion: ServerVersion;
    readonly createdAt: number;
}

/** True if both are the same order. */
export function isSameRollout(a: RolloutId, b: RolloutId): boolean {
    return a.service === b.service && a.targetVersion === b.targetVersion && a.createdAt === b.createdAt;
}

/** Bounds on what a version that is not proven may get. */
export interface RolloutBounds {
    /** Part of the service's requests between an order and its end that reach a version which turns out bad, at most. */
    readonly exposedShare: number;
    /** Requests besides. */
    readonly exposedAllowance: number;
    /** Time after its 50th bad answer from which a bad version must get nothing. */
    readonly rollbackTime: Milliseconds;
}

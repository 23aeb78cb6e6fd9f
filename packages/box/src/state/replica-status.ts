/**
 * Status of each replica of a box, apart from its content: when the store last confirmed it, and its pending reads.
 *
 * Owned by the replicator; its store follower and its snapshot catch-up write to it.
 */

import type { SharedKind } from "@chalkdale/decisions";

/** Status of the replica of one kind. Times are of the box's clock, in milliseconds. */
export interface ReplicaStatus {
    /** When the store last confirmed, to this box or to another one, that the replica is complete. */
    confirmedAt: number;
    /**
     * The same, but a first list, which may be stale, doesn't count. (It advances `confirmedAt`, so that a box that has
     * just started waits for its region's relay.) Only this time justifies rejecting a request for an entry that the
     * replica lacks.
     */
    provenAt: number;
    /**
     * When a snapshot will be read from a box whose replica holds more; once that read runs, when it becomes overdue.
     */
    snapshotReadAt: number | undefined;
    /** Aborts the watch of the store that is pending. */
    watch: AbortController | undefined;
}

/** Age of a replica that was never confirmed, in milliseconds: 11 days. */
export const unconfirmedAge = 1e9;

/** Creates the statuses of replicas that were never confirmed. */
export function createReplicaStatuses(): Readonly<Record<SharedKind, ReplicaStatus>> {
    return {
        configuration: createStatus(),
        servers: createStatus(),
        closedZones: createStatus(),
        rollouts: createStatus(),
    };
}

function createStatus(): ReplicaStatus {
    return { confirmedAt: -unconfirmedAge, provenAt: -unconfirmedAge, snapshotReadAt: undefined, watch: undefined };
}

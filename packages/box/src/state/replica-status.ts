/**
 * What a box knows of each of its copies beside the copy itself.
 *
 * Owned by the replicator; its store follower and its catch-up write to it.
 */

import type { SharedKind } from "@chalkdale/decisions";

/** Status of the copy of one kind. */
export interface ReplicaStatus {
    /** When the store last confirmed, to this box or through another, that the copy is complete. */
    confirmedAt: number;
    /**
     * The same without the credit of a first list that may be old, by which a box that has just started waits for its
     * region's relay: what the copy lacks may be denied by this one only.
     */
    provenAt: number;
    /** When a snapshot will be read from a box that knows more. */
    snapshotReadAt: number | undefined;
    /** The watch that is waiting now. */
    watch: AbortController | undefined;
}

/** Age that stands for a copy that was never confirmed, in milliseconds: 11 days. */
export const unconfirmedAge = 1e9;

/** Creates the statuses of copies that nobody has confirmed yet. */
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

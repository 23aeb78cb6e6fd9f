/**
 * Keeps the replicas of shared state up to date: from the store while this box follows it, and from updates, digests
 * and snapshots of other boxes. Any one source suffices.
 *
 * Owns the age of each replica; the replicas themselves belong to the shared state.
 */

import {
    type ItemChange,
    type RelayRole,
    type SharedItems,
    type SharedKind,
    type UnservedBoxes,
} from "@chalkdale/decisions";
import { type BoxId, type Clock, type Milliseconds, milliseconds, type RegionId } from "@chalkdale/kernel";
import type { Log } from "@chalkdale/runtime";
import { createReplicaStatuses, unconfirmedAge } from "./replica-status.js";
import type { SharedState } from "./shared-state.js";
import { createSnapshotCatchUp } from "./snapshot-catch-up.js";
import type { ReplicaProgress, StateDigest, StateUpdate } from "./state-messages.js";
import type { StatePeer, StateReader } from "./state-reader.js";
import type { StateStore } from "./state-store.js";
import { startStoreFollower } from "./store-follower.js";

/** What the replicator of one box depends on. */
export interface ReplicatorOptions {
    readonly clock: Clock;
    readonly random: () => number;
    readonly log: Log;
    readonly region: RegionId;
    readonly state: SharedState;
    readonly store: StateStore;
    readonly relayRole: RelayRole;
    /** Boxes that the store doesn't serve, as far as this box knows. */
    readonly unservedBoxes: UnservedBoxes;
    readonly self: BoxId;
    /** Kinds that the box replicates. */
    readonly kinds: readonly SharedKind[];
    readonly readState: StateReader;
    /** Relays changes to the boxes of the region. */
    readonly publish: (update: StateUpdate) => void;
    /** Sends this box's digest to the boxes of its region at once. */
    readonly sendDigestToRegion: () => void;
    readonly signal: AbortSignal;
}

/** The replicator of one box: the age of its replicas, and the handlers of other boxes' messages. */
export interface Replicator {
    /** How far the replicas of this box reach, as sent to other boxes. */
    readonly digest: () => StateDigest;
    /** Milliseconds since the store stopped answering; 0 while it answers. */
    readonly storeUnavailableFor: () => number;
    /** Time since the store confirmed the configuration, to this box or to another one. */
    readonly configurationAge: () => Milliseconds;
    /**
     * Time since the store confirmed the replica of a kind, to this box or to another one; undefined if it never did.
     */
    readonly provenAge: (kind: SharedKind) => Milliseconds | undefined;
    /**
     * The same, but a first list, which may be stale, counts in part; `unconfirmedAge` if there was no confirmation.
     */
    readonly confirmedAge: (kind: SharedKind) => Milliseconds;
    /** True while this box follows the store: other boxes then rely on its digests. */
    readonly isFollowingStore: () => boolean;
    /** Takes another box's digest. */
    readonly onDigest: (peer: StatePeer, digest: StateDigest) => void;
    /** Takes changes that another box relayed. */
    readonly onUpdate: (update: StateUpdate) => void;
}

/** Starts the replicator; it stops when the signal aborts. */
export function startReplicator(options: ReplicatorOptions): Replicator {
    const { clock, relayRole, self, state, unservedBoxes } = options;
    const statuses = createReplicaStatuses();
    const follower = startStoreFollower({ ...options, statuses });
    const onReplicaProgress = createSnapshotCatchUp({
        ...options,
        statuses,
        alwaysFollowsStore: relayRole.alwaysFollowsStore,
        isStoreUnavailable: () => follower.isStoreUnavailable() || unservedBoxes.has(self, clock()),
        isStale: relayRole.isStale,
    });

    return {
        digest: () => ({
            configuration: provenReplicaProgress("configuration"),
            servers: replicaProgress("servers"),
            closedZones: replicaProgress("closedZones"),
            ...unservedBoxes.has(self, clock()) ? { turnedAway: true } : {},
            ...options.kinds.includes("rollouts") ? { rollouts: provenReplicaProgress("rollouts") } : {},
        }),
        storeUnavailableFor: follower.storeUnavailableFor,
        configurationAge: () => provenAge("configuration"),
        provenAge(kind) {
            const age = provenAge(kind);
            return age < unconfirmedAge ? age : undefined;
        },
        confirmedAge,
        isFollowingStore: () =>
            relayRole.alwaysFollowsStore() || options.kinds.some(kind => statuses[kind].watch !== undefined),
        onDigest(peer, digest) {
            const isChanged = unservedBoxes.onPeerReport(peer.box, digest.turnedAway === true, clock());
            for (const kind of options.kinds) {
                const progress = digest[kind];
                if (progress !== undefined) {
                    onReplicaProgress(kind, peer, progress);
                }
            }
            if (isChanged && peer.region === options.region) {
                follower.wake();
            }
        },
        onUpdate: update => applyUpdate(update.kind, update),
    };

    function replicaProgress(kind: SharedKind): ReplicaProgress {
        const replica = state.replica(kind);
        return {
            changed: replica.lastChangeRevision(),
            complete: replica.revision() ?? -1,
            age: Math.round(confirmedAge(kind)),
        };
    }

    function confirmedAge(kind: SharedKind): Milliseconds {
        return milliseconds(Math.min(unconfirmedAge, clock() - statuses[kind].confirmedAt));
    }

    function provenReplicaProgress(kind: SharedKind): ReplicaProgress {
        return { ...replicaProgress(kind), provenAge: Math.round(provenAge(kind)) };
    }

    function provenAge(kind: SharedKind): Milliseconds {
        return milliseconds(Math.min(unconfirmedAge, clock() - statuses[kind].provenAt));
    }

    function applyUpdate<Kind extends SharedKind>(kind: Kind, update: StateUpdate): void {
        const changes = update.changes as readonly ItemChange<SharedItems[Kind]>[];
        state.replica(kind).applyChanges(update.since, changes, update.complete);
    }
}

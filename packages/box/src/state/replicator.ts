/**
 * Keeps the copies of shared state up to date: from the store while that is
 * this box's part, and from what other boxes say. Any one source suffices.
 *
 * Owns the age of each copy; the copies themselves belong to the shared state.
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

export interface ReplicatorOptions {
    readonly clock: Clock;
    readonly random: () => number;
    readonly log: Log;
    readonly region: RegionId;
    readonly state: SharedState;
    readonly store: StateStore;
    readonly relayRole: RelayRole;
    readonly turnedAway: UnservedBoxes;
    readonly self: BoxId;
    /** Kinds that the box copies. */
    readonly kinds: readonly SharedKind[];
    readonly readState: StateReader;
    /** Passes changes on to the boxes of the region. */
    readonly publish: (update: StateUpdate) => void;
    /** Tells the boxes of the region how far the copies reach, at once. */
    readonly sendDigestToRegion: () => void;
    readonly signal: AbortSignal;
}

/** The part that other boxes talk to. */
export interface Replicator {
    readonly digest: () => StateDigest;
    /** Milliseconds since the store stopped answering; 0 while it answers. */
    readonly storeUnavailableFor: () => number;
    /** Time since the store confirmed the copy of the configuration, to this box or through another. */
    readonly configurationAge: () => Milliseconds;
    /** Time since the store confirmed the copy of a kind, to this box or through another; undefined if it never did. */
    readonly provenAge: (kind: SharedKind) => Milliseconds | undefined;
    /** The same with the credit that a first list has, as the boxes tell each other; very large if there is no copy. */
    readonly confirmedAge: (kind: SharedKind) => Milliseconds;
    /** True while this box follows the store, so that others depend on what it says. */
    readonly isFollowingStore: () => boolean;
    /** Another box said how far its copies reach. */
    readonly onDigest: (peer: StatePeer, digest: StateDigest) => void;
    /** Another box passed changes on. */
    readonly onUpdate: (update: StateUpdate) => void;
}

/** Starts to follow the store; ends when the signal aborts. */
export function startReplicator(options: ReplicatorOptions): Replicator {
    const { clock, relayRole, self, state, turnedAway } = options;
    const statuses = createReplicaStatuses();
    const follower = startStoreFollower({ ...options, statuses });
    const onCopyState = createSnapshotCatchUp({
        ...options,
        statuses,
        alwaysFollowsStore: relayRole.alwaysFollowsStore,
        isStoreUnavailable: () => follower.isStoreUnavailable() || turnedAway.has(self, clock()),
        isStale: relayRole.isStale,
    });

    return {
        digest: () => ({
            configuration: provenCopyState("configuration"),
            servers: copyState("servers"),
            closedZones: copyState("closedZones"),
            ...turnedAway.has(self, clock()) ? { turnedAway: true } : {},
            ...options.kinds.includes("rollouts") ? { rollouts: provenCopyState("rollouts") } : {},
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
            const isNews = turnedAway.onPeerReport(peer.box, digest.turnedAway === true, clock());
            for (const kind of options.kinds) {
                const told = digest[kind];
                if (told !== undefined) {
                    onCopyState(kind, peer, told);
                }
            }
            if (isNews && peer.region === options.region) {
                follower.wake();
            }
        },
        onUpdate: update => applyUpdate(update.kind, update),
    };

    function copyState(kind: SharedKind): ReplicaProgress {
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

    function provenCopyState(kind: SharedKind): ReplicaProgress {
        return { ...copyState(kind), provenAge: Math.round(provenAge(kind)) };
    }

    function provenAge(kind: SharedKind): Milliseconds {
        return milliseconds(Math.min(unconfirmedAge, clock() - statuses[kind].provenAt));
    }

    function applyUpdate<Kind extends SharedKind>(kind: Kind, update: StateUpdate): void {
        const changes = update.changes as readonly ItemChange<SharedItems[Kind]>[];
        state.replica(kind).applyChanges(update.since, changes, update.complete);
    }
}

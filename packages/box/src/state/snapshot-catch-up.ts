/**
 * Catches up with other boxes: takes their confirmations of what this box has
 * too, and reads what it lacks from one that knows more, unless the changes come
 * by the ordinary way before.
 *
 * Owns the reads that wait; relies on the copies to refuse what is older.
 */

import { describePosition, maxInterRegionDelay, type SharedKind, snapshotDelay } from "@chalkdale/decisions";
import type { Clock, RegionId } from "@chalkdale/kernel";
import { type Log, sleep } from "@chalkdale/runtime";
import { type ReplicaStatus, unconfirmedAge } from "./replica-status.js";
import type { SharedState } from "./shared-state.js";
import type { ReplicaProgress } from "./state-messages.js";
import type { StatePeer, StateReader, StateReadResult } from "./state-reader.js";

/**
 * Milliseconds after which a read of another box no longer keeps this one from reading a third. A read is given up after 1.5 s, most
 * of a bound on changes of 2 s; a whole copy of 796 servers, 17 KB packed, takes some ways between regions of 35 ms.
 */
const readOverdueAfter = 400;

export interface SnapshotCatchUpOptions {
    readonly clock: Clock;
    readonly log: Log;
    readonly region: RegionId;
    readonly state: SharedState;
    readonly statuses: Readonly<Record<SharedKind, ReplicaStatus>>;
    readonly alwaysFollowsStore: () => boolean;
    readonly isStoreUnavailable: () => boolean;
    /** True for an age that a copy does not reach while a box of the region follows the store. */
    readonly isStale: (kind: SharedKind, age: number) => boolean;
    readonly readState: StateReader;
    /** Tells the boxes of the region how far the copies reach. */
    readonly sendDigestToRegion: () => void;
    readonly signal: AbortSignal;
}

/** Returns the function that takes how far another box's copy of a kind reaches. */
export function createSnapshotCatchUp(options: SnapshotCatchUpOptions) {
    const { clock, log, signal, state, statuses } = options;

    return function onCopyState(kind: SharedKind, peer: StatePeer, told: ReplicaProgress): void {
        const status = statuses[kind];
        const replica = state.replica(kind);
        const revision = replica.revision();
        if (revision !== undefined && revision >= told.changed) {
            replica.applyChanges(revision, [], Math.max(revision, told.complete));
            const sentAt = clock() - (peer.region === options.region ? 0 : maxInterRegionDelay);
            status.confirmedAt = Math.max(status.confirmedAt, sentAt - told.age);
            status.provenAt = Math.max(status.provenAt, sentAt - (told.provenAge ?? unconfirmedAge));
            return;
        }
        const readAt = clock() + headStartOf(kind, peer);
        if (told.complete >= 0 && readAt < (status.snapshotReadAt ?? Infinity)) {
            status.snapshotReadAt = readAt;
            void readLater(kind, peer, told, readAt);
        }
    };

    function headStartOf(kind: SharedKind, peer: StatePeer): number {
        return snapshotDelay({
            hasCopy: state.replica(kind).revision() !== undefined,
            alwaysFollowsStore: options.alwaysFollowsStore(),
            isStoreUnavailable: options.isStoreUnavailable(),
            isStale: options.isStale(kind, clock() - statuses[kind].confirmedAt),
            isSameRegion: peer.region === options.region,
        });
    }

    /** Reads at the given time, unless the changes come before it or another read does. */
    async function readLater(kind: SharedKind, peer: StatePeer, told: ReplicaProgress, readAt: number): Promise<void> {
        const status = statuses[kind];
        await sleep(readAt - clock(), signal);
        if (signal.aborted || status.snapshotReadAt !== readAt) {
            return;
        }
        if ((state.replica(kind).revision() ?? -1) >= told.changed) {
            status.snapshotReadAt = undefined;
            return;
        }
        // Another box may be read once this one is overdue: its answer may never come.
        const overdueAt = clock() + readOverdueAfter;
        status.snapshotReadAt = overdueAt;
        await read(kind, peer);
        if (status.snapshotReadAt === overdueAt) {
            status.snapshotReadAt = undefined;
        }
    }

    async function read<Kind extends SharedKind>(kind: Kind, peer: StatePeer): Promise<void> {
        try {
            const told = await options.readState(peer, kind, state.replica(kind).revision());
            if (apply(kind, told)) {
                const revision = describePosition(state.replica(kind).revision() ?? 0);
                log.info("state.fromPeer", { kind, peer: peer.peerAddress, as: told.kind, revision });
                statuses[kind].watch?.abort();
                if (peer.region !== options.region) {
                    options.sendDigestToRegion();
                }
            }
        }
        catch (error) {
            log.info("state.peerFailed", { kind, peer: peer.peerAddress, reason: String(error) });
        }
    }

    /** True if the copy is newer than before. */
    function apply<Kind extends SharedKind>(kind: Kind, told: StateReadResult<Kind>): boolean {
        const replica = state.replica(kind);
        switch (told.kind) {
            case "snapshot":
                return replica.applySnapshot(told.snapshot);
            case "missing": {
                const before = replica.revision();
                const { changes, revision, since } = told.missing;
                return replica.applyChanges(since, changes, revision) && replica.revision() !== before;
            }
        }
    }
}

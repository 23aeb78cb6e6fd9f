/**
 * Brings replicas up to date from other boxes: takes their confirmations of what this box's replica already holds, and
 * reads what it lacks from a box that has more, unless the changes arrive from the store or the relay first.
 *
 * Owns the delayed reads; relies on the replicas to reject older state.
 */

import { describePosition, maxInterRegionDelay, type SharedKind, snapshotDelay } from "@chalkdale/decisions";
import type { Clock, RegionId } from "@chalkdale/kernel";
import { type Log, sleep } from "@chalkdale/runtime";
import { type ReplicaStatus, unconfirmedAge } from "./replica-status.js";
import type { SharedState } from "./shared-state.js";
import type { ReplicaProgress } from "./state-messages.js";
import type { StatePeer, StateReader, StateReadResult } from "./state-reader.js";

/**
 * Milliseconds after which a read is overdue and another box may be read as well: several round trips between regions.
 * The timeout of a read would take most of the bound on changes.
 */
const readOverdueAfter = 400;

/** What the catch-up depends on. */
export interface SnapshotCatchUpOptions {
    readonly clock: Clock;
    readonly log: Log;
    readonly region: RegionId;
    readonly state: SharedState;
    readonly statuses: Readonly<Record<SharedKind, ReplicaStatus>>;
    readonly alwaysFollowsStore: () => boolean;
    readonly isStoreUnavailable: () => boolean;
    /** True for an age that a replica doesn't reach while a box of the region follows the store. */
    readonly isStale: (kind: SharedKind, age: number) => boolean;
    readonly readState: StateReader;
    /** Sends this box's digest to the boxes of its region at once. */
    readonly sendDigestToRegion: () => void;
    readonly signal: AbortSignal;
}

/** Returns the handler of another box's report of how far its replica of a kind reaches. */
export function createSnapshotCatchUp(options: SnapshotCatchUpOptions) {
    const { clock, log, signal, state, statuses } = options;

    return function onReplicaProgress(kind: SharedKind, peer: StatePeer, progress: ReplicaProgress): void {
        const status = statuses[kind];
        const replica = state.replica(kind);
        const revision = replica.revision();
        if (revision !== undefined && revision >= progress.changed) {
            replica.applyChanges(revision, [], Math.max(revision, progress.complete));
            const sentAt = clock() - (peer.region === options.region ? 0 : maxInterRegionDelay);
            status.confirmedAt = Math.max(status.confirmedAt, sentAt - progress.age);
            status.provenAt = Math.max(status.provenAt, sentAt - (progress.provenAge ?? unconfirmedAge));
            return;
        }
        const readAt = clock() + readDelay(kind, peer);
        if (progress.complete >= 0 && readAt < (status.snapshotReadAt ?? Infinity)) {
            status.snapshotReadAt = readAt;
            void readUnlessUpdated(kind, peer, progress, readAt);
        }
    };

    function readDelay(kind: SharedKind, peer: StatePeer): number {
        return snapshotDelay({
            hasCopy: state.replica(kind).revision() !== undefined,
            alwaysFollowsStore: options.alwaysFollowsStore(),
            isStoreUnavailable: options.isStoreUnavailable(),
            isStale: options.isStale(kind, clock() - statuses[kind].confirmedAt),
            isSameRegion: peer.region === options.region,
        });
    }

    /** Reads at `readAt`, unless the changes arrive or another read is scheduled before then. */
    async function readUnlessUpdated(
        kind: SharedKind,
        peer: StatePeer,
        progress: ReplicaProgress,
        readAt: number,
    ): Promise<void> {
        const status = statuses[kind];
        await sleep(readAt - clock(), signal);
        if (signal.aborted || status.snapshotReadAt !== readAt) {
            return;
        }
        if ((state.replica(kind).revision() ?? -1) >= progress.changed) {
            status.snapshotReadAt = undefined;
            return;
        }
        // The answer may never come: once this read is overdue, another box may be read.
        const overdueAt = clock() + readOverdueAfter;
        status.snapshotReadAt = overdueAt;
        await read(kind, peer);
        if (status.snapshotReadAt === overdueAt) {
            status.snapshotReadAt = undefined;
        }
    }

    async function read<Kind extends SharedKind>(kind: Kind, peer: StatePeer): Promise<void> {
        try {
            const result = await options.readState(peer, kind, state.replica(kind).revision());
            if (apply(kind, result)) {
                const revision = describePosition(state.replica(kind).revision() ?? 0);
                log.info("state.fromPeer", { kind, peer: peer.peerAddress, as: result.kind, revision });
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

    /** Returns true if the replica is newer than before. */
    function apply<Kind extends SharedKind>(kind: Kind, result: StateReadResult<Kind>): boolean {
        const replica = state.replica(kind);
        switch (result.kind) {
            case "snapshot":
                return replica.applySnapshot(result.snapshot);
            case "missing": {
                const revisionBefore = replica.revision();
                const { changes, revision, since } = result.missing;
                return replica.applyChanges(since, changes, revision) && replica.revision() !== revisionBefore;
            }
        }
    }
}

/**
 * Keeps the copies of shared state up to date: watches the store, and takes
 * snapshots from other boxes when they know more.
 */

import type { Clock, Milliseconds } from "@chalkdale/core";
import { type Log, sleep } from "@chalkdale/runtime";
import type { Snapshot } from "@chalkdale/steering";
import type { SharedState } from "./shared-state.js";
import { type SharedItems, type SharedKind, sharedKinds, type StateStore, StoreError } from "./state-store.js";

/** Revisions of the last change that a box knows, by kind. */
export type StateDigest = Readonly<Record<SharedKind, number>>;

/** Reads a snapshot from another box. Rejects when the box doesn't answer. */
export type SnapshotReader = <Kind extends SharedKind>(
    peerAddress: string,
    kind: Kind,
    signal: AbortSignal,
) => Promise<Snapshot<SharedItems[Kind]>>;

export interface ReplicatorOptions {
    readonly clock: Clock;
    readonly random: () => number;
    readonly log: Log;
    readonly state: SharedState;
    readonly store: StateStore;
    readonly readSnapshot: SnapshotReader;
    readonly signal: AbortSignal;
}

/** The part that learns from other boxes. */
export interface Replicator {
    readonly digest: () => StateDigest;
    /** Milliseconds since the store last failed to answer; 0 while it answers. */
    readonly storeLostFor: () => number;
    /** Another box told what it knows. */
    readonly onDigest: (peerAddress: string, digest: StateDigest) => void;
}

const firstBackoff = 150;
const longestBackoff = 1200;
/** Time that the own watch has to bring a change that another box knows already, in milliseconds. */
const watchHeadStart = 300;
/**
 * Pause after a change before the next watch, in milliseconds: changes often come in series, and each watch is a
 * priced call. It counts towards the time in which a change must be in force.
 */
const pauseAfterChange: Readonly<Record<SharedKind, number>> = { configuration: 200, servers: 500, closedZones: 200 };

/** Starts the loops; they end when the signal aborts. */
export function startReplicator(options: ReplicatorOptions): Replicator {
    const { clock, log, signal, state, store } = options;
    const watches = new Map<SharedKind, AbortController>();
    const behind = new Set<SharedKind>();
    let storeLostAt: Milliseconds | undefined;

    for (const kind of sharedKinds) {
        void followStore(kind);
    }

    return {
        digest: () => ({
            configuration: state.replica("configuration").changedRevision(),
            servers: state.replica("servers").changedRevision(),
            closedZones: state.replica("closedZones").changedRevision(),
        }),
        storeLostFor: () => storeLostAt === undefined ? 0 : Math.round(clock() - storeLostAt),
        onDigest(peerAddress, digest) {
            for (const kind of sharedKinds) {
                if (isBehind(kind, digest) && !behind.has(kind)) {
                    behind.add(kind);
                    void catchUp(kind, peerAddress, digest).finally(() => behind.delete(kind));
                }
            }
        },
    };

    function isBehind(kind: SharedKind, digest: StateDigest): boolean {
        return digest[kind] > (state.replica(kind).revision() ?? -1);
    }

    async function followStore<Kind extends SharedKind>(kind: Kind): Promise<void> {
        let backoff = firstBackoff;
        let isListNeeded = true;
        while (!signal.aborted) {
            try {
                if (isListNeeded) {
                    const snapshot = await store.list(kind, signal);
                    state.replica(kind).applySnapshot(snapshot);
                    isListNeeded = false;
                }
                else {
                    isListNeeded = !await watchOnce(kind);
                }
                onStoreAnswered();
                backoff = firstBackoff;
            }
            catch (error) {
                if (signal.aborted) {
                    return;
                }
                onStoreFailed(kind, error);
                await sleep(backoff * (0.7 + 0.6 * options.random()), signal);
                backoff = Math.min(longestBackoff, backoff * 2);
            }
        }
    }

    /** Waits for one batch of changes; false if the copy must be read anew. */
    async function watchOnce<Kind extends SharedKind>(kind: Kind): Promise<boolean> {
        const replica = state.replica(kind);
        const since = replica.revision();
        if (since === undefined) {
            return false;
        }
        const controller = new AbortController();
        watches.set(kind, controller);
        try {
            const outcome = await store.watch(kind, since, AbortSignal.any([signal, controller.signal]));
            if (outcome.kind === "historyLost") {
                log.info("store.historyLost", { kind, since });
                return false;
            }
            replica.applyChanges(since, outcome.changes, outcome.revision);
            if (outcome.changes.length > 0) {
                await sleep(pauseAfterChange[kind], signal);
            }
            return true;
        }
        catch (error) {
            if (controller.signal.aborted) {
                return true;
            }
            throw error;
        }
        finally {
            watches.delete(kind);
        }
    }

    async function catchUp<Kind extends SharedKind>(kind: Kind, peer: string, digest: StateDigest): Promise<void> {
        await sleep(state.replica(kind).revision() === undefined ? 0 : watchHeadStart, signal);
        if (signal.aborted || !isBehind(kind, digest)) {
            return;
        }
        try {
            const snapshot = await options.readSnapshot(peer, kind, signal);
            if (state.replica(kind).applySnapshot(snapshot)) {
                log.info("state.fromPeer", { kind, peer, revision: snapshot.revision });
                watches.get(kind)?.abort();
            }
        }
        catch (error) {
            log.debug("state.peerFailed", { kind, peer, reason: String(error) });
        }
    }

    function onStoreAnswered(): void {
        if (storeLostAt !== undefined) {
            log.info("store.regained", { after: Math.round(clock() - storeLostAt) });
            storeLostAt = undefined;
        }
    }

    function onStoreFailed(kind: SharedKind, error: unknown): void {
        if (storeLostAt === undefined) {
            storeLostAt = clock();
            const failure = error instanceof StoreError ? error.failure : "unreachable";
            log.warn("store.lost", { kind, failure, reason: String(error) });
        }
    }
}

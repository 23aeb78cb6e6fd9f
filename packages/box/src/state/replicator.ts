/**
 * Keeps the copies of shared state up to date: from the store while that is
 * this box's duty, and from what other boxes tell.
 */

import type { ItemChange, RelayRole, Snapshot } from "@chalkdale/decisions";
import type { Clock, Milliseconds, RegionId } from "@chalkdale/kernel";
import { type Log, sleep } from "@chalkdale/runtime";
import type { SharedState } from "./shared-state.js";
import type { CopyState, StateDigest, StateUpdate } from "./state-messages.js";
import { type SharedItems, type SharedKind, sharedKinds, type StateStore, StoreError } from "./state-store.js";

/** Reads a snapshot from another box. Rejects when the box doesn't answer. */
type SnapshotReader = <Kind extends SharedKind>(
    peerAddress: string,
    kind: Kind,
    signal: AbortSignal,
) => Promise<Snapshot<SharedItems[Kind]>>;

/** The box that told something. */
export interface StatePeer {
    readonly peerAddress: string;
    readonly region: RegionId;
}

export interface ReplicatorOptions {
    readonly clock: Clock;
    readonly random: () => number;
    readonly log: Log;
    readonly region: RegionId;
    readonly state: SharedState;
    readonly store: StateStore;
    readonly duty: RelayRole;
    readonly readSnapshot: SnapshotReader;
    /** Passes changes on to the boxes of the region. */
    readonly publish: (update: StateUpdate) => void;
    readonly signal: AbortSignal;
}

/** The part that other boxes talk to. */
export interface Replicator {
    readonly digest: () => StateDigest;
    /** Milliseconds since the store last failed to answer; 0 while it answers. */
    readonly storeLostFor: () => number;
    /** True while this box follows the store, so that others depend on what it tells. */
    readonly isFollowing: () => boolean;
    /** Another box told what it knows. */
    readonly onDigest: (peer: StatePeer, digest: StateDigest) => void;
    /** Another box passed changes on. */
    readonly onUpdate: (update: StateUpdate) => void;
}

const firstBackoff = 150;
/** Longest pause between calls that fail: of a box that always follows the store, and of one that stands in. */
const longestBackoff = 1200;
const longestStandInBackoff = 2500;
/**
 * Time in milliseconds that changes have to come by the ordinary way, before a snapshot is read from a box that knows
 * them already: by the own watch; from the relay that tells of them; and from the relay, while only other regions know
 * of them, since a relay pauses after each change.
 */
const watchHeadStart = 300;
const relayHeadStart = 100;
const otherRegionHeadStart = 1000;
/** Age that stands for a copy that was never confirmed, in milliseconds. */
const unconfirmedAge = 1e9;
/**
 * Pause after a change before the next watch, in milliseconds: changes often come in series, and each watch is a
 * priced call. It counts towards the time in which a change must be in force.
 */
const pauseAfterChange: Readonly<Record<SharedKind, number>> = { configuration: 200, servers: 500, closedZones: 200 };

/** What is known of one kind beside the copy itself. */
interface CopyStatus {
    /** When the store last confirmed that the copy is complete. */
    confirmedAt: number;
    /** When a snapshot will be read from a box that knows more. */
    readAt: number | undefined;
    /** The watch that is waiting now. */
    watch: AbortController | undefined;
}

/** Starts the loops; they end when the signal aborts. */
export function startReplicator(options: ReplicatorOptions): Replicator {
    const { clock, duty, log, signal, state, store } = options;
    const statuses: Readonly<Record<SharedKind, CopyStatus>> = {
        configuration: createCopyStatus(),
        servers: createCopyStatus(),
        closedZones: createCopyStatus(),
    };
    let storeLostAt: Milliseconds | undefined;

    for (const kind of sharedKinds) {
        void followStore(kind);
    }

    return {
        digest: () => ({
            configuration: copyState("configuration"),
            servers: copyState("servers"),
            closedZones: copyState("closedZones"),
        }),
        storeLostFor: () => storeLostAt === undefined ? 0 : Math.round(clock() - storeLostAt),
        isFollowing: () => duty.alwaysFollows() || sharedKinds.some(kind => statuses[kind].watch !== undefined),
        onDigest(peer, digest) {
            for (const kind of sharedKinds) {
                compareWith(kind, peer, digest[kind]);
            }
        },
        onUpdate(update) {
            applyUpdate(update.kind, update);
        },
    };

    function copyState(kind: SharedKind): CopyState {
        const replica = state.replica(kind);
        return {
            changed: replica.changedRevision(),
            complete: replica.revision() ?? -1,
            age: Math.round(Math.min(unconfirmedAge, clock() - statuses[kind].confirmedAt)),
        };
    }

    /** Takes what another box knows of a kind: a younger confirmation of the same, or the news that there is more. */
    function compareWith(kind: SharedKind, peer: StatePeer, told: CopyState): void {
        const status = statuses[kind];
        const replica = state.replica(kind);
        const revision = replica.revision();
        if (revision !== undefined && revision >= told.changed) {
            replica.applyChanges(revision, [], Math.max(revision, told.complete));
            status.confirmedAt = Math.max(status.confirmedAt, clock() - told.age);
            return;
        }
        const readAt = clock() + headStart(kind, peer);
        if (told.complete >= 0 && readAt < (status.readAt ?? Infinity)) {
            status.readAt = readAt;
            void readLater(kind, peer, told, readAt);
        }
    }

    /** Reads a snapshot from another box at the given time, unless the changes come before it or another read does. */
    async function readLater(kind: SharedKind, peer: StatePeer, told: CopyState, readAt: number): Promise<void> {
        const status = statuses[kind];
        await sleep(readAt - clock(), signal);
        if (signal.aborted || status.readAt !== readAt) {
            return;
        }
        if ((state.replica(kind).revision() ?? -1) < told.changed) {
            await readFromPeer(kind, peer.peerAddress);
        }
        status.readAt = undefined;
    }

    function headStart(kind: SharedKind, peer: StatePeer): number {
        if (state.replica(kind).revision() === undefined) {
            return 0;
        }
        if (duty.alwaysFollows() || storeLostAt !== undefined) {
            return watchHeadStart;
        }
        return peer.region === options.region ? relayHeadStart : otherRegionHeadStart;
    }

    function applyUpdate<Kind extends SharedKind>(kind: Kind, update: StateUpdate): void {
        const changes = update.changes as readonly ItemChange<SharedItems[Kind]>[];
        state.replica(kind).applyChanges(update.since, changes, update.complete);
    }

    async function followStore(kind: SharedKind): Promise<void> {
        let backoff = firstBackoff;
        let isListNeeded = state.replica(kind).revision() === undefined;
        while (!signal.aborted) {
            const notDueFor = duty.followAfterAge() - (clock() - statuses[kind].confirmedAt);
            if (!duty.alwaysFollows() && notDueFor > 0) {
                await sleep(notDueFor, signal);
                continue;
            }
            try {
                isListNeeded = isListNeeded ? await readList(kind) : !await watchOnce(kind);
                onStoreAnswered();
                backoff = firstBackoff;
            }
            catch (error) {
                if (signal.aborted) {
                    return;
                }
                onStoreFailed(kind, error);
                await sleep(backoff * (0.7 + 0.6 * options.random()), signal);
                backoff = Math.min(duty.alwaysFollows() ? longestBackoff : longestStandInBackoff, backoff * 2);
            }
        }
    }

    /** Reads the whole list; false, as no other is needed after it. */
    async function readList(kind: SharedKind): Promise<boolean> {
        const askedAt = clock();
        state.replica(kind).applySnapshot(await store.list(kind, signal));
        statuses[kind].confirmedAt = askedAt;
        return false;
    }

    /** Waits for one batch of changes; false if the copy must be read anew. */
    async function watchOnce<Kind extends SharedKind>(kind: Kind): Promise<boolean> {
        const replica = state.replica(kind);
        const status = statuses[kind];
        const since = replica.revision();
        if (since === undefined) {
            return false;
        }
        const controller = new AbortController();
        status.watch = controller;
        try {
            const watchSignal = AbortSignal.any([signal, controller.signal]);
            const outcome = await store.watch(kind, since, watchSignal, duty.watchWait());
            if (outcome.kind === "historyLost") {
                log.info("store.historyLost", { kind, since });
                return false;
            }
            const changedBefore = replica.changedRevision();
            replica.applyChanges(since, outcome.changes, outcome.revision);
            status.confirmedAt = clock();
            if (outcome.changes.length > 0) {
                publish({ kind, since: changedBefore, complete: outcome.revision, changes: outcome.changes });
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
            status.watch = undefined;
        }
    }

    function publish<Kind extends SharedKind>(update: StateUpdate<Kind>): void {
        if (duty.isRelayed()) {
            options.publish(update as StateUpdate);
        }
    }

    async function readFromPeer<Kind extends SharedKind>(kind: Kind, peer: string): Promise<void> {
        try {
            const snapshot = await options.readSnapshot(peer, kind, signal);
            if (state.replica(kind).applySnapshot(snapshot)) {
                log.info("state.fromPeer", { kind, peer, revision: snapshot.revision });
                statuses[kind].watch?.abort();
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

function createCopyStatus(): CopyStatus {
    return { confirmedAt: -unconfirmedAge, readAt: undefined, watch: undefined };
}

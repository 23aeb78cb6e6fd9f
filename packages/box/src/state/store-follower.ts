/**
 * Follows the store, kind by kind, while the relay role asks this box to: first reads a list, which may be stale, then
 * watches for one batch of changes after another. While the store doesn't answer, only the kind whose call failed keeps
 * calling it.
 *
 * A watch that isn't answered doesn't show that nothing changed: its connection may have stopped working without being
 * closed. Once the replica is older than it can be while some box gets answers from the store, the watch is aborted and
 * repeated on another connection.
 *
 * Owns the calls of the store and the state of its availability; relies on the relay role for when to call, and on the
 * replicas to reject what is older than they are.
 */

import {
    createWatchPause,
    describePosition,
    epochOf,
    initialBackoff,
    jitteredBackoff,
    listOverdueAfter,
    nextBackoff,
    type RelayRole,
    type SharedItems,
    type SharedKind,
    type Snapshot,
    type UnservedBoxes,
    watchOverdueAfter,
} from "@chalkdale/decisions";
import { type Clock, type Milliseconds, milliseconds } from "@chalkdale/kernel";
import { type Log, sleep } from "@chalkdale/runtime";
import type { ReplicaStatus } from "./replica-status.js";
import type { SharedState } from "./shared-state.js";
import type { StateUpdate } from "./state-messages.js";
import { type ListConsistency, type StateStore, StoreError } from "./state-store.js";
import { createWatchTimeouts } from "./watch-timeouts.js";

/**
 * Wait in milliseconds of an urgent watch, such as the first one after a list that may be stale: the watch returns at
 * once, with the changes since the list.
 */
const urgentWait = milliseconds(1);
/** Interval in milliseconds at which a kind checks whether the store answers another kind's calls again. */
const unavailablePollInterval = milliseconds(150);

/** What the store follower depends on. */
export interface StoreFollowerOptions {
    readonly clock: Clock;
    readonly random: () => number;
    readonly log: Log;
    readonly state: SharedState;
    readonly statuses: Readonly<Record<SharedKind, ReplicaStatus>>;
    readonly store: StateStore;
    readonly relayRole: RelayRole;
    /** Boxes that the store doesn't serve, as far as this box knows. */
    readonly unservedBoxes: UnservedBoxes;
    /** Kinds that the box replicates. */
    readonly kinds: readonly SharedKind[];
    /** Relays changes to the boxes of the region. */
    readonly publish: (update: StateUpdate) => void;
    /** Sends this box's digest, which also says whether the store serves it, to the boxes of its region at once. */
    readonly sendDigestToRegion: () => void;
    readonly signal: AbortSignal;
}

/** The store follower of one box. */
export interface StoreFollower {
    /** Milliseconds since the store stopped answering; 0 while it answers. */
    readonly storeUnavailableFor: () => number;
    /** True while the store doesn't answer this box. */
    readonly isStoreUnavailable: () => boolean;
    /**
     * Checks at once whether this box has to follow the store: the store has stopped or resumed serving a box of the
     * region.
     */
    readonly wake: () => void;
}

type WatchPause = ReturnType<typeof createWatchPause>;

/** What a watch brought: with `turnedCold`, a known server has turned cold. */
type WatchResult = "historyLost" | "unchanged" | "changed" | "turnedCold";

/** Starts a loop for each kind; the loops end when the signal aborts. */
export function startStoreFollower(options: StoreFollowerOptions): StoreFollower {
    const { clock, log, relayRole, signal, state, statuses, store, unservedBoxes } = options;
    let unavailableSince: Milliseconds | undefined;
    let lastFailedKind: SharedKind | undefined;
    /** Kinds whose replica a watch has confirmed since the first list, which may be stale, and the last failed call. */
    const confirmedKinds = new Set<SharedKind>();
    const watchTimeouts = createWatchTimeouts({
        ageOf,
        reconnectAfterAge: relayRole.reconnectAfterAge,
        onTimeout: logOverdue,
    });
    const sleepers = new Set<AbortController>();
    signal.addEventListener("abort", wake, { once: true });

    for (const kind of options.kinds) {
        void follow(kind);
    }

    return {
        storeUnavailableFor: () => unavailableSince === undefined ? 0 : Math.round(clock() - unavailableSince),
        isStoreUnavailable: () => unavailableSince !== undefined,
        wake,
    };

    async function follow(kind: SharedKind): Promise<void> {
        const pauseAfter = createWatchPause(kind);
        let backoff = initialBackoff;
        let isListNeeded = state.replica(kind).revision() === undefined;
        while (!signal.aborted) {
            const wait = timeUntilDue(kind);
            if (wait > 0) {
                await sleepUntilWoken(wait);
                continue;
            }
            if (isAnotherKindCalling(kind)) {
                await sleep(unavailablePollInterval, signal);
                continue;
            }
            try {
                isListNeeded = isListNeeded ? await readList(kind) : !await watchOnce(kind, pauseAfter);
                onStoreAnswered();
                backoff = initialBackoff;
            }
            catch (error) {
                if (signal.aborted) {
                    return;
                }
                isListNeeded = onCallFailed(kind, error, isListNeeded);
                confirmedKinds.delete(kind);
                await sleep(jitteredBackoff(backoff, options.random()), signal);
                backoff = nextBackoff(backoff, relayRole.alwaysFollowsStore());
            }
        }
    }

    /**
     * Returns whether the list is needed next. An unreadable answer doesn't make the store unavailable to the other
     * kinds; after one, the list is read instead of a watch and vice versa, since the unreadable part may be in only
     * one of them.
     */
    function onCallFailed(kind: SharedKind, error: unknown, wasListNeeded: boolean): boolean {
        if (error instanceof StoreError && error.failure === "unreadable") {
            log.warn("store.unreadable", { kind, reason: error.message });
            return !wasListNeeded || state.replica(kind).revision() === undefined;
        }
        onStoreFailed(kind, error);
        return wasListNeeded;
    }

    async function sleepUntilWoken(wait: number): Promise<void> {
        const sleeper = new AbortController();
        sleepers.add(sleeper);
        await sleep(wait, sleeper.signal);
        sleepers.delete(sleeper);
    }

    function wake(): void {
        sleepers.forEach(sleeper => sleeper.abort());
    }

    /**
     * Returns the milliseconds until this box has to follow the store itself for a kind; 0 or less if it has to now.
     */
    function timeUntilDue(kind: SharedKind): number {
        return relayRole.alwaysFollowsStore() ? 0 : relayRole.followStoreAfterAge(kind) - ageOf(kind);
    }

    /**
     * Returns true while the store doesn't answer and the kind whose call failed keeps calling it. That kind stops once
     * other boxes confirm its replica; the next kind that is due then takes over.
     */
    function isAnotherKindCalling(kind: SharedKind): boolean {
        if (
            unavailableSince === undefined || lastFailedKind === undefined
            || state.replica(kind).revision() === undefined
        ) {
            return false;
        }
        return lastFailedKind !== kind && timeUntilDue(lastFailedKind) <= 0;
    }

    /**
     * Reads the whole list; returns false, as no further list is needed. The first one may be stale: later changes come
     * by a watch or from other boxes.
     */
    async function readList(kind: SharedKind): Promise<boolean> {
        const requestedAt = clock();
        const knownRevision = state.replica(kind).revision();
        const isFirst = knownRevision === undefined;
        const listed = isFirst ? await readFirst(kind) : await listWithOverdueCheck(kind, "newest");
        if (listed.revision < (knownRevision ?? 0)) {
            throw new StoreError(
                "unreadable",
                `list of ${kind} is older than the replica, at revision ${describePosition(listed.revision)}`,
            );
        }
        state.replica(kind).applySnapshot(listed);
        if (!isFirst) {
            statuses[kind].confirmedAt = requestedAt;
            statuses[kind].provenAt = requestedAt;
            options.sendDigestToRegion();
            return false;
        }
        const followFrom = requestedAt + relayRole.settleTime;
        statuses[kind].confirmedAt = Math.max(
            statuses[kind].confirmedAt,
            followFrom - relayRole.followStoreAfterAge(kind),
        );
        confirmedKinds.delete(kind);
        return false;
    }

    /**
     * A stale list of a store that was restored from an older copy may have entries that the store has lost, so once
     * its epoch is above 0 the newest list is read.
     */
    async function readFirst<Kind extends SharedKind>(kind: Kind): Promise<Snapshot<SharedItems[Kind]>> {
        const listed = await listWithOverdueCheck(kind, "mayBeOld");
        return epochOf(listed.revision) === 0 ? listed : listWithOverdueCheck(kind, "newest");
    }

    function listWithOverdueCheck<Kind extends SharedKind>(
        kind: Kind,
        age: ListConsistency,
    ): Promise<Snapshot<SharedItems[Kind]>> {
        return withOverdueCheck(kind, store.list(kind, age, signal), listOverdueAfter);
    }

    /** Waits for one batch of changes; returns false if the whole list must be read. */
    async function watchOnce<Kind extends SharedKind>(kind: Kind, pauseAfter: WatchPause): Promise<boolean> {
        const since = state.replica(kind).revision();
        if (since === undefined) {
            return false;
        }
        const controller = new AbortController();
        statuses[kind].watch = controller;
        const isUrgent = isConfirmationUrgent(kind);
        const cancelTimeout = watchTimeouts.limit(kind, controller, isUrgent);
        try {
            const outcome = await applyWatch(kind, since, isUrgent, AbortSignal.any([signal, controller.signal]));
            if (outcome === "changed" || outcome === "turnedCold") {
                await sleep(pauseAfter(clock(), outcome === "turnedCold"), signal);
            }
            return outcome !== "historyLost";
        }
        catch (error) {
            // Either another box's snapshot was applied, and the next watch starts from its revision, or the watch
            // timed out.
            if (controller.signal.aborted) {
                return true;
            }
            throw error;
        }
        finally {
            cancelTimeout();
            statuses[kind].watch = undefined;
        }
    }

    async function applyWatch<Kind extends SharedKind>(
        kind: Kind,
        since: number,
        isUrgent: boolean,
        watchSignal: AbortSignal,
    ): Promise<WatchResult> {
        const replica = state.replica(kind);
        const wait = isUrgent ? urgentWait : relayRole.watchWait(kind);
        const outcome = await withOverdueCheck(
            kind,
            store.watch(kind, since, watchSignal, wait),
            (wait ?? Infinity) + watchOverdueAfter,
        );
        confirmedKinds.add(kind);
        watchTimeouts.onAnswered(kind);
        if (outcome.kind === "historyLost") {
            log.info("store.historyLost", { kind, since: describePosition(since) });
            return "historyLost";
        }
        const lastChangeBefore = replica.lastChangeRevision();
        const coldStartsBefore = state.coldStarts();
        replica.applyChanges(since, outcome.changes, outcome.revision);
        statuses[kind].confirmedAt = clock();
        statuses[kind].provenAt = clock();
        onStoreAnswered();
        const hasChanges = outcome.changes.length > 0;
        const hasColdStart = state.coldStarts() > coldStartsBefore;
        // A box of the region that the store doesn't serve would learn late that a server has turned cold.
        if (hasChanges && (relayRole.hasRelay() || hasColdStart)) {
            const { changes, revision: complete } = outcome;
            options.publish({ kind, since: lastChangeBefore, complete, changes } as StateUpdate);
        }
        if (isDigestNeeded(isUrgent, hasChanges)) {
            options.sendDigestToRegion();
        }
        if (!hasChanges) {
            return "unchanged";
        }
        return hasColdStart ? "turnedCold" : "changed";
    }

    /**
     * Returns true if other boxes of the region rely on what the store has just confirmed. A published
     * update confirms it too.
     */
    function isDigestNeeded(isUrgent: boolean, hasChanges: boolean): boolean {
        return relayRole.hasRelay()
            ? !hasChanges && relayRole.isAnyUnserved()
            : isUrgent || relayRole.confirmsForRegion();
    }

    /** Returns true until a watch succeeds after the first list or a failed call, and while the replica is too old. */
    function isConfirmationUrgent(kind: SharedKind): boolean {
        const age = ageOf(kind);
        return !confirmedKinds.has(kind) || relayRole.isStale(kind, age) || age >= relayRole.reconnectAfterAge(kind);
    }

    /** Returns the milliseconds since the store confirmed the replica, to this box or to another one. */
    function ageOf(kind: SharedKind): number {
        return clock() - statuses[kind].confirmedAt;
    }

    /** Marks this box as unserved once a call is overdue; the call itself goes on. */
    async function withOverdueCheck<Answer>(
        kind: SharedKind,
        call: Promise<Answer>,
        overdueAfter: number,
    ): Promise<Answer> {
        const timer = Number.isFinite(overdueAfter)
            ? setTimeout(() => onOverdue(kind, overdueAfter), overdueAfter)
            : undefined;
        try {
            return await call;
        }
        finally {
            clearTimeout(timer);
        }
    }

    function onOverdue(kind: SharedKind, overdueAfter: number): void {
        logOverdue(kind, overdueAfter);
        markUnserved();
    }

    function logOverdue(kind: SharedKind, overdueAfter: number): void {
        const revision = state.replica(kind).revision();
        log.info("store.overdue", {
            kind,
            after: Math.round(overdueAfter),
            revision: revision === undefined ? undefined : describePosition(revision),
        });
    }

    /**
     * The first few unserved boxes of a region send a digest at once, so that the boxes that rank next call the store.
     */
    function markUnserved(): void {
        if (unservedBoxes.onUnserved(clock()) && relayRole.shouldBroadcastUnserved()) {
            options.sendDigestToRegion();
        }
    }

    function onStoreAnswered(): void {
        unservedBoxes.onServed();
        if (unavailableSince !== undefined) {
            log.info("store.regained", { after: Math.round(clock() - unavailableSince) });
            unavailableSince = undefined;
        }
    }

    function onStoreFailed(kind: SharedKind, error: unknown): void {
        lastFailedKind = kind;
        markUnserved();
        if (unavailableSince === undefined) {
            unavailableSince = clock();
            const failure = error instanceof StoreError ? error.failure : "unreachable";
            log.warn("store.lost", { kind, failure, reason: String(error) });
        }
    }
}

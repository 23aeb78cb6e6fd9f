/**
 * Follows the store, kind by kind, while that is this box's part: reads a list
 * that may be old at the start, then waits for one batch of changes after the
 * other. While the store does not answer, only the kind that found out goes on
 * to call it.
 *
 * A watch that is not answered says nothing of the store: its connection may have fallen silent. Once the copy is older than it
 * can be while somebody hears of the store, the watch is given up and the store asked anew on another connection.
 *
 * Owns the calls of the store and whether it answers; relies on the relay role
 * for when to call, and on the copies to refuse what is older.
 */

import {
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
    watchPauseAfterChange,
} from "@chalkdale/decisions";
import { type Clock, type Milliseconds, milliseconds } from "@chalkdale/kernel";
import { type Log, sleep } from "@chalkdale/runtime";
import type { ReplicaStatus } from "./replica-status.js";
import type { SharedState } from "./shared-state.js";
import type { StateUpdate } from "./state-messages.js";
import { type ListConsistency, type StateStore, StoreError } from "./state-store.js";
import { createWatchTimeouts } from "./watch-timeouts.js";

/** Wait in milliseconds of the first watch after a list that may be old: it comes back at once with what has changed since. */
const noWait = milliseconds(1);
/** Milliseconds between two looks whether the store answers another kind's calls again. */
const lostPollInterval = milliseconds(150);

export interface StoreFollowerOptions {
    readonly clock: Clock;
    readonly random: () => number;
    readonly log: Log;
    readonly state: SharedState;
    readonly statuses: Readonly<Record<SharedKind, ReplicaStatus>>;
    readonly store: StateStore;
    readonly relayRole: RelayRole;
    readonly turnedAway: UnservedBoxes;
    /** Kinds that the box copies. */
    readonly kinds: readonly SharedKind[];
    /** Passes changes on to the boxes of the region. */
    readonly publish: (update: StateUpdate) => void;
    /** Tells the boxes of the region how far the copies reach, and whether this box is turned away. */
    readonly sendDigestToRegion: () => void;
    readonly signal: AbortSignal;
}

/** The follower of one box. */
export interface StoreFollower {
    /** Milliseconds since the store stopped answering; 0 while it answers. */
    readonly storeUnavailableFor: () => number;
    readonly isStoreUnavailable: () => boolean;
    /** Looks anew whether this box has to follow the store: a box of the region was turned away, or no longer is. */
    readonly wake: () => void;
}

/** Starts a loop for each kind; they end when the signal aborts. */
export function startStoreFollower(options: StoreFollowerOptions): StoreFollower {
    const { clock, log, relayRole, signal, state, statuses, store, turnedAway } = options;
    let storeLostAt: Milliseconds | undefined;
    let lostBy: SharedKind | undefined;
    /** Kinds whose copy a watch has confirmed since the list that may have been old. */
    const isConfirmed = new Set<SharedKind>();
    const patience = createWatchTimeouts({
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
        storeUnavailableFor: () => storeLostAt === undefined ? 0 : Math.round(clock() - storeLostAt),
        isStoreUnavailable: () => storeLostAt !== undefined,
        wake,
    };

    async function follow(kind: SharedKind): Promise<void> {
        let backoff = initialBackoff;
        let isListNeeded = state.replica(kind).revision() === undefined;
        while (!signal.aborted) {
            const wait = notDueFor(kind);
            if (wait > 0) {
                await sleepUntilWoken(wait);
                continue;
            }
            if (isLeftToAnother(kind)) {
                await sleep(lostPollInterval, signal);
                continue;
            }
            try {
                isListNeeded = isListNeeded ? await readList(kind) : !await watchOnce(kind);
                onStoreAnswered();
                backoff = initialBackoff;
            }
            catch (error) {
                if (signal.aborted) {
                    return;
                }
                isListNeeded = onFailed(kind, error, isListNeeded);
                isConfirmed.delete(kind);
                await sleep(jitteredBackoff(backoff, options.random()), signal);
                backoff = nextBackoff(backoff, relayRole.alwaysFollowsStore());
            }
        }
    }

    /**
     * Returns whether the list is asked next. A store whose answer makes no sense is not lost for the other kinds; its list is
     * asked for in place of a watch and the other way round, since what can't be read may stand in one of them only.
     */
    function onFailed(kind: SharedKind, error: unknown, wasListNeeded: boolean): boolean {
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

    /** Milliseconds until this box has to follow the store itself for a kind. */
    function notDueFor(kind: SharedKind): number {
        return relayRole.alwaysFollowsStore() ? 0 : relayRole.followStoreAfterAge(kind) - ageOf(kind);
    }

    /**
     * True while the store does not answer and the kind that found out goes on to call it. That one calls no more once its copy
     * is confirmed by others; then the next kind that is due does.
     */
    function isLeftToAnother(kind: SharedKind): boolean {
        if (storeLostAt === undefined || lostBy === undefined || state.replica(kind).revision() === undefined) {
            return false;
        }
        return lostBy !== kind && notDueFor(lostBy) <= 0;
    }

    /** Reads the whole list; false, as no other is needed after it. The first one may be old: changes since come by a watch, or from others. */
    async function readList(kind: SharedKind): Promise<boolean> {
        const askedAt = clock();
        const known = state.replica(kind).revision();
        const isFirst = known === undefined;
        const listed = isFirst ? await readFirst(kind) : await listNow(kind, "newest");
        if (listed.revision < (known ?? 0)) {
            throw new StoreError("unreadable", `list of ${kind} goes back to ${describePosition(listed.revision)}`);
        }
        state.replica(kind).applySnapshot(listed);
        if (!isFirst) {
            statuses[kind].confirmedAt = askedAt;
            statuses[kind].provenAt = askedAt;
            options.sendDigestToRegion();
            return false;
        }
        const dueAt = askedAt + relayRole.settleTime;
        statuses[kind].confirmedAt = Math.max(statuses[kind].confirmedAt, dueAt - relayRole.followStoreAfterAge(kind));
        isConfirmed.delete(kind);
        return false;
    }

    /** A list that may be old may hold what a store has lost that came back older: of such a store only the newest one counts. */
    async function readFirst<Kind extends SharedKind>(kind: Kind): Promise<Snapshot<SharedItems[Kind]>> {
        const listed = await listNow(kind, "mayBeOld");
        return epochOf(listed.revision) === 0 ? listed : listNow(kind, "newest");
    }

    function listNow<Kind extends SharedKind>(kind: Kind, age: ListConsistency): Promise<Snapshot<SharedItems[Kind]>> {
        return timed(kind, store.list(kind, age, signal), listOverdueAfter);
    }

    /** Waits for one batch of changes; false if the whole list must be read. */
    async function watchOnce<Kind extends SharedKind>(kind: Kind): Promise<boolean> {
        const since = state.replica(kind).revision();
        if (since === undefined) {
            return false;
        }
        const controller = new AbortController();
        statuses[kind].watch = controller;
        const isUrgent = isProofUrgent(kind);
        const stopChecking = patience.limit(kind, controller, isUrgent);
        try {
            return await applyWatch(kind, since, isUrgent, AbortSignal.any([signal, controller.signal]));
        }
        catch (error) {
            // A snapshot of another box came meanwhile, so the watch goes on from there; or it was given up.
            if (controller.signal.aborted) {
                return true;
            }
            throw error;
        }
        finally {
            stopChecking();
            statuses[kind].watch = undefined;
        }
    }

    async function applyWatch<Kind extends SharedKind>(
        kind: Kind,
        since: number,
        isUrgent: boolean,
        watchSignal: AbortSignal,
    ): Promise<boolean> {
        const replica = state.replica(kind);
        const wait = isUrgent ? noWait : relayRole.watchWait(kind);
        const outcome = await timed(
            kind,
            store.watch(kind, since, watchSignal, wait),
            (wait ?? Infinity) + watchOverdueAfter,
        );
        isConfirmed.add(kind);
        patience.onAnswered(kind);
        if (outcome.kind === "historyLost") {
            log.info("store.historyLost", { kind, since: describePosition(since) });
            return false;
        }
        const changedBefore = replica.lastChangeRevision();
        replica.applyChanges(since, outcome.changes, outcome.revision);
        statuses[kind].confirmedAt = clock();
        statuses[kind].provenAt = clock();
        onStoreAnswered();
        const isNews = outcome.changes.length > 0;
        if (isNews) {
            publish({ kind, since: changedBefore, complete: outcome.revision, changes: outcome.changes });
        }
        if (isAwaitedByRegion(isUrgent, isNews)) {
            options.sendDigestToRegion();
        }
        if (isNews) {
            await sleep(watchPauseAfterChange[kind], signal);
        }
        return true;
    }

    /** True if the boxes of the region wait to hear what the store has just told this one. What is published tells them too. */
    function isAwaitedByRegion(isUrgent: boolean, isNews: boolean): boolean {
        return relayRole.hasRelay()
            ? !isNews && relayRole.isAnyUnserved()
            : isUrgent || relayRole.confirmsForRegion();
    }

    /** True for a first watch, and for one that somebody waits for since the copies are overdue. */
    function isProofUrgent(kind: SharedKind): boolean {
        const age = ageOf(kind);
        return !isConfirmed.has(kind) || relayRole.isStale(kind, age) || age >= relayRole.reconnectAfterAge(kind);
    }

    /** Time since the store confirmed the copy, to this box or through another. */
    function ageOf(kind: SharedKind): number {
        return clock() - statuses[kind].confirmedAt;
    }

    /** Takes this box as turned away once a call is overdue, without an end of the call. */
    async function timed<Answer>(kind: SharedKind, call: Promise<Answer>, after: number): Promise<Answer> {
        const timer = Number.isFinite(after) ? setTimeout(() => onOverdue(kind, after), after) : undefined;
        try {
            return await call;
        }
        finally {
            clearTimeout(timer);
        }
    }

    function publish<Kind extends SharedKind>(update: StateUpdate<Kind>): void {
        if (relayRole.hasRelay()) {
            options.publish(update as StateUpdate);
        }
    }

    function onOverdue(kind: SharedKind, after: number): void {
        logOverdue(kind, after);
        onTurnedAway();
    }

    function logOverdue(kind: SharedKind, after: number): void {
        const revision = state.replica(kind).revision();
        log.info("store.overdue", {
            kind,
            after: Math.round(after),
            revision: revision === undefined ? undefined : describePosition(revision),
        });
    }

    /** The first of a region tell the others at once, so that the next ones call. */
    function onTurnedAway(): void {
        if (turnedAway.onUnserved(clock()) && relayRole.shouldBroadcastUnserved()) {
            options.sendDigestToRegion();
        }
    }

    function onStoreAnswered(): void {
        turnedAway.onServed();
        if (storeLostAt !== undefined) {
            log.info("store.regained", { after: Math.round(clock() - storeLostAt) });
            storeLostAt = undefined;
        }
    }

    function onStoreFailed(kind: SharedKind, error: unknown): void {
        lostBy = kind;
        onTurnedAway();
        if (storeLostAt === undefined) {
            storeLostAt = clock();
            const failure = error instanceof StoreError ? error.failure : "unreachable";
            log.warn("store.lost", { kind, failure, reason: String(error) });
        }
    }
}

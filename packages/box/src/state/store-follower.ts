/**
 * Follows the store, kind by kind, while that is this box's part: reads the
 * list once, then waits for one batch of changes after the other.
 *
 * Owns the calls of the store and whether it answers; relies on the relay role
 * for when to call, and on the copies to refuse what is older.
 */

import {
    firstBackoff,
    nextBackoff,
    pauseAfterChange,
    type RelayRole,
    type SharedKind,
    sharedKinds,
    spreadBackoff,
} from "@chalkdale/decisions";
import type { Clock, Milliseconds } from "@chalkdale/kernel";
import { type Log, sleep } from "@chalkdale/runtime";
import type { CopyStatus } from "./copy-status.js";
import type { SharedState } from "./shared-state.js";
import type { StateUpdate } from "./state-messages.js";
import { type StateStore, StoreError } from "./state-store.js";

export interface StoreFollowerOptions {
    readonly clock: Clock;
    readonly random: () => number;
    readonly log: Log;
    readonly state: SharedState;
    readonly statuses: Readonly<Record<SharedKind, CopyStatus>>;
    readonly store: StateStore;
    readonly relayRole: RelayRole;
    /** Passes changes on to the boxes of the region. */
    readonly publish: (update: StateUpdate) => void;
    readonly signal: AbortSignal;
}

/** The follower of one box. */
export interface StoreFollower {
    /** Milliseconds since the store stopped answering; 0 while it answers. */
    readonly storeLostFor: () => number;
    readonly isStoreLost: () => boolean;
}

/** Starts a loop for each kind; they end when the signal aborts. */
export function startStoreFollower(options: StoreFollowerOptions): StoreFollower {
    const { clock, log, relayRole, signal, state, statuses, store } = options;
    let storeLostAt: Milliseconds | undefined;

    for (const kind of sharedKinds) {
        void follow(kind);
    }

    return {
        storeLostFor: () => storeLostAt === undefined ? 0 : Math.round(clock() - storeLostAt),
        isStoreLost: () => storeLostAt !== undefined,
    };

    async function follow(kind: SharedKind): Promise<void> {
        let backoff = firstBackoff;
        let isListNeeded = state.replica(kind).revision() === undefined;
        while (!signal.aborted) {
            const notDueFor = relayRole.followAfterAge() - (clock() - statuses[kind].confirmedAt);
            if (!relayRole.alwaysFollows() && notDueFor > 0) {
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
                await sleep(spreadBackoff(backoff, options.random()), signal);
                backoff = nextBackoff(backoff, relayRole.alwaysFollows());
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

    /** Waits for one batch of changes; false if the whole list must be read. */
    async function watchOnce<Kind extends SharedKind>(kind: Kind): Promise<boolean> {
        const since = state.replica(kind).revision();
        if (since === undefined) {
            return false;
        }
        const controller = new AbortController();
        statuses[kind].watch = controller;
        try {
            return await applyWatch(kind, since, AbortSignal.any([signal, controller.signal]));
        }
        catch (error) {
            // A snapshot of another box came meanwhile, so the watch was ended to go on from there.
            if (controller.signal.aborted) {
                return true;
            }
            throw error;
        }
        finally {
            statuses[kind].watch = undefined;
        }
    }

    async function applyWatch<Kind extends SharedKind>(
        kind: Kind,
        since: number,
        watchSignal: AbortSignal,
    ): Promise<boolean> {
        const replica = state.replica(kind);
        const outcome = await store.watch(kind, since, watchSignal, relayRole.watchWait());
        if (outcome.kind === "historyLost") {
            log.info("store.historyLost", { kind, since });
            return false;
        }
        const changedBefore = replica.changedRevision();
        replica.applyChanges(since, outcome.changes, outcome.revision);
        statuses[kind].confirmedAt = clock();
        if (outcome.changes.length > 0) {
            publish({ kind, since: changedBefore, complete: outcome.revision, changes: outcome.changes });
            await sleep(pauseAfterChange[kind], signal);
        }
        return true;
    }

    function publish<Kind extends SharedKind>(update: StateUpdate<Kind>): void {
        if (relayRole.isRelayed()) {
            options.publish(update as StateUpdate);
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

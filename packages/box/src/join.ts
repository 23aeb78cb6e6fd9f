/**
 * How a box that starts makes itself known: it records itself in the store, then
 * reads all records and greets these boxes. Of two that start at once, the one
 * that reads later sees the other.
 *
 * Each call is tried by itself until it succeeds: with both to succeed in a row,
 * boxes had not met after 20 s while the store turned two of three calls away.
 */

import type { MemberRecord, Membership } from "@chalkdale/decisions";
import type { BoxId, Clock } from "@chalkdale/kernel";
import { type Log, sleep } from "@chalkdale/runtime";
import type { StateStore } from "./state/state-store.js";

export interface JoinOptions {
    readonly clock: Clock;
    readonly log: Log;
    readonly self: BoxId;
    readonly membership: Membership;
    readonly store: StateStore;
    /** Sends what this box knows of all boxes to another. */
    readonly sendGossip: (peer: MemberRecord) => void;
    readonly signal: AbortSignal;
}

/** Milliseconds until a failed call is made again; a box need not be known before it is ready. Not measured. */
const retryPause = 1000;

/** Joins the other boxes. Resolves once that is done or the signal aborts. */
export async function joinMembers(options: JoinOptions): Promise<void> {
    const { clock, membership, signal, store } = options;
    await untilDone(options, () => store.announce(membership.alive(clock())[0], signal));
    await untilDone(options, async () => greetRecorded(options, await store.listBoxes(signal)));
}

function greetRecorded({ self, sendGossip }: JoinOptions, recorded: readonly MemberRecord[]): void {
    recorded.filter(record => record.box !== self).forEach(sendGossip);
}

async function untilDone({ log, signal }: JoinOptions, call: () => Promise<void>): Promise<void> {
    while (!signal.aborted) {
        try {
            await call();
            return;
        }
        catch (error) {
            log.info("members.joinFailed", { reason: String(error) });
            await sleep(retryPause, signal);
        }
    }
}

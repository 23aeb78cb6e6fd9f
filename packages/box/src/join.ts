/**
 * How a box that starts makes itself known: it reads the records of all boxes,
 * which may be old, and greets some of these, who tell the others; unless its own
 * record is among them, it writes it. A box that then follows the store, one of a
 * large region, reads the newest records and greets those that it has not heard
 * of: so boxes that started at once and know only each other are found.
 *
 * Each call is tried by itself until it succeeds: with two to succeed in a row,
 * boxes had not met after 20 s while the store turned two of three calls away.
 *
 * A store that comes back from an older copy of its own may have lost a record that is
 * a few seconds old, so a box that has just started writes it again then.
 */

import { gossipInterval, type MemberRecord, type Membership, type RelayRole } from "@chalkdale/decisions";
import type { BoxId, Clock } from "@chalkdale/kernel";
import { type Log, sleep } from "@chalkdale/runtime";
import type { StateStore } from "./state/state-store.js";

export interface JoinOptions {
    readonly clock: Clock;
    readonly log: Log;
    readonly self: BoxId;
    readonly membership: Membership;
    readonly relayRole: RelayRole;
    readonly store: StateStore;
    /** Epoch of the store as far as the copies tell; undefined before the first. */
    readonly storeEpoch: () => number | undefined;
    /** Gives numbers from 0 to 1. */
    readonly random: () => number;
    /** Sends what this box knows of all boxes to another. */
    readonly sendGossip: (peer: MemberRecord) => void;
    readonly signal: AbortSignal;
}

/** Milliseconds until a failed call is made again; a box need not be known before it is ready. */
const retryPause = 1000;
/** Milliseconds between two looks whether this box follows the store now, and whether the store has come back older. */
const roleCheckInterval = 1000;
/**
 * Boxes of the own region that are greeted at once; and of others. Some may be gone: the store keeps their records. With
 * all of them, the greetings of boxes that start together grow with the square of the fleet.
 */
const nearGreetings = 8;
/** Boxes of other regions that are greeted at once. */
const farGreetings = 4;

/** Milliseconds after which a record is in every copy from which the store may come back: these are some seconds old. */
const recordMayBeLostFor = 60_000;

/** Joins the other boxes. Resolves once that is done or the signal aborts. */
export async function joinMembers(options: JoinOptions): Promise<void> {
    const { membership, relayRole, signal, store } = options;
    let isRecorded = false;
    await untilDone(options, async () => {
        const recorded = await store.listBoxes("mayBeOld", signal);
        isRecorded = recorded.some(record => isSameBox(record, membership.ownRecord()));
        void greetRecorded(options, recorded);
    });
    if (!isRecorded) {
        await untilDone(options, () => store.registerBox(membership.ownRecord(), signal));
    }
    void keepRecorded(options);
    await sleep(relayRole.settleTime, signal);
    while (!signal.aborted && !relayRole.alwaysFollowsStore()) {
        await sleep(roleCheckInterval, signal);
    }
    await untilDone(options, async () => greetUnknown(options, await store.listBoxes("newest", signal)));
}

/** Writes the own record again whenever the store has come back older, for as long as it may have lost it. */
async function keepRecorded({ clock, membership, signal, store, storeEpoch, ...options }: JoinOptions): Promise<void> {
    const recordedAt = clock();
    let epoch = storeEpoch();
    while (!signal.aborted && clock() - recordedAt < recordMayBeLostFor) {
        await sleep(roleCheckInterval, signal);
        const newest = storeEpoch();
        if (epoch !== undefined && newest !== undefined && newest > epoch) {
            await untilDone({ ...options, signal }, () => store.registerBox(membership.ownRecord(), signal));
        }
        epoch = newest;
    }
}

/** True for the record of an earlier life, which tells others all they need: where the box is. */
function isSameBox(recorded: MemberRecord, own: MemberRecord): boolean {
    return recorded.box === own.box && recorded.peerAddress === own.peerAddress && recorded.region === own.region;
}

function greetUnknown({ membership, self, sendGossip }: JoinOptions, recorded: readonly MemberRecord[]): void {
    recorded
        .filter(record => record.box !== self && membership.find(record.box) === undefined)
        .forEach(sendGossip);
}

/** Greets some boxes of the list, and more after a while if none of them answers. */
async function greetRecorded(options: JoinOptions, recorded: readonly MemberRecord[]): Promise<void> {
    const { clock, membership, self, sendGossip, signal } = options;
    const { region } = membership.ownRecord();
    const others = shuffle(recorded.filter(record => record.box !== self), options.random);
    const near = others.filter(record => record.region === region);
    const far = others.filter(record => record.region !== region);
    while (!signal.aborted && near.length + far.length > 0) {
        [...near.splice(0, nearGreetings), ...far.splice(0, farGreetings)].forEach(sendGossip);
        await sleep(gossipInterval, signal);
        if (membership.recentMembers(clock()).length > 0) {
            return;
        }
    }
}

function shuffle(records: readonly MemberRecord[], random: () => number): readonly MemberRecord[] {
    return records
        .map(record => ({ record, order: random() }))
        .sort((a, b) => a.order - b.order)
        .map(({ record }) => record);
}

async function untilDone(
    { log, signal }: Pick<JoinOptions, "log" | "signal">,
    call: () => Promise<void>,
): Promise<void> {
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

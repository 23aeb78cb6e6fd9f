/**
 * Announces a starting box to the others. The box reads the records of all boxes,
 * which may be outdated, and sends gossip to some of them, which pass it on; if its
 * own record is missing, it writes it. Once the box always follows the store, as in
 * a large region only the relay does, it reads the latest records and sends gossip
 * to boxes that it does not know: this finds boxes that started at the same time and
 * know only each other.
 *
 * Each call is retried separately until it succeeds. When two calls had to succeed
 * in a row, boxes did not find each other within 20 s while the store refused two
 * of three calls.
 *
 * A store that is restored from an older copy may have lost records that were
 * written a few seconds before, so a box that has started recently writes its record
 * again after a restore.
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
    /** Epoch of the store according to the replicas; undefined before they have one. */
    readonly storeEpoch: () => number | undefined;
    /** Returns a random number from 0 to 1. */
    readonly random: () => number;
    /** Called with the boxes that the store has records of, each time they were read. */
    readonly onRecorded: (boxes: readonly BoxId[]) => void;
    /** Sends another box what this box knows about all boxes. */
    readonly sendGossip: (peer: MemberRecord) => void;
    readonly signal: AbortSignal;
}

/** Milliseconds before a failed call is retried; a box need not be known before it is ready. */
const retryDelay = 1000;
/** Milliseconds between two checks whether this box follows the store, and whether the store was restored. */
const roleCheckInterval = 1000;
/**
 * Boxes of this box's region that are contacted at once. Some may be gone, as the store keeps their records. If all of
 * them were contacted, the messages of boxes that start together would grow with the square of the fleet.
 */
const maxContactsInRegion = 8;
/** Boxes of other regions that are contacted at once. */
const maxContactsElsewhere = 4;

/**
 * Milliseconds after which every copy from which the store may be restored has the record: such copies are some seconds
 * old.
 */
const recordLossPeriod = 60_000;

/** Joins the other boxes. Resolves once that has succeeded or the signal aborts. */
export async function joinMembers(options: JoinOptions): Promise<void> {
    const { membership, relayRole, signal, store } = options;
    let isRecorded = false;
    await retryUntilDone(options, async () => {
        const recorded = await listBoxes(options, "mayBeOld");
        isRecorded = recorded.some(record => isSameBox(record, membership.ownRecord()));
        void contactRecorded(options, recorded);
    });
    if (!isRecorded) {
        await retryUntilDone(options, () => store.registerBox(membership.ownRecord(), signal));
    }
    void rewriteLostRecord(options);
    await sleep(relayRole.settleTime, signal);
    while (!signal.aborted && !relayRole.alwaysFollowsStore()) {
        await sleep(roleCheckInterval, signal);
    }
    await retryUntilDone(options, async () => contactUnknown(options, await listBoxes(options, "newest")));
}

async function listBoxes(
    { onRecorded, signal, store }: JoinOptions,
    freshness: Parameters<StateStore["listBoxes"]>[0],
): Promise<readonly MemberRecord[]> {
    const recorded = await store.listBoxes(freshness, signal);
    onRecorded(recorded.map(({ box }) => box));
    return recorded;
}

/** Writes the record of this box again whenever the store was restored, for as long as the store may have lost it. */
async function rewriteLostRecord(
    { clock, membership, signal, store, storeEpoch, ...options }: JoinOptions,
): Promise<void> {
    const recordedAt = clock();
    let epoch = storeEpoch();
    while (!signal.aborted && clock() - recordedAt < recordLossPeriod) {
        await sleep(roleCheckInterval, signal);
        const newest = storeEpoch();
        if (epoch !== undefined && newest !== undefined && newest > epoch) {
            await retryUntilDone({ ...options, signal }, () => store.registerBox(membership.ownRecord(), signal));
        }
        epoch = newest;
    }
}

/** True if the record, maybe of an earlier incarnation, has this box's address: that is all that others need. */
function isSameBox(recorded: MemberRecord, own: MemberRecord): boolean {
    return recorded.box === own.box && recorded.peerAddress === own.peerAddress && recorded.region === own.region;
}

function contactUnknown({ membership, self, sendGossip }: JoinOptions, recorded: readonly MemberRecord[]): void {
    recorded
        .filter(record => record.box !== self && membership.find(record.box) === undefined)
        .forEach(sendGossip);
}

/** Contacts some of the recorded boxes, and more of them in each round of gossip until one is heard from. */
async function contactRecorded(options: JoinOptions, recorded: readonly MemberRecord[]): Promise<void> {
    const { clock, membership, self, sendGossip, signal } = options;
    const { region } = membership.ownRecord();
    const others = shuffle(recorded.filter(record => record.box !== self), options.random);
    const inRegion = others.filter(record => record.region === region);
    const elsewhere = others.filter(record => record.region !== region);
    while (!signal.aborted && inRegion.length + elsewhere.length > 0) {
        [...inRegion.splice(0, maxContactsInRegion), ...elsewhere.splice(0, maxContactsElsewhere)].forEach(sendGossip);
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

async function retryUntilDone(
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
            await sleep(retryDelay, signal);
        }
    }
}

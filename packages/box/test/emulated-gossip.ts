/**
 * Gossip between the boxes of a test on an emulated clock: messages are delayed, may be lost, and don't reach a box
 * that is cut off. In each round every box contacts a random one, and both send their reports.
 */

import type { MemberRecord } from "@chalkdale/decisions";
import { createSeededRandom, type Milliseconds, milliseconds, type RandomSource } from "@chalkdale/kernel";

/** A box that takes part in the gossip. */
export interface GossipingBox {
    readonly record: MemberRecord;
    /** True while messages neither from nor to the box arrive. */
    isCutOff: boolean;
}

/** Conditions of the gossip, and the handlers of its rounds and messages. */
export interface EmulatedGossipOptions<Box extends GossipingBox, Report> {
    readonly seed: number;
    /** Time at which the clock starts, in milliseconds. */
    readonly startsAt: number;
    /** Current fraction of messages that are lost. */
    readonly loss: () => number;
    /** Called in each round, before the box contacts another one. */
    readonly onRound: (box: Box) => void;
    /** Returns the reports that a box sends to another one in a round; undefined if there are none. */
    readonly gossipPayload: (box: Box) => readonly Report[] | undefined;
    /** Called when a message arrives at a box. */
    readonly onReports: (box: Box, reports: readonly Report[]) => void;
}

/** Milliseconds between two rounds of gossip. */
const roundInterval = 300;
/** Milliseconds by which the clock advances at a time. */
const step = 10;
/** Maximum delay of a message in milliseconds. */
const maxDelay = 40;

/** The boxes and the gossip between them. */
export interface EmulatedGossip<Box extends GossipingBox, Report> {
    /** Running boxes; the test adds them. */
    readonly boxes: Box[];
    readonly random: RandomSource;
    readonly now: () => Milliseconds;
    /** Messages sent so far, lost ones included. */
    readonly messages: () => number;
    /** Sends reports from one box to another, which may be lost. */
    readonly send: (from: Box, to: MemberRecord, reports: readonly Report[]) => void;
    /** Advances the clock by `duration` milliseconds; reactions of settled promises run after each step. */
    readonly play: (duration: number) => Promise<void>;
}

/** Creates the gossip of a test, without boxes. */
export function createEmulatedGossip<Box extends GossipingBox, Report>(
    options: EmulatedGossipOptions<Box, Report>,
): EmulatedGossip<Box, Report> {
    const random = createSeededRandom(options.seed);
    const boxes: Box[] = [];
    let now = options.startsAt;
    let messageCount = 0;
    let undelivered: { readonly due: number; readonly deliver: () => void; }[] = [];

    return {
        boxes,
        random,
        now: () => milliseconds(now),
        messages: () => messageCount,
        send,
        async play(duration) {
            for (const end = now + duration; now < end; now += step) {
                if (now % roundInterval === 0) {
                    gossip();
                }
                deliverArrived();
                await Promise.resolve();
            }
        },
    };

    function deliverArrived(): void {
        const arrived = undelivered.filter(({ due }) => due <= now);
        undelivered = undelivered.filter(({ due }) => due > now);
        arrived.forEach(({ deliver }) => deliver());
    }

    function send(from: Box, { box }: MemberRecord, reports: readonly Report[]): void {
        const to = boxes.find(other => other.record.box === box)!;
        messageCount += 1;
        if (from.isCutOff || to.isCutOff || random() < options.loss()) {
            return;
        }
        const copy = JSON.parse(JSON.stringify(reports)) as readonly Report[];
        undelivered.push({ due: now + random() * maxDelay, deliver: () => options.onReports(to, copy) });
    }

    function gossip(): void {
        for (const box of boxes) {
            options.onRound(box);
            const peer = boxes[Math.floor(random() * boxes.length)];
            sendGossip(box, peer);
            sendGossip(peer, box);
        }
    }

    function sendGossip(from: Box, to: Box): void {
        const reports = from === to ? undefined : options.gossipPayload(from);
        if (reports !== undefined) {
            send(from, to.record, reports);
        }
    }
}

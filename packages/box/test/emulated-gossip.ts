/**
 * Messages between the boxes of a test on an emulated clock: they take their
 * time, may be lost, and don't reach a box that is cut off. In each round every
 * box asks another one, and both tell what they know.
 */

import type { MemberRecord } from "@chalkdale/decisions";
import { createSeededRandom, type Milliseconds, milliseconds, type RandomSource } from "@chalkdale/kernel";

/** A box as the messages know it. */
export interface GossipingBox {
    readonly record: MemberRecord;
    isCutOff: boolean;
}

export interface EmulatedGossipOptions<Box extends GossipingBox, Report> {
    readonly seed: number;
    /** When the clock begins, in milliseconds. */
    readonly startsAt: number;
    /** Part of the messages that are lost, as it is now. */
    readonly loss: () => number;
    /** Due with each round, before the box asks another one. */
    readonly onRound: (box: Box) => void;
    /** What a box tells another one in a round. */
    readonly gossipPart: (box: Box) => readonly Report[] | undefined;
    /** A message arrives. */
    readonly onReports: (box: Box, reports: readonly Report[]) => void;
}

/** Milliseconds between two rounds of gossip. */
const round = 300;
/** Milliseconds of one step. */
const step = 10;
/** Milliseconds that a message takes at most. */
const longestWay = 40;

/** The boxes and their messages. */
export interface EmulatedGossip<Box extends GossipingBox, Report> {
    /** Those that run; a test adds them. */
    readonly boxes: Box[];
    readonly random: RandomSource;
    readonly now: () => Milliseconds;
    /** Messages sent so far, lost ones included. */
    readonly messages: () => number;
    readonly send: (from: Box, to: MemberRecord, reports: readonly Report[]) => void;
    /** Goes on for so many milliseconds; what has been resolved meanwhile goes on after each step. */
    readonly play: (duration: number) => Promise<void>;
}

/** Creates the messages of a test without boxes. */
export function createEmulatedGossip<Box extends GossipingBox, Report>(
    options: EmulatedGossipOptions<Box, Report>,
): EmulatedGossip<Box, Report> {
    const random = createSeededRandom(options.seed);
    const boxes: Box[] = [];
    let now = options.startsAt;
    let messages = 0;
    let onTheWay: { readonly due: number; readonly deliver: () => void; }[] = [];

    return {
        boxes,
        random,
        now: () => milliseconds(now),
        messages: () => messages,
        send,
        async play(duration) {
            for (const end = now + duration; now < end; now += step) {
                if (now % round === 0) {
                    gossip();
                }
                deliverArrived();
                await Promise.resolve();
            }
        },
    };

    function deliverArrived(): void {
        const arrived = onTheWay.filter(({ due }) => due <= now);
        onTheWay = onTheWay.filter(({ due }) => due > now);
        arrived.forEach(({ deliver }) => deliver());
    }

    function send(from: Box, { box }: MemberRecord, reports: readonly Report[]): void {
        const to = boxes.find(other => other.record.box === box)!;
        messages += 1;
        if (from.isCutOff || to.isCutOff || random() < options.loss()) {
            return;
        }
        const copy = JSON.parse(JSON.stringify(reports)) as readonly Report[];
        onTheWay.push({ due: now + random() * longestWay, deliver: () => options.onReports(to, copy) });
    }

    function gossip(): void {
        for (const box of boxes) {
            options.onRound(box);
            const peer = boxes[Math.floor(random() * boxes.length)];
            tell(box, peer);
            tell(peer, box);
        }
    }

    function tell(from: Box, to: Box): void {
        const reports = from === to ? undefined : options.gossipPart(from);
        if (reports !== undefined) {
            send(from, to.record, reports);
        }
    }
}

/**
 * Which members a box probes in each gossip round, and which members did not answer.
 *
 * Rounds alternate between the next member of the box's region and the next
 * advertised box of that region. Each order is shuffled again once all its members
 * were probed, so that some box probes each member in about every round or every second
 * one, whatever the number of boxes. Because of the advertised rounds, each box
 * detects a lost advertised box by itself even while many other updates are being
 * disseminated. While any box is suspected, each round probes both. On average only
 * `crossRegionProbers` boxes of a region also probe a box of another region in a
 * round: traffic between regions is expensive and must not grow with the fleet.
 *
 * Owns the probes that wait for an answer; relies on the membership for the members
 * and for when each was last heard from.
 */

import type { BoxId, Milliseconds } from "@chalkdale/kernel";
import type { MemberRecord } from "./member-record.js";
import { gossipInterval } from "./membership-times.js";
import type { Membership } from "./membership.js";

/** Probes of one box. */
export interface Probing {
    /** Begins a round: returns the members to probe now, and reports to the membership those that did not answer. */
    readonly nextRound: (at: Milliseconds) => readonly MemberRecord[];
}

/**
 * Number of boxes of a region that probe another region in a round, on average; more than one, since some may be lost.
 */
const crossRegionProbers = 8;
/** Number of probes before a member is suspected: one datagram of a probe or its answer may be lost. */
const maxProbes = 2;
/**
 * Fraction of its turns in which a failed member is probed. If it were probed in each, half of the messages that carry
 * updates would be lost while half of a fleet is lost.
 */
const failedProbeFraction = 0.25;
/**
 * Maximum number of suspects that a box probes in a round besides the regular probes, so that the loss of half a fleet
 * costs each box few messages.
 */
const maxSuspectProbes = 2;
/** Milliseconds for an answer: a round trip between regions and a busy box; less than a round, since rounds vary. */
const answerTimeout = gossipInterval * 0.9;

interface Probe {
    readonly firstSentAt: Milliseconds;
    lastSentAt: Milliseconds;
    sendCount: number;
}

export interface ProbingOptions {
    readonly membership: Membership;
    /** Returns numbers from 0 to 1. */
    readonly random: () => number;
    /** True for a box whose address callers get from the directory. */
    readonly isAdvertised: (box: BoxId) => boolean;
}

/** Creates the probing of a box that has sent no probes. */
export function createProbing({ isAdvertised, membership, random }: ProbingOptions): Probing {
    const probes = new Map<BoxId, Probe>();
    const sameRegionQueue: MemberRecord[] = [];
    const advertisedQueue: MemberRecord[] = [];
    let isTurnOfAdvertised = false;
    const otherRegionQueue: MemberRecord[] = [];

    return {
        nextRound(at) {
            const own = membership.ownRecord();
            const members = membership.recentMembers(at);
            const isSameRegion = (member: MemberRecord) => member.region === own.region;
            const retries = collectRetries(at);
            const regionSize =
                members.filter(member => isSameRegion(member) && membership.isAlive(member.box, at)).length
                + 1;
            const targets = [...retries, ...membership.nextSuspectsToProbe(maxSuspectProbes, at)];
            isTurnOfAdvertised = !isTurnOfAdvertised;
            const isAnySuspected = membership.isAnySuspected(at);
            if (isTurnOfAdvertised || isAnySuspected) {
                targets.push(
                    ...next(advertisedQueue, members, member => isSameRegion(member) && isAdvertised(member.box), at),
                );
            }
            if (!isTurnOfAdvertised || isAnySuspected) {
                targets.push(...next(sameRegionQueue, members, isSameRegion, at));
            }
            if (random() < crossRegionProbers / regionSize) {
                targets.push(...next(otherRegionQueue, members, member => !isSameRegion(member), at));
            }
            targets.forEach(({ box }) => noteSent(box, at));
            return targets;
        },
    };

    function noteSent(box: BoxId, at: Milliseconds): void {
        const probe = probes.get(box);
        if (probe === undefined) {
            probes.set(box, { firstSentAt: at, lastSentAt: at, sendCount: 1 });
            return;
        }
        probe.lastSentAt = at;
        probe.sendCount += 1;
    }

    /** Removes the probes that were answered or have finally failed; returns the members to probe again. */
    function collectRetries(at: Milliseconds): readonly MemberRecord[] {
        const retries: MemberRecord[] = [];
        for (const [box, probe] of probes) {
            const member = membership.find(box);
            if (member === undefined || membership.isHeardSince(box, probe.firstSentAt)) {
                probes.delete(box);
                continue;
            }
            if (at - probe.lastSentAt < answerTimeout) {
                continue;
            }
            if (probe.sendCount < maxProbes) {
                retries.push(member);
                continue;
            }
            probes.delete(box);
            membership.onProbeFailed(box, probe.firstSentAt);
        }
        return retries;
    }

    /**
     * Returns the next member of a queue, which is filled and shuffled again once it is empty; no member if none is
     * due.
     */
    function next(
        queue: MemberRecord[],
        members: readonly MemberRecord[],
        accept: (member: MemberRecord) => boolean,
        at: Milliseconds,
    ): readonly MemberRecord[] {
        if (queue.length === 0) {
            queue.push(...shuffle(members.filter(member => accept(member) && isDueInTurn(member, at))));
        }
        while (queue.length > 0) {
            const member = queue.pop();
            if (member !== undefined && !probes.has(member.box)) {
                return [member];
            }
        }
        return [];
    }

    /** A failed member is probed only sometimes, in case it was only disconnected. */
    function isDueInTurn({ box }: MemberRecord, at: Milliseconds): boolean {
        return membership.isAlive(box, at) || random() < failedProbeFraction;
    }

    function shuffle(members: readonly MemberRecord[]): readonly MemberRecord[] {
        return members
            .map(member => ({ member, order: random() }))
            .sort((a, b) => a.order - b.order)
            .map(({ member }) => member);
    }
}

/**
 * Whom a box asks for a sign of life in each round, and which members did not
 * answer.
 *
 * Each round goes to the next member of the own region, in an order that is
 * shuffled anew each time, so that each is asked by someone in about each round
 * or two whatever the number of boxes. Every other round goes to one of those
 * that callers are named, so that each box finds a lost one of these by itself
 * even when much other news is under way; while any box is suspected, each round
 * goes to both. Only so many boxes of a region as `farAskers`
 * also ask one of another region in a round: bytes between regions are dear,
 * and their number must not grow with the fleet.
 *
 * Owns the questions that wait for an answer; relies on the membership for who
 * there is and who was heard.
 */

import type { BoxId, Milliseconds } from "@chalkdale/kernel";
import type { MemberRecord } from "./member-record.js";
import { gossipInterval } from "./membership-times.js";
import type { Membership } from "./membership.js";

/** Questions of one box. */
export interface Probing {
    /** Begins a round: returns the members to ask now, and tells the membership of those that did not answer. */
    readonly nextRound: (at: Milliseconds) => readonly MemberRecord[];
}

/** Boxes of a region that ask another region in a round, on average: some of them may be lost. */
const farAskers = 8;
/** Times that a member is asked before it is suspected: one datagram of a question or its answer may be lost. */
const mostTries = 2;
/**
 * Part of the turns in which a failed member is asked: with all, half of the messages that carry news are lost while half of a
 * fleet is.
 */
const askFailedPart = 0.25;
/** Suspects that a box asks in one round beside its own turn, so that the loss of half a fleet costs each box few messages. */
const mostDoubtful = 2;
/** Time for an answer: a way between regions and back, and a box that is busy; less than a round, since rounds vary. */
const answerTime = gossipInterval * 0.9;

interface Question {
    readonly askedAt: Milliseconds;
    triedAt: Milliseconds;
    tries: number;
}

export interface ProbingOptions {
    readonly membership: Membership;
    /** Gives numbers from 0 to 1. */
    readonly random: () => number;
    /** True for a box that callers are named. */
    readonly isAdvertised: (box: BoxId) => boolean;
}

/** Creates the questions of a box. */
export function createProbing({ isAdvertised, membership, random }: ProbingOptions): Probing {
    const questions = new Map<BoxId, Question>();
    const near: MemberRecord[] = [];
    const advertised: MemberRecord[] = [];
    let isTurnOfAdvertised = false;
    const far: MemberRecord[] = [];

    return {
        nextRound(at) {
            const own = membership.ownRecord();
            const members = membership.recentMembers(at);
            const isNear = (member: MemberRecord) => member.region === own.region;
            const again = takeUnanswered(at);
            const regionSize = members.filter(member => isNear(member) && membership.isAlive(member.box, at)).length
                + 1;
            const targets = [...again, ...membership.nextSuspectsToProbe(mostDoubtful, at)];
            isTurnOfAdvertised = !isTurnOfAdvertised;
            const isUneasy = membership.isAnySuspected(at);
            if (isTurnOfAdvertised || isUneasy) {
                targets.push(...next(advertised, members, member => isNear(member) && isAdvertised(member.box), at));
            }
            if (!isTurnOfAdvertised || isUneasy) {
                targets.push(...next(near, members, isNear, at));
            }
            if (random() < farAskers / regionSize) {
                targets.push(...next(far, members, member => !isNear(member), at));
            }
            targets.forEach(({ box }) => ask(box, at));
            return targets;
        },
    };

    function ask(box: BoxId, at: Milliseconds): void {
        const question = questions.get(box);
        if (question === undefined) {
            questions.set(box, { askedAt: at, triedAt: at, tries: 1 });
            return;
        }
        question.triedAt = at;
        question.tries += 1;
    }

    /** Ends the questions that were answered or asked in vain; returns the members to ask again. */
    function takeUnanswered(at: Milliseconds): readonly MemberRecord[] {
        const again: MemberRecord[] = [];
        for (const [box, question] of questions) {
            const member = membership.find(box);
            if (member === undefined || membership.isHeardSince(box, question.askedAt)) {
                questions.delete(box);
                continue;
            }
            if (at - question.triedAt < answerTime) {
                continue;
            }
            if (question.tries < mostTries) {
                again.push(member);
                continue;
            }
            questions.delete(box);
            membership.onProbeFailed(box, question.askedAt);
        }
        return again;
    }

    /** The next member of an order, which is made anew once all of it were asked; empty if there is none. */
    function next(
        order: MemberRecord[],
        members: readonly MemberRecord[],
        accept: (member: MemberRecord) => boolean,
        at: Milliseconds,
    ): readonly MemberRecord[] {
        if (order.length === 0) {
            order.push(...shuffle(members.filter(member => accept(member) && isAskedInTurn(member, at))));
        }
        while (order.length > 0) {
            const member = order.pop();
            if (member !== undefined && !questions.has(member.box)) {
                return [member];
            }
        }
        return [];
    }

    /** A failed member is asked at times, in case it was cut off. */
    function isAskedInTurn({ box }: MemberRecord, at: Milliseconds): boolean {
        return membership.isAlive(box, at) || random() < askFailedPart;
    }

    function shuffle(members: readonly MemberRecord[]): readonly MemberRecord[] {
        return members
            .map(member => ({ member, order: random() }))
            .sort((a, b) => a.order - b.order)
            .map(({ member }) => member);
    }
}

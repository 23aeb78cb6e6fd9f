/**
 * Which members a message tells of: first those whose news was told least, then
 * a few others in turn, so that lost news does not stay unknown.
 *
 * Owns how often each member's news is still to be told; relies on the members.
 */

import type { BoxId } from "@chalkdale/kernel";
import type { MemberRecord } from "./member-record.js";
import { retransmitLimit } from "./membership-times.js";

/** News of members on their way. */
export interface MemberUpdates {
    /** A member became known. */
    readonly onMemberAdded: (record: MemberRecord) => void;
    /** Something about a member changed that others should hear. */
    readonly onMemberChanged: (record: MemberRecord) => void;
    /** A member is suspected that someone has heard from since. */
    readonly onSuspicionRefuted: (record: MemberRecord) => void;
    /** True if the load has changed enough since it was last told as news. */
    readonly isLoadChangeSignificant: (record: MemberRecord) => boolean;
    /** Takes at most `count` members to tell of; only those that `isRecent` are told in turn. */
    readonly nextUpdates: (count: number, isRecent: (box: BoxId) => boolean) => readonly BoxId[];
}

/** Members told in turn in each message besides the news. */
const toldInTurn = 4;
/**
 * Messages in which a box tells of a member that is new to it: fewer than of other news, since boxes that hear of unknown ones
 * read all members from another box.
 */
const newMemberSends = 6;
/** Messages that contradict a suspicion; whoever learns from one that it was suspected tells it on as news. */
const contradictionSends = 3;
/** Part of its capacity by which a box's load changes before it is news. */
const loadChange = 0.1;

interface ToldMember {
    readonly box: BoxId;
    capacity: number;
    /** Messages that will still tell of it. */
    sendsLeft: number;
    /** Load as it was last told as news. */
    toldLoad: number;
}

/** Creates the news; there is none yet. */
export function createMemberUpdates(): MemberUpdates {
    const members = new Map<BoxId, ToldMember>();
    let turn: Iterator<ToldMember> = members.values();

    return {
        onMemberAdded({ box, capacity, load }) {
            members.set(box, { box, capacity, sendsLeft: newMemberSends, toldLoad: load });
        },
        onMemberChanged({ box, capacity, load }) {
            const member = members.get(box);
            if (member !== undefined) {
                member.capacity = capacity;
                member.sendsLeft = retransmitLimit(members.size + 1);
                member.toldLoad = load;
            }
        },
        onSuspicionRefuted({ box }) {
            const member = members.get(box);
            if (member !== undefined) {
                member.sendsLeft = Math.max(member.sendsLeft, contradictionSends);
            }
        },
        isLoadChangeSignificant({ box, capacity, load }) {
            const member = members.get(box);
            return member !== undefined && Math.abs(load - member.toldLoad) > capacity * loadChange;
        },
        nextUpdates(count, isRecent) {
            const news = [...members.values()]
                .filter(({ sendsLeft }) => sendsLeft > 0)
                .sort((a, b) => b.sendsLeft - a.sendsLeft || b.capacity - a.capacity)
                .slice(0, count);
            for (const member of news) {
                member.sendsLeft -= 1;
            }
            const inTurn = nextInTurn(Math.min(toldInTurn, count - news.length), isRecent);
            return [...new Set([...news, ...inTurn])].map(({ box }) => box);
        },
    };

    /** Members in the order in which they became known, over and over. */
    function nextInTurn(count: number, isRecent: (box: BoxId) => boolean): readonly ToldMember[] {
        const chosen: ToldMember[] = [];
        for (let tries = 0; tries < members.size && chosen.length < count; tries++) {
            let next = turn.next();
            if (next.done === true) {
                turn = members.values();
                next = turn.next();
            }
            const member = next.value as ToldMember | undefined;
            if (member !== undefined && isRecent(member.box)) {
                chosen.push(member);
            }
        }
        return chosen;
    }
}

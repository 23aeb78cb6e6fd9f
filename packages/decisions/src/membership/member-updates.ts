/**
 * Which members a message contains updates of: first those whose update was sent in the
 * fewest messages, then a few others in rotation, so that a lost update is made up for.
 *
 * Owns the number of messages in which each update is still to be sent; relies on the
 * membership for the members and their state.
 */

import type { BoxId } from "@chalkdale/kernel";
import type { MemberRecord } from "./member-record.js";
import { retransmitLimit } from "./membership-times.js";

/** Updates of members that are being disseminated. */
export interface MemberUpdates {
    /** A member became known. */
    readonly onMemberAdded: (record: MemberRecord) => void;
    /** A member's state has changed in a way that other boxes should know. */
    readonly onMemberChanged: (record: MemberRecord) => void;
    /** Another box suspects a member from which some box has heard since. */
    readonly onSuspicionRefuted: (record: MemberRecord) => void;
    /** True if the load has changed enough since the last update of the member to be worth another one. */
    readonly isLoadChangeSignificant: (record: MemberRecord) => boolean;
    /**
     * Returns at most `count` members for the next message and counts it; of members without an update, only those that
     * are recent.
     */
    readonly nextUpdates: (count: number, isRecent: (box: BoxId) => boolean) => readonly BoxId[];
}

/** Maximum number of members that a message contains in rotation, besides those with an update. */
const membersInTurn = 4;
/**
 * Number of messages in which a box sends a member that is new to it: fewer than for other updates, since a box that
 * learns of an unknown member reads all members from another box.
 */
const newMemberSends = 6;
/**
 * Number of messages that refute a suspicion; a box that clears its suspicion because of one disseminates that as an
 * update.
 */
const refutationSends = 3;
/** Change of a box's load that is worth an update, as a fraction of its capacity. */
const significantLoadChange = 0.1;

interface DisseminatedMember {
    readonly box: BoxId;
    capacity: number;
    /** Number of messages that will still contain its update. */
    sendsLeft: number;
    /** Load at the last update. */
    sentLoad: number;
}

/** Creates an empty set of updates. */
export function createMemberUpdates(): MemberUpdates {
    const members = new Map<BoxId, DisseminatedMember>();
    let rotation: Iterator<DisseminatedMember> = members.values();

    return {
        onMemberAdded({ box, capacity, load }) {
            members.set(box, { box, capacity, sendsLeft: newMemberSends, sentLoad: load });
        },
        onMemberChanged({ box, capacity, load }) {
            const member = members.get(box);
            if (member !== undefined) {
                member.capacity = capacity;
                member.sendsLeft = retransmitLimit(members.size + 1);
                member.sentLoad = load;
            }
        },
        onSuspicionRefuted({ box }) {
            const member = members.get(box);
            if (member !== undefined) {
                member.sendsLeft = Math.max(member.sendsLeft, refutationSends);
            }
        },
        isLoadChangeSignificant({ box, capacity, load }) {
            const member = members.get(box);
            return member !== undefined && Math.abs(load - member.sentLoad) > capacity * significantLoadChange;
        },
        nextUpdates(count, isRecent) {
            const updated = [...members.values()]
                .filter(({ sendsLeft }) => sendsLeft > 0)
                .sort((a, b) => b.sendsLeft - a.sendsLeft || b.capacity - a.capacity)
                .slice(0, count);
            for (const member of updated) {
                member.sendsLeft -= 1;
            }
            const inTurn = nextInTurn(Math.min(membersInTurn, count - updated.length), isRecent);
            return [...new Set([...updated, ...inTurn])].map(({ box }) => box);
        },
    };

    /** Cycles through the members in the order in which they became known. */
    function nextInTurn(count: number, isRecent: (box: BoxId) => boolean): readonly DisseminatedMember[] {
        const chosen: DisseminatedMember[] = [];
        for (let tries = 0; tries < members.size && chosen.length < count; tries++) {
            let next = rotation.next();
            if (next.done === true) {
                rotation = members.values();
                next = rotation.next();
            }
            const member = next.value as DisseminatedMember | undefined;
            if (member !== undefined && isRecent(member.box)) {
                chosen.push(member);
            }
        }
        return chosen;
    }
}

/**
 * Which boxes run, by what boxes hear of each other (after Das, Gupta and
 * Motivala, "SWIM: scalable weakly-consistent infection-style process group
 * membership protocol", 2002).
 *
 * A box that does not answer is suspected; the suspicion spreads, and unless
 * someone has heard from the box since, it counts as failed after a while.
 * Only news spreads, so a datagram's size does not grow with the fleet. Nobody
 * compares clocks: messages carry ages.
 *
 * Owns the record of this box and the latest of all others, with the news of them
 * (`member-news`) and the silence of regions (`region-ages`); relies on whoever
 * sends and receives the messages, and on the probing for who did not answer.
 */

import type { BoxId, Milliseconds, RegionId } from "@chalkdale/kernel";
import type { MemberRecord } from "./member-record.js";
import { createMemberUpdates } from "./member-updates.js";
import { gossipToFailedTime, maxMessageDelay, suspicionTimeout } from "./membership-times.js";
import { createRegionLiveness } from "./region-liveness.js";

/** What a box tells of a member. */
export interface MemberStatus {
    readonly record: MemberRecord;
    /** Milliseconds since someone heard from the member itself. */
    readonly heardAgo: number;
    /** Milliseconds since the question that it left unanswered; undefined for one that is not suspected. */
    readonly suspectedFor: number | undefined;
}

/** What changes about a box while it runs. */
interface MemberState {
    readonly ready: boolean;
    readonly leaving: boolean;
    readonly load: number;
}

/** Members, and who has heard from each. */
export interface Membership {
    readonly ownRecord: () => MemberRecord;
    /** Counts up the own heartbeat and returns the own record. */
    readonly incrementHeartbeat: () => MemberRecord;
    readonly setOwnState: (state: MemberState) => void;
    /** A message came from the box itself. True if it was not known before. */
    readonly onHeard: (record: MemberRecord, at: Milliseconds) => boolean;
    /** Takes what another box tells of members. */
    readonly merge: (sightings: readonly MemberStatus[], at: Milliseconds) => void;
    /** A member did not answer what it was asked. */
    readonly onProbeFailed: (box: BoxId, askedAt: Milliseconds) => void;
    /** True for a member that is taken to run. */
    readonly isAlive: (box: BoxId, at: Milliseconds) => boolean;
    /** True if someone has heard from the member since. */
    readonly isHeardSince: (box: BoxId, since: Milliseconds) => boolean;
    readonly find: (box: BoxId) => MemberRecord | undefined;
    /** Boxes that run, this one included. */
    readonly alive: (at: Milliseconds) => readonly MemberRecord[];
    /** Boxes to which callers may be sent: alive, ready and not leaving. */
    readonly inService: (at: Milliseconds) => readonly MemberRecord[];
    /** True while a box is suspected and not yet taken as failed. */
    readonly isAnySuspected: (at: Milliseconds) => boolean;
    /** Boxes of the own region whose suspicion is about to be believed, each once: this box should ask them itself. */
    readonly nextSuspectsToProbe: (count: number, at: Milliseconds) => readonly MemberRecord[];
    /** Boxes heard of within the memory, to which messages may go; this one excluded. */
    readonly recentMembers: (at: Milliseconds) => readonly MemberRecord[];
    /** What is known of all boxes that run but this one. */
    readonly statuses: (at: Milliseconds) => readonly MemberStatus[];
    /** Takes what others should hear next: the news that was told least, and a few members in turn. */
    readonly nextUpdates: (count: number, at: Milliseconds) => readonly MemberStatus[];
    /** Milliseconds since anyone heard from a box of each region. */
    readonly regionAges: (at: Milliseconds) => ReadonlyMap<RegionId, number>;
    readonly mergeRegionAges: (ages: ReadonlyMap<RegionId, number>, at: Milliseconds) => void;
    /** True once after others suspected this box: they should hear from it. */
    readonly consumeOwnSuspicion: () => boolean;
}

/** Part of the time of a suspicion after which a box asks the suspect itself, so that an answer still comes in time. */
const askAfterPart = 0.5;

interface Entry {
    record: MemberRecord;
    /** When someone last heard from the box. */
    heardAt: number;
    /** When it was asked what it has not answered; undefined unless it is suspected. */
    suspectedAt: number | undefined;
    /** This box itself has asked it since it is suspected. */
    isAsked: boolean;
}

/** Creates a membership that knows this box only. */
export function createMembership(self: MemberRecord): Membership {
    const others = new Map<BoxId, Entry>();
    const regions = createRegionLiveness();
    const news = createMemberUpdates();
    let own = self;
    let isSuspected = false;

    return {
        ownRecord: () => own,
        incrementHeartbeat() {
            own = { ...own, heartbeat: own.heartbeat + 1 };
            return own;
        },
        setOwnState(state) {
            own = { ...own, ...state };
        },
        onHeard(record, at) {
            regions.onHeard(record.region, at);
            const isUnknown = record.box !== own.box && !others.has(record.box);
            take(record, at, undefined);
            return isUnknown;
        },
        merge(sightings, at) {
            for (const { heardAgo, record, suspectedFor } of sightings) {
                const suspectedAt = suspectedFor === undefined ? undefined : at - suspectedFor;
                take(record, at - heardAgo - maxMessageDelay, suspectedAt);
            }
        },
        onProbeFailed(box, askedAt) {
            const entry = others.get(box);
            if (entry !== undefined) {
                suspect(entry, askedAt);
            }
        },
        isHeardSince: (box, since) => (others.get(box)?.heardAt ?? since) >= since,
        isAlive: (box, at) => {
            const entry = others.get(box);
            return entry !== undefined && isAlive(entry, at);
        },
        find: box => box === own.box ? own : others.get(box)?.record,
        alive: at => [own, ...recordsOf(entry => isAlive(entry, at))],
        inService(at) {
            const records = [own, ...recordsOf(entry => isAlive(entry, at))];
            return records.filter(record => record.ready && !record.leaving);
        },
        isAnySuspected: at => [...others.values()].some(entry => entry.suspectedAt !== undefined && isAlive(entry, at)),
        nextSuspectsToProbe(count, at) {
            const doubtful = [...others.values()].filter(entry => isDoubtful(entry, at)).slice(0, count);
            for (const entry of doubtful) {
                entry.isAsked = true;
            }
            return doubtful.map(entry => entry.record);
        },
        recentMembers: at => recordsOf(entry => at - entry.heardAt < gossipToFailedTime),
        statuses: at => [...others.values()].filter(entry => isAlive(entry, at)).map(entry => sightingOf(entry, at)),
        nextUpdates: (count, at) =>
            news.nextUpdates(count, box => at - (others.get(box)?.heardAt ?? -Infinity) < gossipToFailedTime)
                .map(box => others.get(box))
                .filter(entry => entry !== undefined)
                .map(entry => sightingOf(entry, at)),
        regionAges: regions.ages,
        mergeRegionAges: regions.merge,
        consumeOwnSuspicion() {
            const wasSuspected = isSuspected;
            isSuspected = false;
            return wasSuspected;
        },
    };

    function take(record: MemberRecord, heardAt: number, suspectedAt: number | undefined): void {
        if (record.box === own.box) {
            isSuspected ||= suspectedAt !== undefined && record.incarnation === own.incarnation;
            return;
        }
        const entry = others.get(record.box);
        if (entry === undefined || record.incarnation > entry.record.incarnation) {
            const suspicion = suspectedAt !== undefined && suspectedAt > heardAt ? suspectedAt : undefined;
            others.set(record.box, { record, heardAt, suspectedAt: suspicion, isAsked: false });
            news.onMemberAdded(record);
            return;
        }
        if (record.incarnation === entry.record.incarnation) {
            hear(entry, record, heardAt);
            if (suspectedAt !== undefined) {
                suspect(entry, suspectedAt);
            }
        }
    }

    /** Takes that someone heard from a box, and its state if that is newer. */
    function hear(entry: Entry, record: MemberRecord, heardAt: number): void {
        entry.heardAt = Math.max(entry.heardAt, heardAt);
        if (entry.suspectedAt !== undefined && entry.heardAt >= entry.suspectedAt) {
            entry.suspectedAt = undefined;
            news.onMemberChanged(entry.record);
        }
        if (record.heartbeat <= entry.record.heartbeat) {
            return;
        }
        const { leaving, ready } = entry.record;
        entry.record = record;
        if (record.leaving !== leaving || record.ready !== ready || news.isLoadChangeSignificant(record)) {
            news.onMemberChanged(record);
        }
    }

    /** Takes a suspicion, unless someone has heard from the box since: then those who suspect it should hear that. */
    function suspect(entry: Entry, askedAt: number): void {
        if (entry.heardAt >= askedAt) {
            news.onSuspicionRefuted(entry.record);
            return;
        }
        if (entry.suspectedAt === undefined) {
            entry.suspectedAt = askedAt;
            entry.isAsked = false;
            news.onMemberChanged(entry.record);
            return;
        }
        entry.suspectedAt = Math.min(entry.suspectedAt, askedAt);
    }

    function sightingOf({ heardAt, record, suspectedAt }: Entry, at: Milliseconds): MemberStatus {
        return {
            record,
            heardAgo: at - heardAt,
            suspectedFor: suspectedAt === undefined ? undefined : at - suspectedAt,
        };
    }

    function isAlive({ record, suspectedAt }: Entry, at: Milliseconds): boolean {
        const isFailed = suspectedAt !== undefined && at - suspectedAt >= suspicionTimeout(others.size + 1);
        return !isFailed && regions.isAlive(record.region, at);
    }

    function isDoubtful({ isAsked, record, suspectedAt }: Entry, at: Milliseconds): boolean {
        return suspectedAt !== undefined && !isAsked && record.region === own.region
            && at - suspectedAt >= suspicionTimeout(others.size + 1) * askAfterPart;
    }

    function recordsOf(accept: (entry: Entry) => boolean): MemberRecord[] {
        return [...others.values()].filter(accept).map(entry => entry.record);
    }
}

/**
 * Which boxes run, by failure detection and gossip between them (after Das, Gupta
 * and Motivala, "SWIM: scalable weakly-consistent infection-style process group
 * membership protocol", 2002).
 *
 * A box that does not answer a probe is suspected. The suspicion is disseminated, and
 * unless some box has heard from the suspect since the probe, it counts as failed after
 * the suspicion timeout. Only updates are disseminated, so the size of a datagram does not
 * grow with the fleet. Messages carry ages instead of times, since clocks of different
 * boxes are not compared.
 *
 * Owns the record of this box and the latest record of all others, with their updates
 * (`member-updates`) and the liveness of regions (`region-liveness`); relies on its
 * callers to send and receive the messages, and on the probing (`probing`) for which
 * members did not answer.
 */

import type { BoxId, Milliseconds, RegionId } from "@chalkdale/kernel";
import type { MemberRecord } from "./member-record.js";
import { createMemberUpdates } from "./member-updates.js";
import { gossipToFailedTime, maxMessageDelay, suspicionTimeout } from "./membership-times.js";
import { createRegionLiveness } from "./region-liveness.js";

/** What a box reports about a member. */
export interface MemberStatus {
    readonly record: MemberRecord;
    /** Milliseconds since any box heard from the member itself. */
    readonly heardAgo: number;
    /** Milliseconds since the probe that it did not answer; undefined for a member that is not suspected. */
    readonly suspectedFor: number | undefined;
}

/** What changes about a box while it runs. */
interface MemberState {
    readonly ready: boolean;
    readonly leaving: boolean;
    readonly load: number;
}

/** The members as this box knows them. */
export interface Membership {
    readonly ownRecord: () => MemberRecord;
    /** Increments this box's heartbeat and returns its record. */
    readonly incrementHeartbeat: () => MemberRecord;
    readonly setOwnState: (state: MemberState) => void;
    /** A message from the box itself arrived. True if the box was not known before. */
    readonly onHeard: (record: MemberRecord, at: Milliseconds) => boolean;
    /** Merges what another box reports about members. */
    readonly merge: (statuses: readonly MemberStatus[], at: Milliseconds) => void;
    /** A member did not answer the probe that was sent at `probedAt`. */
    readonly onProbeFailed: (box: BoxId, probedAt: Milliseconds) => void;
    /** True for another known member that has not failed. */
    readonly isAlive: (box: BoxId, at: Milliseconds) => boolean;
    /** True if any box has heard from the member at or after `since`, and for a box that is not known. */
    readonly isHeardSince: (box: BoxId, since: Milliseconds) => boolean;
    readonly find: (box: BoxId) => MemberRecord | undefined;
    /** Members that have not failed, this box included. */
    readonly alive: (at: Milliseconds) => readonly MemberRecord[];
    /** Boxes that may serve callers: alive, ready and not leaving. */
    readonly inService: (at: Milliseconds) => readonly MemberRecord[];
    /** True while any box is suspected and has not failed yet. */
    readonly isAnySuspected: (at: Milliseconds) => boolean;
    /**
     * Suspects of this box's region that are about to count as failed, each once per suspicion: this box should probe
     * them itself.
     */
    readonly nextSuspectsToProbe: (count: number, at: Milliseconds) => readonly MemberRecord[];
    /**
     * Boxes to which messages may be sent: those that any box heard from within `gossipToFailedTime`, this one
     * excluded.
     */
    readonly recentMembers: (at: Milliseconds) => readonly MemberRecord[];
    /** Status of all other members that any box ever heard from, failed ones included. */
    readonly known: (at: Milliseconds) => readonly MemberStatus[];
    /** Status of all members that have not failed, except this box. */
    readonly statuses: (at: Milliseconds) => readonly MemberStatus[];
    /** Returns the statuses for the next message: updates that were sent least often, and a few members in turn. */
    readonly nextUpdates: (count: number, at: Milliseconds) => readonly MemberStatus[];
    /** Milliseconds since any box heard from each region. */
    readonly regionAges: (at: Milliseconds) => ReadonlyMap<RegionId, number>;
    readonly mergeRegionAges: (ages: ReadonlyMap<RegionId, number>, at: Milliseconds) => void;
    /** True once after other boxes reported that they suspect this box: it should send them a message. */
    readonly consumeOwnSuspicion: () => boolean;
}

/**
 * Fraction of the suspicion timeout after which a box probes the suspect itself, so that an answer still arrives in
 * time.
 */
const directProbeFraction = 0.5;

interface Entry {
    record: MemberRecord;
    /** When any box last heard from the member. */
    heardAt: number;
    /** When the probe was sent that it has not answered; undefined unless it is suspected. */
    suspectedAt: number | undefined;
    /** This box itself has probed it since the suspicion began. */
    isProbed: boolean;
}

/** Creates a membership that contains only this box. */
export function createMembership(self: MemberRecord): Membership {
    const others = new Map<BoxId, Entry>();
    const regions = createRegionLiveness();
    const updates = createMemberUpdates();
    let ownRecord = self;
    let isSelfSuspected = false;

    return {
        ownRecord: () => ownRecord,
        incrementHeartbeat() {
            ownRecord = { ...ownRecord, heartbeat: ownRecord.heartbeat + 1 };
            return ownRecord;
        },
        setOwnState(state) {
            ownRecord = { ...ownRecord, ...state };
        },
        onHeard(record, at) {
            regions.onHeard(record.region, at);
            const isUnknown = record.box !== ownRecord.box && !others.has(record.box);
            mergeRecord(record, at, undefined);
            return isUnknown;
        },
        merge(statuses, at) {
            for (const { heardAgo, record, suspectedFor } of statuses) {
                const suspectedAt = suspectedFor === undefined ? undefined : at - suspectedFor;
                mergeRecord(record, at - heardAgo - maxMessageDelay, suspectedAt);
            }
        },
        onProbeFailed(box, probedAt) {
            const entry = others.get(box);
            if (entry !== undefined) {
                suspect(entry, probedAt);
            }
        },
        isHeardSince: (box, since) => (others.get(box)?.heardAt ?? since) >= since,
        isAlive: (box, at) => {
            const entry = others.get(box);
            return entry !== undefined && isAlive(entry, at);
        },
        find: box => box === ownRecord.box ? ownRecord : others.get(box)?.record,
        alive: at => [ownRecord, ...recordsOf(entry => isAlive(entry, at))],
        inService(at) {
            const records = [ownRecord, ...recordsOf(entry => isAlive(entry, at))];
            return records.filter(record => record.ready && !record.leaving);
        },
        isAnySuspected: at => [...others.values()].some(entry => entry.suspectedAt !== undefined && isAlive(entry, at)),
        nextSuspectsToProbe(count, at) {
            const suspects = [...others.values()].filter(entry => shouldProbe(entry, at)).slice(0, count);
            for (const entry of suspects) {
                entry.isProbed = true;
            }
            return suspects.map(entry => entry.record);
        },
        recentMembers: at => recordsOf(entry => at - entry.heardAt < gossipToFailedTime),
        known: at => [...others.values()].map(entry => statusOf(entry, at)),
        statuses: at => [...others.values()].filter(entry => isAlive(entry, at)).map(entry => statusOf(entry, at)),
        nextUpdates: (count, at) =>
            updates.nextUpdates(count, box => at - (others.get(box)?.heardAt ?? -Infinity) < gossipToFailedTime)
                .map(box => others.get(box))
                .filter(entry => entry !== undefined)
                .map(entry => statusOf(entry, at)),
        regionAges: regions.ages,
        mergeRegionAges: regions.merge,
        consumeOwnSuspicion() {
            const wasSuspected = isSelfSuspected;
            isSelfSuspected = false;
            return wasSuspected;
        },
    };

    function mergeRecord(record: MemberRecord, heardAt: number, suspectedAt: number | undefined): void {
        if (record.box === ownRecord.box) {
            isSelfSuspected ||= suspectedAt !== undefined && record.incarnation === ownRecord.incarnation;
            return;
        }
        const entry = others.get(record.box);
        if (entry === undefined || record.incarnation > entry.record.incarnation) {
            const validSuspectedAt = suspectedAt !== undefined && suspectedAt > heardAt ? suspectedAt : undefined;
            others.set(record.box, { record, heardAt, suspectedAt: validSuspectedAt, isProbed: false });
            updates.onMemberAdded(record);
            return;
        }
        if (record.incarnation === entry.record.incarnation) {
            applyHeard(entry, record, heardAt);
            if (suspectedAt !== undefined) {
                suspect(entry, suspectedAt);
            }
        }
    }

    /** Notes that some box heard from the member, and takes over its record if that is newer. */
    function applyHeard(entry: Entry, record: MemberRecord, heardAt: number): void {
        entry.heardAt = Math.max(entry.heardAt, heardAt);
        if (entry.suspectedAt !== undefined && entry.heardAt >= entry.suspectedAt) {
            entry.suspectedAt = undefined;
            updates.onMemberChanged(entry.record);
        }
        if (record.heartbeat <= entry.record.heartbeat) {
            return;
        }
        const { leaving, ready } = entry.record;
        entry.record = record;
        if (record.leaving !== leaving || record.ready !== ready || updates.isLoadChangeSignificant(record)) {
            updates.onMemberChanged(record);
        }
    }

    /** Applies a suspicion, unless some box has heard from the member since: then the suspicion is refuted. */
    function suspect(entry: Entry, probedAt: number): void {
        if (entry.heardAt >= probedAt) {
            updates.onSuspicionRefuted(entry.record);
            return;
        }
        if (entry.suspectedAt === undefined) {
            entry.suspectedAt = probedAt;
            entry.isProbed = false;
            updates.onMemberChanged(entry.record);
            return;
        }
        entry.suspectedAt = Math.min(entry.suspectedAt, probedAt);
    }

    function statusOf({ heardAt, record, suspectedAt }: Entry, at: Milliseconds): MemberStatus {
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

    function shouldProbe({ isProbed, record, suspectedAt }: Entry, at: Milliseconds): boolean {
        return suspectedAt !== undefined && !isProbed && record.region === ownRecord.region
            && at - suspectedAt >= suspicionTimeout(others.size + 1) * directProbeFraction;
    }

    function recordsOf(accept: (entry: Entry) => boolean): MemberRecord[] {
        return [...others.values()].filter(accept).map(entry => entry.record);
    }
}

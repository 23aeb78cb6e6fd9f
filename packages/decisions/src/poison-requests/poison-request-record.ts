/**
 * What is known of one request under which servers end, and how it may be served.
 *
 * Records of several boxes merge in any order and as often as they come: a record
 * is the set of lives that ended under the request, and the latest answers to it. A request that ends the server that runs it is never answered, so an answer
 * acquits: ends before it count no more. What strikes several servers at once is not a
 * request, so ends that come together count as one.
 *
 * Pure; times are of the box that holds the record.
 */

import {
    type AnswerId,
    type Milliseconds,
    milliseconds,
    type RequestFingerprint,
    type ServerIncarnationId,
} from "@chalkdale/kernel";

/** One request under which servers ended. */
export interface PoisonRequestRecord {
    readonly fingerprint: RequestFingerprint;
    /** Lives of servers that ended while they had the request, the earliest end first. */
    readonly ends: readonly ObservedEvent<ServerIncarnationId>[];
    /** The latest answers that servers gave to the request since it is known, the earliest first. */
    readonly answers: readonly ObservedEvent<AnswerId>[];
    /** When a caller last sent the request to any box. */
    readonly seenAt: Milliseconds;
}

/**
 * Something that a box saw, and when. Each message on its way adds to the time, so that of two times for one event the earlier
 * one is nearer to the truth.
 */
export interface ObservedEvent<Id extends string> {
    readonly id: Id;
    readonly at: Milliseconds;
}

/** How a request may be served, from the mildest to the strictest. */
export type RequestRestriction =
    /** As any other. */
    | "unsuspected"
    /** At one server at a time for each request: no second copy beside an overdue one. */
    | "watched"
    /** By one request at a time on each box. */
    | "oneAtATime"
    /** Not at all, but for trials. */
    | "held";

/** Ends from which a request is watched, is served one at a time, and is held: the users allow three. */
const endsOfStanding = { oneAtATime: 2, held: 3 };
/** Milliseconds within which ends count as one: a rack or a zone is lost at once, and boxes learn of it a way apart. */
const togetherWithin = 100;
/** Answers that are kept of one record: the latest counts, and the others keep it from being taken for a later one. */
const answersKept = 3;
/** Ends that are kept of one record at each side: the earliest tell how long it has gone on, the latest when it was last tried. */
const endsKeptEachSide = 4;
/** Milliseconds after the third end before a trial: an innocent request is held no longer, a guilty one ends one server more. */
const firstTrialAfter = 30_000;
/** The pause before a trial is so many times the time from the first end to the last, so that few trials are made in all. */
const trialPauseGrowth = 10;
/** Milliseconds after which a request that nobody sends is forgotten. */
export const poisonRecordLifetime = 30 * 60_000;

/** A record of a request that nothing speaks against yet. */
export function createPoisonRequestRecord(fingerprint: RequestFingerprint, at: Milliseconds): PoisonRequestRecord {
    return { fingerprint, ends: [], answers: [], seenAt: at };
}

/** Returns what two records of one request say together. */
export function mergePoisonRequestRecords(
    first: PoisonRequestRecord,
    second: PoisonRequestRecord,
): PoisonRequestRecord {
    const merged = {
        fingerprint: first.fingerprint,
        ends: mergeEvents(first.ends, second.ends),
        answers: mergeEvents(first.answers, second.answers).slice(-answersKept),
        seenAt: milliseconds(Math.max(first.seenAt, second.seenAt)),
    };
    return { ...merged, ends: endsToKeep(merged) };
}

function mergeEvents<Id extends string>(
    first: readonly ObservedEvent<Id>[],
    second: readonly ObservedEvent<Id>[],
): readonly ObservedEvent<Id>[] {
    const byId = new Map<Id, ObservedEvent<Id>>();
    for (const event of [...first, ...second]) {
        const known = byId.get(event.id);
        byId.set(event.id, known !== undefined && known.at <= event.at ? known : event);
    }
    return [...byId.values()].sort((a, b) => a.at - b.at || (a.id < b.id ? -1 : 1));
}

/** Ends that count no more go first, then those between the earliest and the latest. */
function endsToKeep(record: PoisonRequestRecord): PoisonRequestRecord["ends"] {
    if (record.ends.length <= endsKeptEachSide + endsKeptEachSide) {
        return record.ends;
    }
    const counted = endsSinceLastAnswer(record);
    return counted.filter((_, index) => index < endsKeptEachSide || index >= counted.length - endsKeptEachSide);
}

/** The ends since the latest answer. */
export function endsSinceLastAnswer({ answers, ends }: PoisonRequestRecord): PoisonRequestRecord["ends"] {
    const answeredAt = answers.at(-1)?.at ?? -Infinity;
    return ends.filter(({ at }) => at > answeredAt);
}

/** Returns how a request may be served by what is known of it. */
export function restrictionOf(record: PoisonRequestRecord): RequestRestriction {
    const count = countEnds(record);
    if (count >= endsOfStanding.held) {
        return "held";
    }
    if (count >= endsOfStanding.oneAtATime) {
        return "oneAtATime";
    }
    return count > 0 ? "watched" : "unsuspected";
}

/** Returns when a held request may be tried once more, to find out whether it still ends servers. */
export function trialDueAt(record: PoisonRequestRecord): Milliseconds {
    const ends = endsSinceLastAnswer(record);
    const first = ends[0].at;
    const last = ends[ends.length - 1].at;
    return milliseconds(last + Math.max(firstTrialAfter, (last - first) * trialPauseGrowth));
}

/** Ends that count, those that came together as one. */
function countEnds(record: PoisonRequestRecord): number {
    let count = 0;
    let since = -Infinity;
    for (const { at } of endsSinceLastAnswer(record)) {
        if (at - since >= togetherWithin) {
            count += 1;
            since = at;
        }
    }
    return count;
}

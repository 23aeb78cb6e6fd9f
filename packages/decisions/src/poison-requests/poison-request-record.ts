/**
 * What is known about one suspected poison request, that is a request during which servers
 * terminated, and how it may be served.
 *
 * A record is the set of server incarnations that terminated while they ran the request,
 * and the latest answers to it. Records of several boxes can be merged in any order and
 * any number of times. A poison request terminates the server that runs it and is never
 * answered, so an answer clears the request: earlier terminations no longer count.
 * Terminations of several servers at once have another cause than a request, so they
 * count as one.
 *
 * Owns nothing; all functions are pure. Times are those of the box that holds the record.
 */

import {
    type AnswerId,
    type Milliseconds,
    milliseconds,
    type RequestFingerprint,
    type ServerIncarnationId,
} from "@chalkdale/kernel";

/** One request during which servers terminated. */
export interface PoisonRequestRecord {
    readonly fingerprint: RequestFingerprint;
    /** Server incarnations that terminated while they ran the request, the earliest first. */
    readonly ends: readonly ObservedEvent<ServerIncarnationId>[];
    /** The latest answers of servers to the request since it is known, the earliest first. */
    readonly answers: readonly ObservedEvent<AnswerId>[];
    /** When a caller last sent the request to any box. */
    readonly seenAt: Milliseconds;
}

/**
 * An event that some box observed, and when. Message delays make a reported time later, so of two times for one event
 * the earlier one is more accurate.
 */
export interface ObservedEvent<Id extends string> {
    readonly id: Id;
    readonly at: Milliseconds;
}

/** How a request may be served, from the least to the most restrictive. */
export type RequestRestriction =
    /** Like any other request. */
    | "unsuspected"
    /** Each request at one server at a time: no hedged attempts. */
    | "watched"
    /** Each box serves one request with the fingerprint at a time. */
    | "oneAtATime"
    /** Not at all, except for trials. */
    | "held";

/**
 * Number of terminations from which requests are served one at a time, and are held; from the first one they are
 * watched. Users accept the loss of three servers.
 */
const restrictionThresholds = { oneAtATime: 2, held: 3 };
/**
 * Milliseconds within which terminations count as one: a rack or a zone fails at once, and boxes learn of it a message
 * delay apart.
 */
const simultaneousWithin = 100;
/**
 * Maximum number of answers in a record. Only the latest one counts; the others are kept so that a late report of one
 * of them is not taken for a newer answer.
 */
const maxAnswers = 3;
/**
 * Number of the earliest and of the latest terminations in a record: the first show how long servers have terminated,
 * the last when the request was last tried.
 */
const maxEndsPerSide = 4;
/**
 * Milliseconds from the third termination to the first trial. A harmless request is held no longer; a poison request
 * terminates one more server.
 */
const firstTrialDelay = 30_000;
/**
 * The delay before a trial is this many times the time from the first termination to the last, so that there are few
 * trials in all.
 */
const trialDelayGrowth = 10;
/** Milliseconds after which the record of a request that no caller sends is removed. */
export const poisonRecordLifetime = 30 * 60_000;

/** Creates a record without terminations and answers. */
export function createPoisonRequestRecord(fingerprint: RequestFingerprint, at: Milliseconds): PoisonRequestRecord {
    return { fingerprint, ends: [], answers: [], seenAt: at };
}

/** Merges two records of one request. Commutative and idempotent. */
export function mergePoisonRequestRecords(
    first: PoisonRequestRecord,
    second: PoisonRequestRecord,
): PoisonRequestRecord {
    const merged = {
        fingerprint: first.fingerprint,
        ends: mergeEvents(first.ends, second.ends),
        answers: mergeEvents(first.answers, second.answers).slice(-maxAnswers),
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

/** Bounds the terminations: drops those that no longer count first, then those between the earliest and the latest. */
function endsToKeep(record: PoisonRequestRecord): PoisonRequestRecord["ends"] {
    if (record.ends.length <= maxEndsPerSide + maxEndsPerSide) {
        return record.ends;
    }
    const counted = endsSinceLastAnswer(record);
    return counted.filter((_, index) => index < maxEndsPerSide || index >= counted.length - maxEndsPerSide);
}

/** Returns the terminations since the latest answer, which are those that count. */
export function endsSinceLastAnswer({ answers, ends }: PoisonRequestRecord): PoisonRequestRecord["ends"] {
    const answeredAt = answers.at(-1)?.at ?? -Infinity;
    return ends.filter(({ at }) => at > answeredAt);
}

/** Returns how the request of a record may be served. */
export function restrictionOf(record: PoisonRequestRecord): RequestRestriction {
    const count = countEnds(record);
    if (count >= restrictionThresholds.held) {
        return "held";
    }
    if (count >= restrictionThresholds.oneAtATime) {
        return "oneAtATime";
    }
    return count > 0 ? "watched" : "unsuspected";
}

/** Returns when a held request may be tried again, to find out whether it still terminates servers. */
export function trialDueAt(record: PoisonRequestRecord): Milliseconds {
    const ends = endsSinceLastAnswer(record);
    const first = ends[0].at;
    const last = ends[ends.length - 1].at;
    return milliseconds(last + Math.max(firstTrialDelay, (last - first) * trialDelayGrowth));
}

/** Counts the terminations since the latest answer; simultaneous ones count as one. */
function countEnds(record: PoisonRequestRecord): number {
    let count = 0;
    let since = -Infinity;
    for (const { at } of endsSinceLastAnswer(record)) {
        if (at - since >= simultaneousWithin) {
            count += 1;
            since = at;
        }
    }
    return count;
}

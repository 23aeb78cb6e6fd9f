/**
 * Records of suspected poison requests as boxes send them: with ages instead of times,
 * since clocks of different boxes differ.
 *
 * Owns nothing. Received reports are validated in full before they are used.
 */

import { type ObservedEvent, type PoisonRequestRecord, timeBefore } from "@chalkdale/decisions";
import { answerId, type Milliseconds, requestFingerprint, serverIncarnationId } from "@chalkdale/kernel";

/**
 * An event that a box observed, with its age in milliseconds: the termination of a server incarnation, or an answer.
 */
type EventEntry = readonly [id: string, age: number];

/** One record as it is sent. Ages in milliseconds. */
export interface PoisonRequestReport {
    readonly fingerprint: string;
    readonly ends: readonly EventEntry[];
    readonly answers: readonly EventEntry[];
    readonly seenAgo: number;
}

/** Returns the report of a record. */
export function encodePoisonRequestReport(
    { answers, ends, fingerprint, seenAt }: PoisonRequestRecord,
    now: Milliseconds,
): PoisonRequestReport {
    const ageOf = (at: Milliseconds) => Math.max(0, Math.round(now - at));
    const entryOf = ({ at, id }: ObservedEvent<string>) => [id, ageOf(at)] as const;
    return { fingerprint, ends: ends.map(entryOf), answers: answers.map(entryOf), seenAgo: ageOf(seenAt) };
}

/** Returns the record of a report that has just arrived. */
export function decodePoisonRequestReport(
    { answers, ends, fingerprint, seenAgo }: PoisonRequestReport,
    now: Milliseconds,
): PoisonRequestRecord {
    return {
        fingerprint: requestFingerprint(fingerprint),
        ends: ends.map(([incarnation, age]) => ({ id: serverIncarnationId(incarnation), at: timeBefore(now, age) })),
        answers: answers.map(([answer, age]) => ({ id: answerId(answer), at: timeBefore(now, age) })),
        seenAt: timeBefore(now, seenAgo),
    };
}

/** True for a list of valid reports. */
export function arePoisonRequestReports(value: unknown): value is readonly PoisonRequestReport[] {
    return Array.isArray(value) && value.every(isPoisonRequestReport);
}

function isPoisonRequestReport(value: unknown): boolean {
    const report = value as PoisonRequestReport | null;
    return typeof report === "object" && report !== null && typeof report.fingerprint === "string"
        && areEntries(report.ends) && areEntries(report.answers) && Number.isFinite(report.seenAgo);
}

function areEntries(entries: unknown): boolean {
    return Array.isArray(entries) && entries.every(isEntry);
}

function isEntry(entry: unknown): boolean {
    return Array.isArray(entry) && typeof entry[0] === "string" && Number.isFinite(entry[1]);
}

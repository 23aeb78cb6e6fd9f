/**
 * Limits of servers as boxes tell them to each other: with ages in place of times,
 * since clocks differ, and with the birth of the life that named them.
 *
 * Owns nothing; what arrives is checked in full before it is used.
 */

import { type BackendServerRecord, type LimitUpdate, maxMessageDelay } from "@chalkdale/decisions";
import { type Milliseconds, milliseconds } from "@chalkdale/kernel";

/** One limit, short since there may be many: server, its birth (0 if that isn't known), requests a second, age in milliseconds. */
export type LimitReport = readonly [server: string, bornAt: number, rate: number | "none", age: number];

/** Birth of a life that is not known. */
const unknownBirth = 0;

/** Returns the newest word of a server as it is sent. */
export function encodeLimitReport(record: BackendServerRecord, word: LimitUpdate, now: Milliseconds): LimitReport {
    const rate = word.kind === "named" ? word.rate : "none";
    return [record.id, record.bornAt ?? unknownBirth, rate, Math.max(0, Math.round(now - word.at))];
}

/** Returns the word of a report that has just come. It is taken for older by the longest way: passed on from box to box it must not grow younger. */
export function decodeLimitReport([, , rate, age]: LimitReport, now: Milliseconds): LimitUpdate {
    const at = milliseconds(now - age - maxMessageDelay);
    return rate === "none" ? { kind: "ended", at } : { kind: "named", rate, at };
}

/** True if a report is of the life that a record speaks of, as far as is known. */
export function isOfSameIncarnation([, bornAt]: LimitReport, record: BackendServerRecord): boolean {
    const known = record.bornAt ?? unknownBirth;
    return bornAt === known || bornAt === unknownBirth || known === unknownBirth;
}

/** True for limits as boxes send them. */
export function areLimitReports(value: unknown): value is readonly LimitReport[] {
    return Array.isArray(value) && value.every(isLimitReport);
}

function isLimitReport(value: unknown): boolean {
    if (!Array.isArray(value)) {
        return false;
    }
    const [server, bornAt, rate, age] = value as unknown[];
    return typeof server === "string" && isAmount(bornAt) && (rate === "none" || isAmount(rate)) && isAmount(age);
}

function isAmount(value: unknown): boolean {
    return typeof value === "number" && Number.isFinite(value) && value >= 0;
}

/**
 * The form in which boxes send each other the rate limits of servers: with ages in
 * place of times, since clocks differ, and with the start time of the incarnation that
 * reported the limit.
 *
 * Owns nothing; a received message is validated in full before it is used.
 */

import { type BackendServerRecord, type LimitUpdate, maxMessageDelay } from "@chalkdale/decisions";
import { type Milliseconds, milliseconds } from "@chalkdale/kernel";

/**
 * One limit, a tuple since a message may hold many: server, its start time (0 if unknown), requests a second, age in
 * milliseconds.
 */
export type LimitReport = readonly [server: string, bornAt: number, rate: number | "none", age: number];

/** Sent as `bornAt` of an incarnation whose start time is not known. */
const unknownBornAt = 0;

/** Returns the latest limit of a server in the form in which it is sent. */
export function encodeLimitReport(record: BackendServerRecord, update: LimitUpdate, now: Milliseconds): LimitReport {
    const rate = update.kind === "named" ? update.rate : "none";
    return [record.id, record.bornAt ?? unknownBornAt, rate, Math.max(0, Math.round(now - update.at))];
}

/**
 * Returns the update of a report that has just arrived. The maximum message delay is added to its age, as a forwarded
 * update must not seem newer.
 */
export function decodeLimitReport([, , rate, age]: LimitReport, now: Milliseconds): LimitUpdate {
    const at = milliseconds(now - age - maxMessageDelay);
    return rate === "none" ? { kind: "ended", at } : { kind: "named", rate, at };
}

/** True if a report is of the incarnation of the record, or if one of their start times is unknown. */
export function isOfSameIncarnation([, bornAt]: LimitReport, record: BackendServerRecord): boolean {
    const known = record.bornAt ?? unknownBornAt;
    return bornAt === known || bornAt === unknownBornAt || known === unknownBornAt;
}

/** True for limits in the form in which boxes send them. */
export function areLimitReports(value: unknown): value is readonly LimitReport[] {
    return Array.isArray(value) && value.every(isLimitReport);
}

function isLimitReport(value: unknown): boolean {
    if (!Array.isArray(value)) {
        return false;
    }
    const [server, bornAt, rate, age] = value as unknown[];
    return typeof server === "string" && isNonNegativeNumber(bornAt) && (rate === "none" || isNonNegativeNumber(rate))
        && isNonNegativeNumber(age);
}

function isNonNegativeNumber(value: unknown): boolean {
    return typeof value === "number" && Number.isFinite(value) && value >= 0;
}

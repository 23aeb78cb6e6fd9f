/**
 * The form in which boxes tell each other of cold servers: with the time that is left, since clocks differ, and with the
 * start time of the incarnation.
 *
 * Owns nothing; a received message is validated in full before it is used.
 */

import type { BackendServerRecord } from "@chalkdale/decisions";
import type { Milliseconds } from "@chalkdale/kernel";

/**
 * One cold server, a tuple since a message may hold many: server, its start time (0 if unknown), milliseconds for which
 * it stays cold.
 */
export type ColdReport = readonly [server: string, bornAt: number, coldFor: number];

/** Sent as `bornAt` of an incarnation whose start time is not known. */
const unknownBornAt = 0;

/** Returns the report of a server that stays cold for `coldFor`. */
export function encodeColdReport({ bornAt, id }: BackendServerRecord, coldFor: Milliseconds): ColdReport {
    return [id, bornAt ?? unknownBornAt, Math.round(coldFor)];
}

/** True if a report is of the incarnation of the record, or if one of their start times is unknown. */
export function isOfIncarnation([, bornAt]: ColdReport, record: BackendServerRecord): boolean {
    const known = record.bornAt ?? unknownBornAt;
    return bornAt === known || bornAt === unknownBornAt || known === unknownBornAt;
}

/** True for reports in the form in which boxes send them. */
export function areColdReports(value: unknown): value is readonly ColdReport[] {
    return Array.isArray(value) && value.every(isColdReport);
}

function isColdReport(value: unknown): boolean {
    if (!Array.isArray(value)) {
        return false;
    }
    const [server, bornAt, coldFor] = value as unknown[];
    return typeof server === "string" && isNonNegative(bornAt) && isNonNegative(coldFor);
}

function isNonNegative(value: unknown): boolean {
    return typeof value === "number" && Number.isFinite(value) && value >= 0;
}

/**
 * Encodes quota reports and leases for messages between boxes: as short tuples,
 * since one datagram carries those of many customers.
 *
 * Owns no state; received messages are validated in full before they are used.
 */

import type { QuotaLease, QuotaReport } from "@chalkdale/decisions";
import { customerId, milliseconds } from "@chalkdale/kernel";

type ReportEntry = readonly [customer: string, requested: number, admitted: number, since: number];
type LeaseEntry = readonly [customer: string, rate: number, burst: number, hasHeadroom: 0 | 1];
/**
 * For a report: the unacknowledged requests, then the last known level and its age, if there is one. For a lease: the
 * level. Separate from the report and lease entries, since boxes of an earlier release accept only entries of four
 * values.
 */
type LevelEntry = readonly [customer: string, ...numbers: number[]];

/** The quota part of a datagram between boxes. */
export interface QuotaMessage {
    /** Sent to a quota coordinator. */
    readonly reports?: readonly ReportEntry[];
    /** Sent by a quota coordinator in answer to reports. */
    readonly leases?: readonly LeaseEntry[];
    /** Levels that belong to the reports or the leases. */
    readonly levels?: readonly LevelEntry[];
}

/** Encodes reports with their levels. */
export function encodeReports(reports: readonly QuotaReport[]): QuotaMessage {
    return { reports: reports.map(encodeReport), levels: reports.map(encodeReportLevel) };
}

/** Encodes leases with their levels, rounded to a thousandth of a request. */
export function encodeLeases(leases: readonly QuotaLease[]): QuotaMessage {
    return { leases: leases.map(encodeLease), levels: leases.flatMap(encodeLeaseLevel) };
}

/** Decodes the reports of a message; empty if it has none. */
export function decodeReports({ levels, reports = [] }: QuotaMessage): readonly QuotaReport[] {
    const levelOf = new Map(levels?.map(([customer, ...numbers]) => [customer, numbers]));
    return reports.map(([customer, requested, admitted, since]) => {
        const [unacknowledged, level, age] = levelOf.get(customer) ?? [];
        const lastLevel = level === undefined || age === undefined ? undefined : { level, age: milliseconds(age) };
        return {
            customer: customerId(customer),
            requested,
            admitted,
            since: milliseconds(since),
            unacknowledged,
            lastLevel,
        };
    });
}

/** Decodes the leases of a message; empty if it has none. */
export function decodeLeases({ leases = [], levels }: QuotaMessage): readonly QuotaLease[] {
    const levelOf = new Map(levels?.map(([customer, level]) => [customer, level]));
    return leases.map(([customer, rate, burst, hasHeadroom]) => ({
        customer: customerId(customer),
        rate,
        burst,
        hasHeadroom: hasHeadroom === 1,
        level: levelOf.get(customer),
    }));
}

function encodeReport({ admitted, requested, customer, since }: QuotaReport): ReportEntry {
    return [customer, requested, admitted, Math.round(since)];
}

function encodeReportLevel({ customer, lastLevel, unacknowledged = 0 }: QuotaReport): LevelEntry {
    return lastLevel === undefined
        ? [customer, unacknowledged]
        : [customer, unacknowledged, round(lastLevel.level), Math.round(lastLevel.age)];
}

function encodeLease({ burst, customer, hasHeadroom, rate }: QuotaLease): LeaseEntry {
    return [customer, round(rate), round(burst), hasHeadroom ? 1 : 0];
}

function encodeLeaseLevel({ customer, level }: QuotaLease): LevelEntry[] {
    return level === undefined ? [] : [[customer, round(level)]];
}

/** Validates the quota part of a received datagram. */
export function isQuotaMessage(value: unknown): value is QuotaMessage {
    const message = value as QuotaMessage | null;
    return typeof message === "object" && message !== null
        && areEntries(message.reports) && areEntries(message.leases) && areLevels(message.levels);
}

/** Numbers after the customer: requested, admitted and since of a report, or rate, burst and headroom of a lease. */
const numbersPerEntry = 3;

function areEntries(entries: unknown): boolean {
    return entries === undefined || Array.isArray(entries) && entries.every(isEntry);
}

function areLevels(levels: unknown): boolean {
    return levels === undefined || Array.isArray(levels) && levels.every(isLevel);
}

function isLevel(entry: unknown): boolean {
    return Array.isArray(entry) && typeof entry[0] === "string" && entry.slice(1).every(Number.isFinite);
}

function isEntry(entry: unknown): boolean {
    return Array.isArray(entry) && entry.length === numbersPerEntry + 1 && typeof entry[0] === "string"
        && entry.slice(1).every(Number.isFinite);
}

function round(value: number): number {
    return Math.round(value * 1000) / 1000;
}

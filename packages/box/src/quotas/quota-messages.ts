/**
 * Reports and leases of quotas as boxes send them: short, since one datagram has
 * those of many customers.
 *
 * Owns nothing; what arrives is checked in full before it is used.
 */

import type { QuotaLease, QuotaReport } from "@chalkdale/decisions";
import { customerId, milliseconds } from "@chalkdale/kernel";

type ReportEntry = readonly [customer: string, asked: number, admitted: number, since: number];
type LeaseEntry = readonly [customer: string, rate: number, burst: number, isCalm: 0 | 1];
/**
 * Beside a report: what no lease has answered, and the level that was told last with its age, if one was. Beside a lease: the level. Apart from
 * these, since a box of an earlier release takes entries of four values only.
 */
type LevelEntry = readonly [customer: string, ...numbers: number[]];

/** The part of a datagram that is about quotas. */
export interface QuotaMessage {
    /** For the box that counts. */
    readonly reports?: readonly ReportEntry[];
    /** Its answers. */
    readonly leases?: readonly LeaseEntry[];
    /** Levels that go with either. */
    readonly levels?: readonly LevelEntry[];
}

/** Shortens reports. */
export function encodeReports(reports: readonly QuotaReport[]): QuotaMessage {
    return { reports: reports.map(reportEntry), levels: reports.map(reportLevel) };
}

/** Shortens leases; a thousandth of a request is exact enough. */
export function encodeLeases(leases: readonly QuotaLease[]): QuotaMessage {
    return { leases: leases.map(leaseEntry), levels: leases.flatMap(leaseLevel) };
}

/** Returns the reports of a message. */
export function decodeReports({ levels, reports = [] }: QuotaMessage): readonly QuotaReport[] {
    const levelOf = new Map(levels?.map(([customer, ...numbers]) => [customer, numbers]));
    return reports.map(([customer, asked, admitted, since]) => {
        const [unanswered, level, age] = levelOf.get(customer) ?? [];
        const lastLevel = level === undefined || age === undefined ? undefined : { level, age: milliseconds(age) };
        return {
            customer: customerId(customer),
            requested: asked,
            admitted,
            since: milliseconds(since),
            unacknowledged: unanswered,
            lastLevel,
        };
    });
}

/** Returns the leases of a message. */
export function decodeLeases({ leases = [], levels }: QuotaMessage): readonly QuotaLease[] {
    const levelOf = new Map(levels?.map(([customer, level]) => [customer, level]));
    return leases.map(([customer, rate, burst, isCalm]) => ({
        customer: customerId(customer),
        rate,
        burst,
        hasHeadroom: isCalm === 1,
        level: levelOf.get(customer),
    }));
}

function reportEntry({ admitted, requested: asked, customer, since }: QuotaReport): ReportEntry {
    return [customer, asked, admitted, Math.round(since)];
}

function reportLevel({ customer, lastLevel, unacknowledged: unanswered = 0 }: QuotaReport): LevelEntry {
    return lastLevel === undefined
        ? [customer, unanswered]
        : [customer, unanswered, round(lastLevel.level), Math.round(lastLevel.age)];
}

function leaseEntry({ burst, customer, hasHeadroom: isCalm, rate }: QuotaLease): LeaseEntry {
    return [customer, round(rate), round(burst), isCalm ? 1 : 0];
}

function leaseLevel({ customer, level }: QuotaLease): LevelEntry[] {
    return level === undefined ? [] : [[customer, round(level)]];
}

/** True for a part as boxes send it. */
export function isQuotaMessage(value: unknown): value is QuotaMessage {
    const message = value as QuotaMessage | null;
    return typeof message === "object" && message !== null
        && areEntries(message.reports) && areEntries(message.leases) && areLevels(message.levels);
}

/** Figures between entries: asked, admitted and since, or rate, burst and calm. */
const figures = 3;

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
    return Array.isArray(entry) && entry.length === figures + 1 && typeof entry[0] === "string"
        && entry.slice(1).every(Number.isFinite);
}

function round(value: number): number {
    return Math.round(value * 1000) / 1000;
}

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

/** The part of a datagram that is about quotas. */
export interface QuotaMessage {
    /** For the box that counts. */
    readonly reports?: readonly ReportEntry[];
    /** Its answers. */
    readonly leases?: readonly LeaseEntry[];
}

/** Shortens a report. */
export function reportEntry({ admitted, asked, customer, since }: QuotaReport): ReportEntry {
    return [customer, asked, admitted, Math.round(since)];
}

/** Shortens a lease; a thousandth of a request is exact enough. */
export function leaseEntry({ burst, customer, isCalm, rate }: QuotaLease): LeaseEntry {
    return [customer, round(rate), round(burst), isCalm ? 1 : 0];
}

/** Returns the report of an entry. */
export function readReport([customer, asked, admitted, since]: ReportEntry): QuotaReport {
    return { customer: customerId(customer), asked, admitted, since: milliseconds(since) };
}

/** Returns the lease of an entry. */
export function readLease([customer, rate, burst, isCalm]: LeaseEntry): QuotaLease {
    return { customer: customerId(customer), rate, burst, isCalm: isCalm === 1 };
}

/** True for a part as boxes send it. */
export function isQuotaMessage(value: unknown): value is QuotaMessage {
    const message = value as QuotaMessage | null;
    return typeof message === "object" && message !== null
        && areEntries(message.reports) && areEntries(message.leases);
}

/** Figures between entries: asked, admitted and since, or rate, burst and calm. */
const figures = 3;

function areEntries(entries: unknown): boolean {
    return entries === undefined || Array.isArray(entries) && entries.every(isEntry);
}

function isEntry(entry: unknown): boolean {
    return Array.isArray(entry) && entry.length === figures + 1 && typeof entry[0] === "string"
        && entry.slice(1).every(Number.isFinite);
}

function round(value: number): number {
    return Math.round(value * 1000) / 1000;
}

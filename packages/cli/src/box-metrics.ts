/**
 * Reads from running boxes over HTTP: the members that a box knows, and a box's metrics.
 *
 * Owns no state; relies on a box's peer address and its metrics port.
 */

import type { MemberRecord } from "@chalkdale/decisions";
import { exitCodes, parseAddress, urlOf } from "@chalkdale/runtime";
import { request } from "undici";
import { CommandError } from "./command.js";

/** One metric of a box, such as `chalkdale_requests_total{route="a",outcome="200"} 7`. */
export interface Metric {
    /** Without the prefix `chalkdale_`. */
    readonly name: string;
    readonly labels: Readonly<Record<string, string>>;
    readonly value: number;
}

/** Timeout of a call to one box in milliseconds; short because an operator is waiting. */
const requestTimeout = 3000;
const metricPrefix = "chalkdale_";
/** Captures a metric's name, its labels and its value. */
const metricLine = /^(\w+)(?:\{(.*)\})? (\S+)$/;
/** A label; quotes and backslashes in its value are escaped by a backslash. */
const labelPattern = /(\w+)="((?:[^"\\]|\\.)*)"/g;

/** Returns the members that the box at a peer address knows. Throws a `CommandError` if no box answers there. */
export async function readMembers(peer: string): Promise<readonly MemberRecord[]> {
    const address = parseAddress(peer);
    if (address === undefined) {
        throw new CommandError(`--peer: expected IP:PORT, not ${peer}`, exitCodes.usage);
    }
    try {
        const { body, statusCode } = await request(urlOf(address, "/members"), requestOptions());
        const members = await body.json();
        if (statusCode === 200 && Array.isArray(members)) {
            return members as MemberRecord[];
        }
    }
    catch {
        // Reported below, like an answer that is not a list of members.
    }
    throw new CommandError(`no box answers at ${peer}; name the peer address of a running box`, exitCodes.unavailable);
}

/** Returns the metrics of one box, read at its callers' host, or undefined if it does not answer. */
export async function readMetrics(member: MemberRecord, port: number): Promise<readonly Metric[] | undefined> {
    const host = member.callerAddress.slice(0, member.callerAddress.lastIndexOf(":"));
    try {
        const { body, statusCode } = await request(`http://${host}:${port}/metrics`, requestOptions());
        const text = await body.text();
        return statusCode === 200 ? parseMetrics(text) : undefined;
    }
    catch {
        // The commands show an unreachable box instead of failing.
        return undefined;
    }
}

/** Parses the Prometheus text format as boxes write it; skips lines that are not metrics of a box. */
export function parseMetrics(text: string): Metric[] {
    return text.split("\n").flatMap(line => {
        const match = metricLine.exec(line);
        const value = Number(match?.[3]);
        if (match === null || !match[1].startsWith(metricPrefix) || !Number.isFinite(value)) {
            return [];
        }
        const labels = Object.fromEntries(
            [...(match[2] ?? "").matchAll(labelPattern)].map(([, key, text]) => [key, text.replaceAll(/\\(.)/g, "$1")]),
        );
        return [{ name: match[1].slice(metricPrefix.length), labels, value }];
    });
}

/** Returns the value of a metric without labels, or undefined if there is none. */
export function valueOf(metrics: readonly Metric[], name: string): number | undefined {
    return metrics.find(metric => metric.name === name && Object.keys(metric.labels).length === 0)?.value;
}

function requestOptions() {
    return { signal: AbortSignal.timeout(requestTimeout) };
}

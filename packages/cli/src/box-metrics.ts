/**
 * Reads the members that a running box knows, and the metrics of each box.
 *
 * Owns nothing; relies on a box's peer address and on its metrics.
 */

import type { MemberRecord } from "@chalkdale/decisions";
import { exitCodes, parseAddress, urlOf } from "@chalkdale/runtime";
import { request } from "undici";
import { CommandError } from "./command.js";

/** One metric of a box: `chalkdale_requests_total{route="a",outcome="200"} 7`. */
export interface Metric {
    readonly name: string;
    readonly labels: Readonly<Record<string, string>>;
    readonly value: number;
}

/** Milliseconds for one box to answer; an operator waits for it. */
const requestTimeout = 3000;
const prefix = "chalkdale_";
const metricLine = /^(\w+)(?:\{(.*)\})? (\S+)$/;
/** A label; quotes and backslashes in its value stand behind a backslash. */
const labelPattern = /(\w+)="((?:[^"\\]|\\.)*)"/g;

/** Returns the members that the box at a peer address knows. Throws a `CommandError` if it doesn't answer. */
export async function readMembers(peer: string): Promise<readonly MemberRecord[]> {
    const address = parseAddress(peer);
    if (address === undefined) {
        throw new CommandError(`${peer} is no IP:PORT`, exitCodes.usage);
    }
    try {
        const { body, statusCode } = await request(urlOf(address, "/members"), bounded());
        const members = await body.json();
        if (statusCode === 200 && Array.isArray(members)) {
            return members as MemberRecord[];
        }
    }
    catch {
        // Reported below, like an answer that is no list of members.
    }
    throw new CommandError(`no box answers at ${peer}; name the peer address of a running box`, exitCodes.unavailable);
}

/** Returns the metrics of one box, or undefined if it doesn't answer. */
export async function readMetrics(member: MemberRecord, port: number): Promise<readonly Metric[] | undefined> {
    const host = member.callerAddress.slice(0, member.callerAddress.lastIndexOf(":"));
    try {
        const { body, statusCode } = await request(`http://${host}:${port}/metrics`, bounded());
        const text = await body.text();
        return statusCode === 200 ? parseMetrics(text) : undefined;
    }
    catch {
        // A box that can't be reached is a row of its own in what the commands show.
        return undefined;
    }
}

/** Parses the Prometheus text format as boxes write it; lines that are none are left out. */
export function parseMetrics(text: string): Metric[] {
    return text.split("\n").flatMap(line => {
        const match = metricLine.exec(line);
        const value = Number(match?.[3]);
        if (match === null || !match[1].startsWith(prefix) || !Number.isFinite(value)) {
            return [];
        }
        const labels = Object.fromEntries(
            [...(match[2] ?? "").matchAll(labelPattern)].map(([, key, text]) => [key, text.replaceAll(/\\(.)/g, "$1")]),
        );
        return [{ name: match[1].slice(prefix.length), labels, value }];
    });
}

/** Returns the value of a metric without labels, or undefined. */
export function valueOf(metrics: readonly Metric[], name: string): number | undefined {
    return metrics.find(metric => metric.name === name && Object.keys(metric.labels).length === 0)?.value;
}

function bounded() {
    return { signal: AbortSignal.timeout(requestTimeout) };
}

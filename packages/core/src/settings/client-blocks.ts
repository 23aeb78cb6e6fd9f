/**
 * Longest-prefix table from a caller's address to a site.
 *
 * Nested prefixes are flattened into disjoint intervals in ascending order,
 * held in typed arrays and searched by bisection: O(log n) a look-up, 6 bytes
 * an IPv4 interval and 10 bytes an IPv6 interval. IPv6 prefixes longer than
 * 64 bits are cut to 64.
 */

import { isIPv6 } from "node:net";

/** Site number that stands for "no block matches". */
export const noSite = 0xffff;

/** A client block, written as CIDR, and the number of its site (0 to 65534). */
export interface ClientBlock {
    readonly block: string;
    readonly site: number;
}

/** Finds the site of an address. */
export interface ClientBlockTable {
    /** Returns the site of the longest block that holds the address, or undefined. */
    readonly find: (address: string) => number | undefined;
    /** Number of disjoint intervals held. */
    readonly intervalCount: number;
    /** Bytes of the typed arrays. */
    readonly byteLength: number;
}

interface Range {
    readonly first: bigint;
    /** First address after the range. */
    readonly end: bigint;
    readonly length: number;
    readonly site: number;
}

const ipv4Bits = 32;
const ipv6Bits = 64;
const dot = 46;
const digitZero = 48;
const digitNine = 57;

/** An address as a number; of an IPv6 address the first 64 bits. */
export type Address =
    | { readonly bits: 32; readonly value: number; }
    | { readonly bits: 64; readonly value: bigint; };

/** Returns an address as a number, IPv6 by its first 64 bits; undefined if it is none. */
export function parseAddress(text: string): Address | undefined {
    const plain = text.startsWith("::ffff:") && text.includes(".") ? text.slice("::ffff:".length) : text;
    const ipv4 = ipv4Number(plain);
    if (ipv4 !== undefined) {
        return { bits: ipv4Bits, value: ipv4 };
    }
    return isIPv6(plain) ? { bits: ipv6Bits, value: ipv6Prefix(plain) } : undefined;
}

/** Returns the range of a CIDR block, or undefined if the text is none. */
export function parseBlock(text: string) {
    const [addressText, lengthText] = text.split("/");
    const address = parseAddress(addressText);
    if (address === undefined || !/^\d{1,3}$/.test(lengthText ?? "")) {
        return undefined;
    }
    const fullLength = Number(lengthText);
    const longest = address.bits === ipv4Bits ? ipv4Bits : 2 * ipv6Bits;
    if (fullLength > longest) {
        return undefined;
    }
    const length = Math.min(fullLength, address.bits);
    const size = 1n << BigInt(address.bits - length);
    const first = BigInt(address.value) / size * size;
    return { bits: address.bits, first, end: first + size, length };
}

/** Creates the table. Blocks that are no CIDR text are passed over; settings are checked before. */
export function createClientBlockTable(blocks: Iterable<ClientBlock>): ClientBlockTable {
    const ipv4: Range[] = [];
    const ipv6: Range[] = [];
    for (const { block, site } of blocks) {
        const range = parseBlock(block);
        if (range === undefined) {
            continue;
        }
        (range.bits === ipv4Bits ? ipv4 : ipv6).push({ ...range, site });
    }
    return joinTables(flatten(ipv4, ipv4Bits), flatten(ipv6, ipv6Bits));
}

interface Interval {
    readonly first: bigint;
    readonly site: number;
}

/** Turns nested ranges into disjoint intervals; the longer prefix wins. */
function flatten(ranges: Range[], bits: number): Interval[] {
    const addressCount = 1n << BigInt(bits);
    ranges.sort((a, b) => a.first < b.first ? -1 : a.first > b.first ? 1 : a.length - b.length);
    const intervals: Interval[] = [];
    const open: Range[] = [];
    const begin = (first: bigint, site: number) => {
        if (first >= addressCount) {
            return;
        }
        const last = intervals.at(-1);
        if (last !== undefined && last.first === first) {
            intervals.pop();
        }
        if (intervals.at(-1)?.site !== site) {
            intervals.push({ first, site });
        }
    };
    const closeUpTo = (limit: bigint | undefined) => {
        while (open.length > 0 && (limit === undefined || open.at(-1)!.end <= limit)) {
            const closed = open.pop()!;
            begin(closed.end, open.at(-1)?.site ?? noSite);
        }
    };
    for (const range of ranges) {
        closeUpTo(range.first);
        begin(range.first, range.site);
        open.push(range);
    }
    closeUpTo(undefined);
    return intervals;
}

function joinTables(ipv4: Interval[], ipv6: Interval[]): ClientBlockTable {
    const starts4 = Uint32Array.from(ipv4, interval => Number(interval.first));
    const sites4 = Uint16Array.from(ipv4, interval => interval.site);
    const starts6 = BigUint64Array.from(ipv6, interval => interval.first);
    const sites6 = Uint16Array.from(ipv6, interval => interval.site);
    return {
        find(address) {
            const site = siteOf(address);
            return site === noSite ? undefined : site;
        },
        intervalCount: starts4.length + starts6.length,
        byteLength: starts4.byteLength + sites4.byteLength + starts6.byteLength + sites6.byteLength,
    };

    function siteOf(text: string): number {
        const address = parseAddress(text);
        if (address === undefined) {
            return noSite;
        }
        return address.bits === ipv4Bits
            ? siteAt(starts4, sites4, address.value)
            : siteAt(starts6, sites6, address.value);
    }
}

/** Returns the site of the last interval that starts at or before the value. */
function siteAt<Value extends number | bigint>(
    starts: { readonly length: number; readonly [index: number]: Value; },
    sites: Uint16Array,
    value: Value,
): number {
    let low = 0;
    let high = starts.length;
    while (low < high) {
        const middle = (low + high) >>> 1;
        if (starts[middle] <= value) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return low === 0 ? noSite : sites[low - 1];
}

/** Returns an IPv4 address as a number, or undefined if the text is none. */
function ipv4Number(text: string): number | undefined {
    let value = 0;
    let part = -1;
    let parts = 0;
    for (let index = 0; index < text.length; index++) {
        const code = text.charCodeAt(index);
        if (code === dot) {
            if (part < 0) {
                return undefined;
            }
            value = value * 256 + part;
            part = -1;
            parts++;
            continue;
        }
        if (code < digitZero || code > digitNine) {
            return undefined;
        }
        part = Math.max(part, 0) * 10 + code - digitZero;
        if (part > 255) {
            return undefined;
        }
    }
    return parts === 3 && part >= 0 ? value * 256 + part : undefined;
}

/** Returns the first 64 bits of a valid IPv6 address. */
function ipv6Prefix(text: string): bigint {
    const [head, tail] = text.split("%")[0].split("::");
    const headGroups = head === "" ? [] : head.split(":");
    const tailGroups = tail === undefined || tail === "" ? [] : tail.split(":");
    const tailLength = tailGroups.length + (tail?.includes(".") ? 1 : 0);
    const missing = tail === undefined ? 0 : 8 - headGroups.length - tailLength;
    const groups = [...headGroups, ...Array<string>(Math.max(0, missing)).fill("0"), ...tailGroups];
    return groups.slice(0, 4).reduce((value, group) => (value << 16n) | BigInt(`0x${group}`), 0n);
}

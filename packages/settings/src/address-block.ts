/**
 * Validates the address blocks (CIDR) of the settings tree.
 *
 * Pure; relies on Node to validate IPv6 addresses.
 */

import { isIPv6 } from "node:net";

/** Bits of an IPv4 address. */
const ipv4Bits = 32;
/** Bits of an IPv6 address. */
const ipv6Bits = 128;
/** Largest value of one part of an IPv4 address. */
const maxByte = 255;
/** Prefix of an IPv4 address that is written as IPv6. */
const ipv4MappedPrefix = "::ffff:";

/**
 * Returns true for a block in CIDR notation, such as `10.0.0.0/8` or `2001:db8::/32`. An IPv4-mapped IPv6 address
 * counts as IPv4: its prefix length is at most 32.
 */
export function isAddressBlock(text: string): boolean {
    const [address, length] = text.split("/");
    const bits = bitsOf(address);
    return bits !== undefined && /^\d{1,3}$/.test(length ?? "") && Number(length) <= bits;
}

function bitsOf(address: string): number | undefined {
    const isMapped = address.startsWith(ipv4MappedPrefix) && address.includes(".");
    if (isIPv4Address(isMapped ? address.slice(ipv4MappedPrefix.length) : address)) {
        return ipv4Bits;
    }
    return isIPv6(address) ? ipv6Bits : undefined;
}

/** Unlike Node's `isIPv4`, accepts leading zeros, since stored trees may contain them. */
function isIPv4Address(text: string): boolean {
    const parts = text.split(".");
    return parts.length === 4 && parts.every(part => /^\d+$/.test(part) && Number(part) <= maxByte);
}

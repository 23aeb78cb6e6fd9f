/**
 * Checks the address blocks of the settings tree.
 *
 * Owns nothing; relies on Node for the form of an IPv6 address.
 */

import { isIPv6 } from "node:net";

/** Bits of an IPv4 address. */
const ipv4Bits = 32;
/** Bits of an IPv6 address. */
const ipv6Bits = 128;
/** Largest part of an IPv4 address. */
const largestByte = 255;
const ipv4InIpv6 = "::ffff:";

/** True for a block in CIDR form, such as `10.0.0.0/8` or `2001:db8::/32`. IPv4 written as IPv6 counts as IPv4. */
export function isAddressBlock(text: string): boolean {
    const [address, length] = text.split("/");
    const bits = bitsOf(address);
    return bits !== undefined && /^\d{1,3}$/.test(length ?? "") && Number(length) <= bits;
}

function bitsOf(address: string): number | undefined {
    const isWrapped = address.startsWith(ipv4InIpv6) && address.includes(".");
    if (isIPv4Number(isWrapped ? address.slice(ipv4InIpv6.length) : address)) {
        return ipv4Bits;
    }
    return isIPv6(address) ? ipv6Bits : undefined;
}

/** Unlike Node's own check this takes leading zeros, since trees that were stored may have them. */
function isIPv4Number(text: string): boolean {
    const parts = text.split(".");
    return parts.length === 4 && parts.every(part => /^\d+$/.test(part) && Number(part) <= largestByte);
}

/**
 * Addresses on which processes listen: an IP address and a port.
 */

import { isIP } from "node:net";

/** A listening address. */
export interface Address {
    /** IPv4 or IPv6 address, without brackets. */
    readonly host: string;
    readonly port: number;
}

/** Largest port number of TCP and UDP. */
const maxPort = 65_535;

/** Parses `IP:PORT` or `[IPV6]:PORT` as an operator types it; returns undefined for any other text. */
export function parseAddress(text: string): Address | undefined {
    const match = /^(?:\[([^\]]+)\]|([^:]+)):(\d{1,5})$/.exec(text);
    if (match === null) {
        return undefined;
    }
    const host = match[1] ?? match[2];
    const port = Number(match[3]);
    return isIP(host) === 0 || port > maxPort ? undefined : { host, port };
}

/** Splits `HOST:PORT` at its last colon. For addresses that programs have written; it validates nothing. */
export function splitAddress(text: string): Address {
    const colon = text.lastIndexOf(":");
    return { host: text.slice(0, colon), port: Number(text.slice(colon + 1)) };
}

/** True if `HOST:PORT` has a host, and a port to which something can be sent: Node throws for any other port. */
export function isUsableAddress(text: string): boolean {
    const { host, port } = splitAddress(text);
    return text.includes(":") && host !== "" && Number.isInteger(port) && port >= 1 && port <= maxPort;
}

/** Returns the HTTP URL of a path at an address. */
export function urlOf({ host, port }: Address, path = ""): string {
    return `http://${isIP(host) === 6 ? `[${host}]` : host}:${port}${path}`;
}

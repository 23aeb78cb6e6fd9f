/**
 * Addresses of processes: an IP number and a port.
 */

import { isIP } from "node:net";

/** Where a process listens. */
export interface Address {
    /** IP number. */
    readonly host: string;
    readonly port: number;
}

/** Largest port of TCP and UDP. */
const largestPort = 65_535;

/** Reads `IP:PORT`, or `[IPV6]:PORT`, as an operator types it; undefined when the text is neither. */
export function parseAddress(text: string): Address | undefined {
    const match = /^(?:\[([^\]]+)\]|([^:]+)):(\d{1,5})$/.exec(text);
    if (match === null) {
        return undefined;
    }
    const host = match[1] ?? match[2];
    const port = Number(match[3]);
    return isIP(host) === 0 || port > largestPort ? undefined : { host, port };
}

/** Splits `HOST:PORT` as programs record it. */
export function splitAddress(text: string): Address {
    const colon = text.lastIndexOf(":");
    return { host: text.slice(0, colon), port: Number(text.slice(colon + 1)) };
}

/** Returns the URL of a path at an address. */
export function urlOf({ host, port }: Address, path = ""): string {
    return `http://${isIP(host) === 6 ? `[${host}]` : host}:${port}${path}`;
}

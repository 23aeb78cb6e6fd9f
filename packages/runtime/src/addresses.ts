/**
 * Addresses of processes: an IP number and a port.
 */

import { isIP } from "node:net";

/** Where a process listens. */
export interface Address {
    readonly address: string;
    readonly port: number;
}

const largestPort = 65_535;

/** Reads `IP:PORT`, or `[IPV6]:PORT`; undefined when the text is neither. */
export function parseEndpoint(text: string): Address | undefined {
    const match = /^(?:\[([^\]]+)\]|([^:]+)):(\d{1,5})$/.exec(text);
    if (match === null) {
        return undefined;
    }
    const address = match[1] ?? match[2];
    const port = Number(match[3]);
    return isIP(address) === 0 || port > largestPort ? undefined : { address, port };
}

/** Returns the URL of a path at an address. */
export function urlOf({ address, port }: Address, path = ""): string {
    const host = isIP(address) === 6 ? `[${address}]` : address;
    return `http://${host}:${port}${path}`;
}

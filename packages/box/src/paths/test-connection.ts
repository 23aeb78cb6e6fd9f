/**
 * A test connection: shows whether something accepts connections at an address. Sends nothing.
 */

import type { Milliseconds } from "@chalkdale/kernel";
import { splitAddress, startTimeout } from "@chalkdale/runtime";
import { connect } from "node:net";

export interface TestConnectionOptions {
    /** Address to connect to, `host:port`. */
    readonly address: string;
    readonly localAddress: string;
    readonly timeout: Milliseconds;
}

/** Resolves to true if the connection is accepted in time. Never rejects. */
export function acceptsConnection({ address, localAddress, timeout }: TestConnectionOptions): Promise<boolean> {
    const { host, port } = splitAddress(address);
    return new Promise(resolve => {
        const socket = connect({ host, port, localAddress });
        const settle = (accepts: boolean) => {
            cancelTimeout();
            socket.destroy();
            resolve(accepts);
        };
        const cancelTimeout = startTimeout(timeout, () => settle(false));
        socket.on("error", () => settle(false));
        socket.on("connect", () => settle(true));
    });
}

/**
 * Discards datagrams that this process sends to chosen addresses, as a partition does.
 *
 * Replaces `Socket.prototype.send` of `node:dgram` in this process. Owns the rules; without any, datagrams are sent as
 * usual.
 */

import { Socket } from "node:dgram";

/** True for a datagram that is discarded, by its destination `host:port`. */
export type DatagramCutRule = (remoteAddress: string) => boolean;

const rules = new Set<DatagramCutRule>();
let isInstalled = false;

/** Adds a rule; returns the function that removes it. */
export function addDatagramCutRule(rule: DatagramCutRule): () => void {
    install();
    rules.add(rule);
    return () => rules.delete(rule);
}

/** Handles the form of `send` that boxes use: message, port, host, callback. */
function install(): void {
    if (isInstalled) {
        return;
    }
    isInstalled = true;
    const prototype = Socket.prototype as unknown as { send: (...all: unknown[]) => void; };
    const send = prototype.send;
    prototype.send = function sendUnlessCut(this: Socket, ...all: unknown[]): void {
        const [, port, host] = all;
        if (![...rules].some(rule => rule(`${String(host)}:${String(port)}`))) {
            send.apply(this, all);
        }
    };
}

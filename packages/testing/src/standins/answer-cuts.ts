/**
 * Discards what this process writes on chosen connections, as a link does that is cut one way: what the other end sends
 * still arrives, and neither end sees an error.
 *
 * Replaces the write methods of `Socket.prototype` of `node:net` in this process. Owns the rules; without any, bytes are
 * written as usual.
 */

import { Socket } from "node:net";

/** True for a connection on which nothing is written, by both ends, each `host:port`. */
export type AnswerCutRule = (localAddress: string, remoteAddress: string) => boolean;

type Write = (this: Socket, ...all: unknown[]) => void;

const rules = new Set<AnswerCutRule>();
let isInstalled = false;

/** Adds a rule; returns the function that removes it. */
export function addAnswerCutRule(rule: AnswerCutRule): () => void {
    if (!isInstalled) {
        isInstalled = true;
        replace("_write");
        replace("_writev");
    }
    rules.add(rule);
    return () => rules.delete(rule);
}

function replace(name: "_write" | "_writev"): void {
    const prototype = Socket.prototype as unknown as Record<typeof name, Write>;
    const write = prototype[name];
    prototype[name] = function writeUnlessCut(this: Socket, ...all: unknown[]): void {
        if (!isCut(this)) {
            write.apply(this, all);
            return;
        }
        const done = all.at(-1) as () => void;
        process.nextTick(done);
    };
}

function isCut({ connecting, localAddress, localPort, remoteAddress, remotePort }: Socket): boolean {
    return !connecting && rules.size > 0
        && [...rules].some(rule => rule(`${localAddress}:${localPort}`, `${remoteAddress}:${remotePort}`));
}

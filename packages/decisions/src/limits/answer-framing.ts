/**
 * Tells an answer from bytes that never become one: interim answers, tiny chunks, empty lines or trailers without end.
 *
 * Counts what was received and not time: such bytes can take up the whole event loop, and no timer comes due meanwhile.
 * Owns nothing.
 */

/** What was received for one request. */
export interface ReceivedFraming {
    /** Bytes received. */
    readonly total: number;
    /** Those that belong to the bodies of answers, whichever request they answer. */
    readonly bodies: number;
    /** Heads of interim answers, of answers to other requests and of the answer itself; empty lines count as heads. */
    readonly heads: number;
}

/** Bytes of heads and framing beyond those of the bodies: a head and trailers as large as Node's parser accepts. */
const maxFramingBytes = 32 * 1024;
/** A sound answer has one head, and a few interim ones before it at most. */
const maxHeads = 64;

/** True if more was received for heads and framing than any answer needs. */
export function hasExcessFraming({ bodies, heads, total }: ReceivedFraming): boolean {
    return heads > maxHeads || total - bodies > maxFramingBytes + bodies;
}

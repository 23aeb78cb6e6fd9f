/**
 * Collects the bytes of a body in one piece of memory that doubles as they come: parts of a few bytes each, kept one by
 * one, would take up a hundred times their own size.
 *
 * Owns the memory; `held` says how much it is.
 */

/** Bytes in the order in which they came. */
export interface GrowingBuffer {
    readonly add: (part: Buffer) => void;
    /** Bytes that have come. */
    readonly size: () => number;
    /** Bytes of memory in use. */
    readonly held: () => number;
    /** Returns what has come, and holds nothing any more. */
    readonly take: () => Buffer;
}

/** Bytes of memory that the first part takes at least. */
const firstRoom = 4 * 1024;

const nothing = Buffer.alloc(0);

/** Creates an empty buffer. `expected` is the size that was announced, if one was: no more memory is taken for it before bytes come. */
export function createGrowingBuffer(expected: number | undefined): GrowingBuffer {
    let memory: Buffer = nothing;
    let size = 0;

    return {
        add(part) {
            makeRoom(size + part.length);
            part.copy(memory, size);
            size += part.length;
        },
        size: () => size,
        held: () => memory.length,
        take() {
            const taken = memory.subarray(0, size);
            memory = nothing;
            size = 0;
            return taken;
        },
    };

    function makeRoom(needed: number): void {
        if (needed <= memory.length) {
            return;
        }
        const doubled = Math.max(needed, firstRoom, 2 * memory.length);
        const larger = Buffer.allocUnsafeSlow(Math.max(needed, Math.min(doubled, expected ?? Infinity)));
        memory.copy(larger, 0, 0, size);
        memory = larger;
    }
}

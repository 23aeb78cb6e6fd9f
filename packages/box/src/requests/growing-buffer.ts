/**
 * Collects the bytes of a body in one block of memory, which doubles as needed: chunks of a few bytes each, kept one by
 * one, would take up a hundred times their own size.
 *
 * Owns the memory; `held` returns its size.
 */

/** Bytes in the order in which they were received. */
export interface GrowingBuffer {
    readonly add: (chunk: Buffer) => void;
    /** Bytes received. */
    readonly size: () => number;
    /** Bytes of memory allocated. */
    readonly held: () => number;
    /** Returns the received bytes and leaves the buffer empty. */
    readonly take: () => Buffer;
}

/** Minimum size of the first allocation, in bytes. */
const minAllocation = 4 * 1024;

const emptyBuffer = Buffer.alloc(0);

/**
 * Creates an empty buffer. `expected` is the announced size of the body, if any: it caps allocations, but is not
 * allocated in advance.
 */
export function createGrowingBuffer(expected: number | undefined): GrowingBuffer {
    let memory: Buffer = emptyBuffer;
    let size = 0;

    return {
        add(chunk) {
            ensureCapacity(size + chunk.length);
            chunk.copy(memory, size);
            size += chunk.length;
        },
        size: () => size,
        held: () => memory.length,
        take() {
            const taken = memory.subarray(0, size);
            memory = emptyBuffer;
            size = 0;
            return taken;
        },
    };

    function ensureCapacity(required: number): void {
        if (required <= memory.length) {
            return;
        }
        const doubled = Math.max(required, minAllocation, 2 * memory.length);
        const larger = Buffer.allocUnsafeSlow(Math.max(required, Math.min(doubled, expected ?? Infinity)));
        memory.copy(larger, 0, 0, size);
        memory = larger;
    }
}

/**
 * The body of an answer in blocks, which are filled one after the other and never copied: a block that grows would
 * leave each smaller one behind until the next garbage collection, as much memory again as the body takes.
 *
 * Owns the blocks until they are taken.
 */

/** A complete body. */
export interface AnswerBody {
    readonly length: number;
    /** Its bytes, in order; whoever sends the body removes the parts that have left, so that their memory is freed. */
    readonly parts: Buffer[];
}

/** A body that arrives. */
export interface AnswerBodyBuilder {
    readonly add: (chunk: Buffer) => void;
    /** Bytes received. */
    readonly size: () => number;
    /** Bytes of memory allocated. */
    readonly held: () => number;
    /** Returns the received bytes and leaves the builder empty. */
    readonly take: () => AnswerBody;
}

/** Sizes of a block, in bytes. */
const minBlock = 4 * 1024;
const maxBlock = 256 * 1024;
/** A block has room for this multiple of what has arrived so far: what is announced isn't allocated at once. */
const growthFactor = 4;

/** Returns a body of one part. */
export function bodyOf(bytes: Buffer): AnswerBody {
    return { length: bytes.length, parts: [bytes] };
}

/** Creates an empty builder. `expected` is the announced length, if any. */
export function createAnswerBody(expected: number | undefined): AnswerBodyBuilder {
    let blocks: Buffer[] = [];
    /** Bytes used of the last block. */
    let used = 0;
    let size = 0;
    let held = 0;

    return {
        add(chunk) {
            if (size === 0 && chunk.length === expected) {
                append(chunk);
                used = chunk.length;
                size = chunk.length;
                return;
            }
            let copied = 0;
            while (copied < chunk.length) {
                copied += copy(chunk, copied);
            }
        },
        size: () => size,
        held: () => held,
        take() {
            const last = blocks.pop();
            const parts = last === undefined ? blocks : [...blocks, last.subarray(0, used)];
            const body: AnswerBody = { length: size, parts };
            blocks = [];
            [used, size, held] = [0, 0, 0];
            return body;
        },
    };

    function append(block: Buffer): void {
        blocks.push(block);
        held += block.length;
        used = 0;
    }

    /** Copies from a position of the chunk what fits into the last block; returns the number of bytes. */
    function copy(chunk: Buffer, from: number): number {
        if (blocks.length === 0 || used === blocks[blocks.length - 1].length) {
            append(Buffer.allocUnsafeSlow(nextBlockSize(chunk.length - from)));
        }
        const copied = chunk.copy(blocks[blocks.length - 1], used, from);
        used += copied;
        size += copied;
        return copied;
    }

    function nextBlockSize(required: number): number {
        const grown = Math.min(maxBlock, Math.max(minBlock, growthFactor * (size + required)));
        return Math.min(grown, Math.max(required, (expected ?? Infinity) - size));
    }
}

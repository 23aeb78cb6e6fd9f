/**
 * Writes log lines to a stream whose reader may be slow or have stopped reading.
 *
 * Node writes to a pipe without blocking and buffers in memory what the reader
 * has not read. This module bounds that buffer: beyond the bound it drops lines
 * and counts them.
 *
 * Owns the count of dropped lines; relies on the stream's `writableLength`.
 */

/** The part of a writable stream that this module uses. */
export interface LineTarget {
    readonly write: (text: string) => boolean;
    readonly writableLength: number;
}

/** A bounded output of lines. */
export interface LineOutput {
    /** Writes one line, given without its line end, or drops it. */
    readonly write: (line: string) => void;
    /** Number of lines dropped so far. */
    readonly droppedLines: () => number;
}

/** Bytes buffered for a slow reader before lines are dropped. */
const maxPendingBytes = 256 * 1024;

/** Creates an output that drops lines while the target's buffer is too full, and then writes how many it dropped. */
export function createLineOutput(target: LineTarget): LineOutput {
    let dropped = 0;
    let unreported = 0;

    return {
        write(line) {
            if (target.writableLength > maxPendingBytes) {
                dropped += 1;
                unreported += 1;
                return;
            }
            if (unreported > 0) {
                target.write(`level=warn event=log.leftOut reason=reader lines=${unreported}\n`);
                unreported = 0;
            }
            target.write(`${line}\n`);
        },
        droppedLines: () => dropped,
    };
}

/**
 * Log lines to a stream whose reader may not read.
 *
 * Node writes to a pipe without blocking and keeps what its reader has not
 * taken; here that is bounded, and beyond the bound lines are left out and counted.
 *
 * Owns the count of lines left out; relies on the stream for how much it holds.
 */

/** Something that takes bytes, as far as this module needs it. */
export interface LineTarget {
    readonly write: (text: string) => boolean;
    readonly writableLength: number;
}

/** Takes lines without their ends. */
export interface LineOutput {
    readonly write: (line: string) => void;
    /** Lines left out so far. */
    readonly droppedLines: () => number;
}

/** Bytes kept for a reader that does not read. */
const mostPending = 256 * 1024;

/** Creates an output that leaves lines out while the target holds too much. */
export function createLineOutput(target: LineTarget): LineOutput {
    let leftOut = 0;
    let unreported = 0;

    return {
        write(line) {
            if (target.writableLength > mostPending) {
                leftOut += 1;
                unreported += 1;
                return;
            }
            if (unreported > 0) {
                target.write(`level=warn event=log.leftOut reason=reader lines=${unreported}\n`);
                unreported = 0;
            }
            target.write(`${line}\n`);
        },
        droppedLines: () => leftOut,
    };
}

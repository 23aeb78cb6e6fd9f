/**
 * The slots of a stand-in server and the requests that wait for one.
 */

/** Slots and their queue. */
export interface SlotQueue {
    readonly running: () => number;
    readonly waiting: () => number;
    /** True when a request would find neither a slot nor a place in the queue. */
    readonly isFull: () => boolean;
    /** Resolves once the caller has a slot. */
    readonly acquire: () => Promise<void>;
    /** Gives a slot back; the request that waits the longest gets it. */
    readonly release: () => void;
}

/** Creates free slots and an empty queue. */
export function createSlotQueue(slots: number, queueLength: number): SlotQueue {
    const waiting: (() => void)[] = [];
    let running = 0;

    return {
        running: () => running,
        waiting: () => waiting.length,
        isFull: () => running >= slots && waiting.length >= queueLength,
        acquire() {
            if (running < slots) {
                running += 1;
                return Promise.resolve();
            }
            return new Promise(resolve =>
                waiting.push(() => {
                    running += 1;
                    resolve();
                })
            );
        },
        release() {
            running -= 1;
            waiting.shift()?.();
        },
    };
}

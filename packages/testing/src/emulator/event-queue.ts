/**
 * Discrete-event scheduler: runs actions in the order of their times, on a clock that jumps from one to the next.
 *
 * Owns the simulated time.
 */

import { type Clock, type Milliseconds, milliseconds } from "@chalkdale/kernel";

/** Actions that are due at simulated times. */
export interface EventQueue {
    /** The simulated time; 0 at the start. */
    readonly now: Clock;
    /** Schedules an action after a delay in milliseconds; actions due at the same time run in scheduling order. */
    readonly after: (delay: number, action: () => void) => void;
    /** Runs all actions that are due up to a time, and sets the clock to it. */
    readonly runUntil: (end: Milliseconds) => void;
}

/** A scheduled action. `order` breaks ties between actions that are due at the same time. */
interface Entry {
    readonly at: number;
    readonly order: number;
    readonly action: () => void;
}

/** Creates an empty queue at time 0. */
export function createEventQueue(): EventQueue {
    const heap: Entry[] = [];
    let time = 0;
    let order = 0;

    return {
        now: () => milliseconds(time),
        after(delay, action) {
            order += 1;
            push({ at: time + Math.max(0, delay), order, action });
        },
        runUntil(end) {
            while (heap.length > 0 && heap[0].at <= end) {
                const entry = pop();
                time = entry.at;
                entry.action();
            }
            time = Math.max(time, end);
        },
    };

    function push(entry: Entry): void {
        let index = heap.push(entry) - 1;
        while (index > 0) {
            const parent = (index - 1) >> 1;
            if (!isBefore(heap[index], heap[parent])) {
                return;
            }
            swap(index, parent);
            index = parent;
        }
    }

    function pop(): Entry {
        const first = heap[0];
        const last = heap.pop()!;
        if (heap.length > 0) {
            heap[0] = last;
            sink();
        }
        return first;
    }

    function sink(): void {
        let index = 0;
        for (;;) {
            const left = 2 * index + 1;
            const right = left + 1;
            let earliest = index;
            if (left < heap.length && isBefore(heap[left], heap[earliest])) {
                earliest = left;
            }
            if (right < heap.length && isBefore(heap[right], heap[earliest])) {
                earliest = right;
            }
            if (earliest === index) {
                return;
            }
            swap(index, earliest);
            index = earliest;
        }
    }

    function swap(a: number, b: number): void {
        [heap[a], heap[b]] = [heap[b], heap[a]];
    }
}

function isBefore(a: Entry, b: Entry): boolean {
    return a.at < b.at || a.at === b.at && a.order < b.order;
}

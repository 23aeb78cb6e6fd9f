/**
 * An emulated backend server: runs requests in a fixed number of slots, queues those that find none free, and needs
 * less time for keys that it has cached.
 *
 * Owns its slots, queue and cache; relies on the event queue for time.
 */

import type { BackendServerRecord, LoadReport } from "@chalkdale/decisions";
import type { BackendServerId } from "@chalkdale/kernel";
import type { EventQueue } from "./event-queue.js";

/** How a request at a server ended. `notRun` means that no slot and no place in the queue was free. */
export type ServerOutcome =
    | { readonly kind: "answered"; readonly load: LoadReport; readonly warm: boolean; }
    | { readonly kind: "notRun"; readonly load: LoadReport; };

/** An emulated backend server. */
export interface EmulatedServer {
    readonly id: BackendServerId;
    readonly record: () => BackendServerRecord;
    readonly setRecord: (record: BackendServerRecord) => void;
    /** Sets the factor on the processing time of requests that start from now on; 1 is normal speed. */
    readonly setSlowness: (factor: number) => void;
    /**
     * Runs, queues or rejects a request, and reports its outcome to `done`. `work` is the processing time with a cold
     * key, in milliseconds.
     */
    readonly receive: (key: string, work: number, done: (outcome: ServerOutcome) => void) => void;
    /** Number of requests received. */
    readonly arrivals: () => number;
    /** Number of requests rejected because no slot and no place in the queue was free. */
    readonly turnedAway: () => number;
    /** Number of runs whose key was cached. */
    readonly warmRuns: () => number;
}

export interface EmulatedServerOptions {
    readonly record: BackendServerRecord;
    readonly queueCapacity: number;
    readonly keyCacheSize: number;
    /** Fraction of the work that a cached key saves. */
    readonly warmSaving: number;
    readonly events: EventQueue;
}

/** Creates an idle server with an empty cache. */
export function createEmulatedServer(options: EmulatedServerOptions): EmulatedServer {
    const { events } = options;
    const cachedKeys = new Set<string>();
    const waiting: (() => void)[] = [];
    let { record } = options;
    let slowness = 1;
    let running = 0;
    let arrivals = 0;
    let rejections = 0;
    let warmRuns = 0;

    return {
        id: record.id,
        record: () => record,
        setRecord: newRecord => {
            record = newRecord;
        },
        setSlowness: factor => {
            slowness = factor;
        },
        receive(key, work, done) {
            arrivals += 1;
            if (running < record.slots) {
                run(key, work, done);
            }
            else if (waiting.length < options.queueCapacity) {
                waiting.push(() => run(key, work, done));
            }
            else {
                rejections += 1;
                done({ kind: "notRun", load: loadReport() });
            }
        },
        arrivals: () => arrivals,
        turnedAway: () => rejections,
        warmRuns: () => warmRuns,
    };

    function run(key: string, work: number, done: (outcome: ServerOutcome) => void): void {
        running += 1;
        const warm = addToCache(key);
        warmRuns += warm ? 1 : 0;
        events.after(work * slowness * (warm ? 1 - options.warmSaving : 1), () => {
            running -= 1;
            waiting.shift()?.();
            done({ kind: "answered", load: loadReport(), warm });
        });
    }

    /** Makes a key the most recently used one; returns whether it was cached already. */
    function addToCache(key: string): boolean {
        const wasCached = cachedKeys.delete(key);
        cachedKeys.add(key);
        if (cachedKeys.size > options.keyCacheSize) {
            const [leastRecent] = cachedKeys;
            cachedKeys.delete(leastRecent);
        }
        return wasCached;
    }

    function loadReport(): LoadReport {
        return { running, waiting: waiting.length, slots: record.slots };
    }
}

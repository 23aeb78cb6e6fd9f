/**
 * A backend server in the emulator: slots, a queue, warm keys, speed.
 */

import type { BackendServerRecord, LoadReport } from "@chalkdale/decisions";
import type { BackendServerId } from "@chalkdale/kernel";
import type { EventQueue } from "./event-queue.js";

/** How a request at a server ended. */
export type ServerOutcome =
    | { readonly kind: "answered"; readonly load: LoadReport; readonly warm: boolean; }
    | { readonly kind: "notRun"; readonly load: LoadReport; };

/** A server. */
export interface EmulatedServer {
    readonly id: BackendServerId;
    readonly record: () => BackendServerRecord;
    readonly setRecord: (record: BackendServerRecord) => void;
    /** Works times as long as others. */
    readonly setSlowness: (factor: number) => void;
    /** Takes a request; `done` is told when it ends. `work` is the time with a key that is not known. */
    readonly receive: (key: string, work: number, done: (ending: ServerOutcome) => void) => void;
    readonly arrivals: () => number;
    /** Requests that found every slot and every place in the queue taken. */
    readonly turnedAway: () => number;
    readonly warmRuns: () => number;
}

export interface EmulatedServerOptions {
    readonly record: BackendServerRecord;
    readonly queueLength: number;
    readonly rememberedKeys: number;
    /** Part of the work that a known key saves. */
    readonly warmSaving: number;
    readonly events: EventQueue;
}

/** Creates an idle server that knows no key. */
export function createEmulatedServer(options: EmulatedServerOptions): EmulatedServer {
    const { events } = options;
    const keys = new Set<string>();
    const waiting: (() => void)[] = [];
    let { record } = options;
    let slowness = 1;
    let running = 0;
    let arrivals = 0;
    let turnedAway = 0;
    let warmRuns = 0;

    return {
        id: record.id,
        record: () => record,
        setRecord: next => {
            record = next;
        },
        setSlowness: factor => {
            slowness = factor;
        },
        receive(key, work, done) {
            arrivals += 1;
            if (running < record.slots) {
                run(key, work, done);
            }
            else if (waiting.length < options.queueLength) {
                waiting.push(() => run(key, work, done));
            }
            else {
                turnedAway += 1;
                done({ kind: "notRun", load: loadReport() });
            }
        },
        arrivals: () => arrivals,
        turnedAway: () => turnedAway,
        warmRuns: () => warmRuns,
    };

    function run(key: string, work: number, done: (ending: ServerOutcome) => void): void {
        running += 1;
        const warm = remember(key);
        warmRuns += warm ? 1 : 0;
        events.after(work * slowness * (warm ? 1 - options.warmSaving : 1), () => {
            running -= 1;
            waiting.shift()?.();
            done({ kind: "answered", load: loadReport(), warm });
        });
    }

    function remember(key: string): boolean {
        const known = keys.delete(key);
        keys.add(key);
        if (keys.size > options.rememberedKeys) {
            const [oldest] = keys;
            keys.delete(oldest);
        }
        return known;
    }

    function loadReport(): LoadReport {
        return { running, waiting: waiting.length, slots: record.slots };
    }
}

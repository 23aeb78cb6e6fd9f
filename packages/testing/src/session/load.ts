/**
 * Load on a session: requests at a rate from each region, and what became of
 * them second by second.
 */

import type { Session, SessionResult } from "./session.js";

/** One stream of requests. */
export interface LoadStream {
    readonly service: string;
    /** Address that the requests come from. */
    readonly caller: string;
    /** Entry boxes used in turn. */
    readonly boxes: readonly string[];
    /** Requests per second; may depend on the time in milliseconds. */
    readonly rate: (now: number) => number;
    readonly method?: string;
}

/** Runs a session under load for so many milliseconds and returns the results of that time. */
export async function runLoad(
    session: Session,
    streams: readonly LoadStream[],
    duration: number,
    onSecond?: (results: readonly SessionResult[]) => void,
): Promise<readonly SessionResult[]> {
    const owed = streams.map(() => 0);
    const turns = streams.map(() => 0);
    const first = session.results.length;
    let secondStart = first;
    let lastStep = session.clock.now() as number;
    await session.advance(duration, now => {
        streams.forEach((stream, index) => {
            owed[index] += stream.rate(now) * (now - lastStep) / 1000;
            while (owed[index] >= 1) {
                owed[index] -= 1;
                const box = stream.boxes[turns[index]++ % stream.boxes.length];
                session.send({ box, service: stream.service, caller: stream.caller, method: stream.method });
            }
        });
        lastStep = now;
        if (onSecond !== undefined && now % 1000 === 0) {
            onSecond(session.results.slice(secondStart));
            secondStart = session.results.length;
        }
    });
    return session.results.slice(first);
}

/** Counts results by a key, in the order of the keys, as `key:count` pairs. */
export function countBy(results: readonly SessionResult[], keyOf: (result: SessionResult) => string): string {
    const counts = new Map<string, number>();
    for (const result of results) {
        const key = keyOf(result);
        counts.set(key, (counts.get(key) ?? 0) + 1);
    }
    return [...counts].sort(([a], [b]) => a < b ? -1 : 1).map(([key, count]) => `${key}:${count}`).join(",");
}

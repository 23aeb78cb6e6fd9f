/**
 * Faults in which another writer leaves odd records of boxes in the store, which boxes read as they start.
 *
 * Draws from a separate random source, so that the other faults of a seed stay the same.
 */

import { createSeededRandom, milliseconds } from "@chalkdale/kernel";
import { pause } from "../standins/deployment.js";
import { pickRandom } from "./fault-tools.js";
import type { SoakEnvironment } from "./soak-environment.js";

/** Spreads the runs' seeds: generators with consecutive seeds would begin with similar draws. */
const seedMultiplier = 433_494;
/** Time between two records and the maximum random addition, in milliseconds. */
const minPause = 300;
const maxAddedPause = 900;
/** Name of the records' kind in the store. */
const kind = "chalkdale-boxes";

const sound = {
    incarnation: "1",
    heartbeat: 1,
    leaving: false,
    ready: true,
    region: "north",
    zone: "north-a",
    callerAddress: "127.0.0.1:9",
    capacity: 1,
    load: 0,
};
const oddSpecs: readonly unknown[] = [
    ...["127.0.0.1:0", "127.0.0.1:65536", "127.0.0.1:-1", "127.0.0.1:", "127.0.0.1", ":", "", 7, [[[[]]]], {}]
        .map(peerAddress => ({ ...sound, box: "b-odd", peerAddress })),
    { ...sound, box: "b-odd", peerAddress: "127.0.0.1:9", capacity: 1e308, load: -1e308 },
    { ...sound, box: 7, peerAddress: "127.0.0.1:9" },
    "odd",
    [],
];

/** Writes odd records until the time `end` of the run. */
export async function writeOddBoxRecords({ logEvent, now, seed, store }: SoakEnvironment, end: number): Promise<void> {
    const random = createSeededRandom(seed * seedMultiplier);
    for (let count = 0; now() < end; count++) {
        logEvent(`fault="odd record of a box" name=b-odd-${count}`);
        store.put(kind, `b-odd-${count}`, pickRandom(oddSpecs, random));
        await pause(milliseconds(minPause + random() * maxAddedPause));
    }
}

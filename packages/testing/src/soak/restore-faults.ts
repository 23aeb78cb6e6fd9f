/**
 * Returns of the store from older copies of its own, as faults of a soak run: it is away for a
 * moment, has lost what was written in the last seconds, and the operators and the
 * servers write that again; at times it comes back a second time meanwhile.
 *
 * Owns the copies; draws from a random source of its own, so that seeds of earlier sets stay what they were.
 */

import { createSeededRandom, milliseconds } from "@chalkdale/kernel";
import { pause } from "../standins/deployment.js";
import type { StoreSnapshot } from "../standins/metadata-store.js";
import type { SoakEnvironment } from "./soak-environment.js";

/** Draws of seeds that follow on each other would begin alike. */
const seedSpread = 49_979_687;
/** Milliseconds between two copies of the store, and how many are kept: the oldest is some seconds old. */
const copyInterval = 500;
const keptCopies = 8;
/** Milliseconds for which the store is away at least, and what chance adds at most. */
const shortestAway = 200;
const addedAway = 800;
/** Milliseconds within which what was lost is written again. */
const writtenAgainWithin = 2000;
/** Milliseconds between two returns at least, and what chance adds at most. */
const shortestPause = 1500;
const addedPause = 4000;

/** The store comes back again and again until a time of the run; resolves once all that was lost is written again. */
export async function injectStoreRestores(world: SoakEnvironment, end: number): Promise<void> {
    const { now, store, storeServer } = world;
    const random = createSeededRandom(world.seed * seedSpread);
    const copies: StoreSnapshot[] = [];
    const timer = setInterval(() => {
        copies.push(store.takeSnapshot());
        copies.splice(0, copies.length - keptCopies);
    }, copyInterval);
    const writes: Promise<void>[] = [];
    while (now() < end) {
        await pause(milliseconds(shortestPause + random() * addedPause));
        await restoreOnce();
    }
    clearInterval(timer);
    await Promise.all(writes);
    store.lostWrites().forEach(write => write.replay());

    async function restoreOnce(): Promise<void> {
        const over = world.storeConnectivity.beginFault();
        const away = milliseconds(shortestAway + random() * addedAway);
        storeServer.setFault(() => ({ kind: "reset" }));
        storeServer.dropConnections();
        await pause(away);
        const copy = copies[Math.floor(random() * copies.length)] ?? store.takeSnapshot();
        const lostRevisions = store.revision() - copy.at;
        store.restore(copy);
        storeServer.setFault(() => ({ kind: "none" }));
        world.logEvent(
            `fault="store back older" away=${
                Math.round(away)
            } lost=${lostRevisions} writes=${store.lostWrites().length}`,
        );
        writes.push(
            ...store.lostWrites().map(async write => {
                await pause(milliseconds(random() * writtenAgainWithin));
                write.replay();
            }),
        );
        void Promise.all(writes).then(over);
    }
}

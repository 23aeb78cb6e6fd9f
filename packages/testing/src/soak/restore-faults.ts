/**
 * Faults in which the store is restored from an older snapshot: it is unreachable for a moment,
 * has lost the writes of the last seconds, and the operators and servers write them again.
 * A further restore may come before they have done so.
 *
 * Owns the snapshots. Draws from a separate random source, since seeds of the other sets must keep their draws.
 */

import { createSeededRandom, milliseconds } from "@chalkdale/kernel";
import { pause } from "../standins/deployment.js";
import type { StoreSnapshot } from "../standins/metadata-store.js";
import type { SoakEnvironment } from "./soak-environment.js";

/** Spreads the runs' seeds: generators with consecutive seeds would begin with similar draws. */
const seedMultiplier = 49_979_687;
/** Milliseconds between two snapshots of the store, and how many are kept: the oldest is a few seconds old. */
const snapshotInterval = 500;
const keptSnapshots = 8;
/** Minimum outage of the store and the maximum random addition, in milliseconds. */
const minOutage = 200;
const maxAddedOutage = 800;
/** Milliseconds within which lost writes are repeated. */
const maxReplayDelay = 2000;
/** Minimum time between two restores and the maximum random addition, in milliseconds. */
const minPause = 1500;
const maxAddedPause = 4000;

/** Restores the store repeatedly until the time `end` of the run; resolves once all lost writes are repeated. */
export async function injectStoreRestores(environment: SoakEnvironment, end: number): Promise<void> {
    const { now, store, storeServer } = environment;
    const random = createSeededRandom(environment.seed * seedMultiplier);
    const snapshots: StoreSnapshot[] = [];
    const timer = setInterval(() => {
        snapshots.push(store.takeSnapshot());
        snapshots.splice(0, snapshots.length - keptSnapshots);
    }, snapshotInterval);
    const replays: Promise<void>[] = [];
    while (now() < end) {
        await pause(milliseconds(minPause + random() * maxAddedPause));
        await restoreOnce();
    }
    clearInterval(timer);
    await Promise.all(replays);
    store.lostWrites().forEach(write => write.replay());

    async function restoreOnce(): Promise<void> {
        const endFault = environment.storeConnectivity.beginFault();
        const outage = milliseconds(minOutage + random() * maxAddedOutage);
        storeServer.setFault(() => ({ kind: "reset" }));
        storeServer.dropConnections();
        await pause(outage);
        const snapshot = snapshots[Math.floor(random() * snapshots.length)] ?? store.takeSnapshot();
        const lostRevisions = store.revision() - snapshot.at;
        store.restore(snapshot);
        storeServer.setFault(() => ({ kind: "none" }));
        environment.logEvent(
            `fault="store back older" away=${
                Math.round(outage)
            } lost=${lostRevisions} writes=${store.lostWrites().length}`,
        );
        replays.push(
            ...store.lostWrites().map(async write => {
                await pause(milliseconds(random() * maxReplayDelay));
                write.replay();
            }),
        );
        void Promise.all(replays).then(endFault);
    }
}

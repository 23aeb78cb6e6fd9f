/**
 * Faults that the soak learned after its first seeds had been kept, drawn from a
 * random source of their own: connections that fall silent for good, each often
 * followed at once by a change that depends on them.
 */

import { createSeededRandom, milliseconds } from "@chalkdale/kernel";
import { pause } from "../standins/deployment.js";
import { type Fault, pick } from "./fault-tools.js";
import { createSilence } from "./link-faults.js";
import type { PlannedChanges } from "./planned-changes.js";
import type { SoakWorld } from "./soak-world.js";

/** Draws of seeds that follow on each other would begin alike. */
const seedSpread = 104_729;
/** Least time between two faults, and what chance adds at most, in milliseconds. */
const shortestPause = 400;
const longestAddition = 1200;
/** Part of the faults that a planned change follows at once. */
const changedShare = 0.7;

/** Injects the faults until a time of the run; resolves with their number when all are over. */
export async function injectLaterFaults(world: SoakWorld, changes: PlannedChanges, end: number): Promise<number> {
    const random = createSeededRandom(world.seed * seedSpread);
    const faults = laterFaults(world, random);
    const planned: readonly Fault[] = [changes.release, changes.release, changes.evacuate, changes.changeConfiguration];
    const ends: Promise<void>[] = [];
    while (world.now() < end) {
        ends.push(pick(faults, random)());
        if (random() < changedShare) {
            ends.push(pick(planned, random)());
        }
        await pause(milliseconds(shortestPause + random() * longestAddition));
    }
    await Promise.all(ends);
    return ends.length;
}

function laterFaults(world: SoakWorld, random: () => number): readonly Fault[] {
    return [
        createSilence(world, random, () => world.storeLinks, "links to the store"),
        createSilence(world, random, () => world.servers.map(({ proxy }) => proxy), "links to servers"),
    ];
}

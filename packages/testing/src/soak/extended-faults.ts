/**
 * Faults that the soak learned after its first seeds had been kept, drawn from a
 * random source of their own: connections that fall silent for good, servers that
 * start again under their ids, and entries of another writer, each often followed
 * at once by a change that depends on them.
 */

import { createSeededRandom, milliseconds, type RandomSource } from "@chalkdale/kernel";
import { pause } from "../standins/deployment.js";
import { type Fault, type FaultSet, pickRandom } from "./fault-tools.js";

import { createInvalidStoreEntry } from "./invalid-entry-faults.js";
import { createConnectionBlackhole } from "./link-faults.js";
import type { PlannedChanges } from "./planned-changes.js";
import type { SoakEnvironment } from "./soak-environment.js";

type LaterFault = "silence" | "restart" | "entry";

/** How many of each fault there were: a run that saw none of one says nothing of it. */
export type ExtendedFaultCounts = Readonly<Record<LaterFault, number>>;

/** Draws of seeds that follow on each other would begin alike. */
const seedSpread = 104_729;
/** Least time between two faults, and what chance adds at most, in milliseconds. */
const shortestPause = 400;
const longestAddition = 1200;
/** Part of the faults that a planned change follows at once. */
const changedShare = 0.7;

/** Injects the faults until a time of the run; resolves when all are over, with how many there were of each. */
export async function injectExtendedFaults(
    world: SoakEnvironment,
    changes: PlannedChanges,
    end: number,
    set: Exclude<FaultSet, "first">,
): Promise<ExtendedFaultCounts> {
    const random = createSeededRandom(world.seed * seedSpread);
    const counts: Record<LaterFault, number> = { silence: 0, restart: 0, entry: 0 };
    const silences = silenceFaults(world, random);
    const faults = set === "silences" ? silences : [...silences, ...otherFaults(world, changes, random)];
    const planned: readonly Fault[] = [
        changes.replaceServer,
        changes.replaceServer,
        changes.closeZone,
        changes.changeConfiguration,
    ];
    const ends: Promise<void>[] = [];
    while (world.now() < end) {
        const [kind, fault] = pickRandom(faults, random);
        counts[kind] += 1;
        ends.push(fault());
        if (random() < changedShare) {
            ends.push(pickRandom(planned, random)());
        }
        await pause(milliseconds(shortestPause + random() * longestAddition));
    }
    await Promise.all(ends);
    return counts;
}

type NamedFault = readonly [LaterFault, Fault];

function silenceFaults(world: SoakEnvironment, random: RandomSource): readonly NamedFault[] {
    return [
        ["silence", createConnectionBlackhole(world, random, () => world.storeLinks, "links to the store")],
        [
            "silence",
            createConnectionBlackhole(world, random, () => world.servers.map(({ proxy }) => proxy), "links to servers"),
        ],
    ];
}

function otherFaults(world: SoakEnvironment, changes: PlannedChanges, random: RandomSource): readonly NamedFault[] {
    const restart = () => changes.restart(random);
    return [
        ["restart", restart],
        ["restart", restart],
        ["entry", createInvalidStoreEntry(world, random)],
    ];
}

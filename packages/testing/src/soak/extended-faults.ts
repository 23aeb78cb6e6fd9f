/**
 * Faults beyond the set `first`: connections that stop passing bytes for good, servers
 * that restart under their ids, and invalid entries of another writer in the store,
 * each often followed at once by a planned change that can collide with it.
 *
 * Draws from a separate random source, since seeds of the set `first` must keep their draws.
 */

import { createSeededRandom, milliseconds, type RandomSource } from "@chalkdale/kernel";
import { pause } from "../standins/deployment.js";
import { type Fault, type FaultSet, pickRandom } from "./fault-tools.js";
import { createInvalidStoreEntry } from "./invalid-entry-faults.js";
import { createConnectionBlackhole } from "./link-faults.js";
import type { PlannedChanges } from "./planned-changes.js";
import type { SoakEnvironment } from "./soak-environment.js";

type ExtendedFault = "silence" | "restart" | "entry";

/** Number of injected faults of each kind: a run with a zero proves nothing about that kind. */
export type ExtendedFaultCounts = Readonly<Record<ExtendedFault, number>>;

/** Spreads the runs' seeds: generators with consecutive seeds would begin with similar draws. */
const seedMultiplier = 104_729;
/** Minimum time between two faults and the maximum random addition, in milliseconds. */
const minPause = 400;
const maxAddedPause = 1200;
/** Fraction of the faults that a planned change follows at once. */
const changeFraction = 0.7;

/** Injects faults until the time `end` of the run; resolves with their counts once all are over. */
export async function injectExtendedFaults(
    environment: SoakEnvironment,
    changes: PlannedChanges,
    end: number,
    set: Exclude<FaultSet, "first">,
): Promise<ExtendedFaultCounts> {
    const random = createSeededRandom(environment.seed * seedMultiplier);
    const counts: Record<ExtendedFault, number> = { silence: 0, restart: 0, entry: 0 };
    const blackholes = blackholeFaults(environment, random);
    const faults = set === "silences" ? blackholes : [...blackholes, ...otherFaults(environment, changes, random)];
    const planned: readonly Fault[] = [
        changes.replaceServer,
        changes.replaceServer,
        changes.closeZone,
        changes.changeConfiguration,
    ];
    const ends: Promise<void>[] = [];
    while (environment.now() < end) {
        const [kind, fault] = pickRandom(faults, random);
        counts[kind] += 1;
        ends.push(fault());
        if (random() < changeFraction) {
            ends.push(pickRandom(planned, random)());
        }
        await pause(milliseconds(minPause + random() * maxAddedPause));
    }
    await Promise.all(ends);
    return counts;
}

type NamedFault = readonly [ExtendedFault, Fault];

function blackholeFaults(environment: SoakEnvironment, random: RandomSource): readonly NamedFault[] {
    return [
        ["silence", createConnectionBlackhole(environment, random, () => environment.storeLinks, "links to the store")],
        [
            "silence",
            createConnectionBlackhole(
                environment,
                random,
                () => environment.servers.map(({ proxy }) => proxy),
                "links to servers",
            ),
        ],
    ];
}

function otherFaults(
    environment: SoakEnvironment,
    changes: PlannedChanges,
    random: RandomSource,
): readonly NamedFault[] {
    const restart = () => changes.restart(random);
    return [
        ["restart", restart],
        ["restart", restart],
        ["entry", createInvalidStoreEntry(environment, random)],
    ];
}

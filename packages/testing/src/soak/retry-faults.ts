/**
 * Faults under which boxes retry most requests, and count each other wrongly: all servers fail most requests, and boxes
 * are partitioned from each other. Both come several times and overlap, beside the kills of the other faults.
 *
 * Draws from a separate random source, so that the other faults of a seed stay the same.
 */

import { createSeededRandom, milliseconds, type RandomSource } from "@chalkdale/kernel";
import { pause } from "../standins/deployment.js";
import { pickRandom } from "./fault-tools.js";
import type { SoakEnvironment } from "./soak-environment.js";

/** Spreads the runs' seeds: generators with consecutive seeds would begin with similar draws. */
const seedMultiplier = 160_481;
/** Duration of a fault and the maximum random addition, in milliseconds. */
const minDuration = 2500;
const maxAddedDuration = 3500;
/** Time between the beginnings of two faults and the maximum random addition: shorter than they last. */
const minPause = 800;
const maxAddedPause = 2200;
/** Fraction of their requests that servers fail. */
const failedFraction = 0.85;
/** Fraction of the boxes that are partitioned, unless all are. */
const partitionedFraction = 0.5;

/** Injects the faults until the time `end` of the run; resolves once all are over. */
export async function injectRetryFaults(environment: SoakEnvironment, end: number): Promise<void> {
    const random = createSeededRandom(environment.seed * seedMultiplier);
    const ends: Promise<void>[] = [];
    while (environment.now() < end) {
        const injectFault = pickRandom([failServers, partitionBoxes], random);
        ends.push(injectFault(environment, random));
        await pause(milliseconds(minPause + random() * maxAddedPause));
    }
    await Promise.all(ends);
}

async function failServers({ logEvent, servers }: SoakEnvironment, random: RandomSource): Promise<void> {
    const duration = minDuration + random() * maxAddedDuration;
    logEvent(`fault="servers fail most requests" for=${Math.round(duration)}`);
    const failing = servers.filter(server => !server.isExcludedFromFaults);
    failing.forEach(({ backend }) =>
        backend.setBehaviour(() => random() < failedFraction ? { kind: "fail", status: 500 } : { kind: "serve" })
    );
    await pause(milliseconds(duration));
    failing.filter(server => !server.isExcludedFromFaults).forEach(({ backend }) =>
        backend.setBehaviour(() => ({ kind: "serve" }))
    );
}

/** Partitions all or some of the boxes from all others, for a random time. */
export async function partitionBoxes({ boxes, logEvent }: SoakEnvironment, random: RandomSource): Promise<void> {
    const duration = minDuration + random() * maxAddedDuration;
    const areAll = random() < partitionedFraction;
    const partitioned = boxes.filter(() => areAll || random() < partitionedFraction);
    const names = partitioned.map(({ name }) => name).join(",");
    logEvent(`fault="partition of ${names} from all other boxes" for=${Math.round(duration)}`);
    partitioned.forEach(box => box.cutFromBoxes(true));
    await pause(milliseconds(duration));
    partitioned.forEach(box => box.cutFromBoxes(false));
}

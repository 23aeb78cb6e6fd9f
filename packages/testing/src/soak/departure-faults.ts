/**
 * Faults that keep boxes from reading: they get processor time only now and then, or are paused in series. Several come
 * at once and overlap, beside the restarts and pauses of the other faults.
 *
 * Draws from a separate random source, so that the other faults of a seed stay the same.
 */

import { createSeededRandom, milliseconds, type RandomSource } from "@chalkdale/kernel";
import { pause } from "../standins/deployment.js";
import { pickRandom } from "./fault-tools.js";
import type { SoakEnvironment } from "./soak-environment.js";

/** Spreads the runs' seeds: generators with consecutive seeds would begin with similar draws. */
const seedMultiplier = 350_377;
/** Duration of a fault and the maximum random addition, in milliseconds. */
const minDuration = 1500;
const maxAddedDuration = 3000;
/** Time between the beginnings of two faults and the maximum random addition: shorter than they last. */
const minPause = 400;
const maxAddedPause = 1200;

/** How long a box stands still and runs in turns, in milliseconds. */
interface Schedule {
    readonly stopped: number;
    readonly running: number;
}

const schedules: readonly Schedule[] = [
    { stopped: 440, running: 60 },
    { stopped: 900, running: 100 },
    { stopped: 1500, running: 300 },
];

/** Injects the faults until the time `end` of the run; resolves once all are over. */
export async function injectDepartureFaults(environment: SoakEnvironment, end: number): Promise<void> {
    const random = createSeededRandom(environment.seed * seedMultiplier);
    const ends: Promise<void>[] = [];
    while (environment.now() < end) {
        ends.push(starveBox(environment, random));
        await pause(milliseconds(minPause + random() * maxAddedPause));
    }
    await Promise.all(ends);
}

async function starveBox(environment: SoakEnvironment, random: RandomSource): Promise<void> {
    const { boxes, logEvent, now, storeConnectivity } = environment;
    const box = pickRandom(boxes, random);
    const { running, stopped } = pickRandom(schedules, random);
    const duration = minDuration + random() * maxAddedDuration;
    logEvent(`fault="${box.name} runs ${running} of ${running + stopped} ms" for=${Math.round(duration)}`);
    const endFault = storeConnectivity.beginFault(box.host);
    const end = now() + duration;
    while (now() < end) {
        box.signal("SIGSTOP");
        await pause(milliseconds(stopped));
        box.signal("SIGCONT");
        await pause(milliseconds(running));
    }
    endFault();
}

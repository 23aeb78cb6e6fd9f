/**
 * Faults of the answers of servers: copies of answers that come late, with or without a run, answers without a length,
 * bytes without end, statuses that guarantee without proof that a request has not run, and statuses that end none.
 * Several servers have them at once, beside the other faults.
 *
 * Draws from a separate random source, so that the other faults of a seed stay the same.
 */

import { createSeededRandom, milliseconds, type RandomSource } from "@chalkdale/kernel";
import { pause } from "../standins/deployment.js";
import { endlessAnswerKinds, endlessOddAnswerKinds } from "../standins/endless-bytes.js";
import type { ServerBehaviour } from "../standins/server-answers.js";
import { pickRandom } from "./fault-tools.js";
import type { SoakEnvironment } from "./soak-environment.js";

/** Spreads the runs' seeds: generators with consecutive seeds would begin with similar draws. */
const seedMultiplier = 611_953;
/** Duration of a fault and the maximum random addition, in milliseconds. */
const minDuration = 1500;
const maxAddedDuration = 3000;
/** Time between the beginnings of two faults and the maximum random addition: several servers have them at once. */
const minPause = 100;
const maxAddedPause = 300;
/** Fractions of its answers that a server spoils. */
const minShare = 0.1;
const maxAddedShare = 0.4;
/** Delay of a copy in milliseconds, and the maximum random addition; some come while a later request runs. */
const minCopyDelay = 1;
const maxAddedCopyDelay = 60;

/** Which faults of answers are injected. */
export type AnswerFaultSet = "answers" | "guarantees" | "statuses";

/** Injects the faults until the time `end` of the run; resolves with their number once all are over. */
export async function injectAnswerFaults(
    environment: SoakEnvironment,
    end: number,
    set: AnswerFaultSet,
): Promise<number> {
    const random = createSeededRandom(environment.seed * seedMultiplier);
    const ends: Promise<void>[] = [];
    while (environment.now() < end) {
        ends.push(spoilAnswers(environment, random, faultsOf(set)));
        await pause(milliseconds(minPause + random() * maxAddedPause));
    }
    await Promise.all(ends);
    return ends.length;
}

async function spoilAnswers(
    environment: SoakEnvironment,
    random: RandomSource,
    kinds: readonly DrawBehaviour[],
): Promise<void> {
    const { logEvent, servers } = environment;
    const { backend } = pickRandom(servers.filter(server => !server.isExcludedFromFaults), random);
    const fault = pickRandom(kinds, random);
    const share = minShare + random() * maxAddedShare;
    const duration = minDuration + random() * maxAddedDuration;
    logEvent(`fault="answers of ${backend.id}: ${fault(random).kind}" for=${Math.round(duration)}`);
    backend.setBehaviour(() => random() < share ? fault(random) : { kind: "serve" });
    await pause(milliseconds(duration));
    backend.setBehaviour(() => ({ kind: "serve" }));
}

type DrawBehaviour = (random: RandomSource) => ServerBehaviour;

const drawCopyDelay = (random: RandomSource) => minCopyDelay + random() * maxAddedCopyDelay;

const copiedRefusals: readonly DrawBehaviour[] = [
    random => ({ kind: "shed", includesLoad: true, copyAfterMs: drawCopyDelay(random) }),
    random => ({ kind: "shed", includesLoad: true, copyAfterMs: drawCopyDelay(random) }),
    random => ({ kind: "shed", copyAfterMs: drawCopyDelay(random) }),
    random => ({ kind: "shed", status: 429, includesLoad: true, copyAfterMs: drawCopyDelay(random) }),
    random => ({ kind: "shed", status: 421, copyAfterMs: drawCopyDelay(random) }),
];

const otherFaults: readonly DrawBehaviour[] = [
    random => ({ kind: "extra", afterMs: drawCopyDelay(random) }),
    () => ({ kind: "unframed" }),
    random => ({ kind: "endless", bytes: pickRandom(endlessAnswerKinds, random) }),
];

/** The server runs the request and answers with a status that guarantees the opposite, without Not-Run. */
const unprovenGuarantees: readonly DrawBehaviour[] = [
    random => ({ kind: "fail", status: pickRandom(guaranteeStatuses, random) }),
    random => ({ kind: "fail", status: pickRandom([429, 503], random), retryAfter: "1" }),
];

const guaranteeStatuses = [408, 421, 429, 503];

/** Answers that are none: with odd statuses, behind changes of protocol, or no HTTP at all. */
const oddAnswers: readonly DrawBehaviour[] = [
    random => ({ kind: "oddStatus", status: pickRandom(oddStatuses, random) }),
    random => ({ kind: "oddStatus", status: pickRandom(oddStatuses, random) }),
    random => ({ kind: "endless", bytes: pickRandom(endlessOddAnswerKinds, random) }),
    () => ({ kind: "garbage" }),
];

const oddStatuses = ["000", "001", "099", "100", "101", "103", "150", "199", "600", "999"];

function faultsOf(set: AnswerFaultSet): readonly DrawBehaviour[] {
    switch (set) {
        case "answers":
            return [...copiedRefusals, ...otherFaults];
        case "guarantees":
            return [...copiedRefusals, ...otherFaults, ...unprovenGuarantees, ...unprovenGuarantees];
        case "statuses":
            return [...copiedRefusals, ...otherFaults, ...oddAnswers, ...oddAnswers];
    }
}

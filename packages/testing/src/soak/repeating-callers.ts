/**
 * Callers that send a request which must not run twice again with the same id after a refusal, at the same box or at
 * another one. What counts is their last answer: a refusal must then be true, and the request has run once at most.
 */

import { createSeededRandom, milliseconds } from "@chalkdale/kernel";
import { Agent } from "node:http";
import { sendRequest } from "../standins/client.js";
import { pause } from "../standins/deployment.js";
import type { ObservedAttempt } from "./observations.js";
import { customerNames } from "./soak-customers.js";
import { type SoakEnvironment, soakHost } from "./soak-environment.js";

/** Running callers. */
export interface RepeatingCallers {
    readonly attempts: readonly ObservedAttempt[];
    /** Sends no further requests; resolves once every caller has its last answer. */
    readonly stop: () => Promise<void>;
}

/** Spreads the runs' seeds: generators with consecutive seeds would begin with similar draws. */
const seedMultiplier = 752_287;
const callerCount = 8;
/** Sends of one id at most. */
const maxSends = 4;
/** Fraction of the repeats that go to the box of the send before. */
const sameBoxShare = 0.6;
/** Statuses by which a box promises that the request did not run. */
const notRunStatuses = new Set([408, 421, 429, 503]);
/** Deadline of a request in milliseconds. */
const deadline = 2000;
/** Maximum wait before a repeat, in milliseconds; copies of answers come in this time. */
const maxRepeatWait = 40;
/** Customer without a quota, so that these callers use up none. */
const [customer] = customerNames;

/** Starts the callers. */
export function startRepeatingCallers(environment: SoakEnvironment): RepeatingCallers {
    const { boxes, now, seed } = environment;
    const attempts: ObservedAttempt[] = [];
    let isStopped = false;
    const callers = Array.from({ length: callerCount }, (_, index) => runCaller(index));

    return {
        attempts,
        async stop() {
            isStopped = true;
            await Promise.all(callers);
        },
    };

    async function runCaller(index: number): Promise<void> {
        const random = createSeededRandom(seed * seedMultiplier + index);
        const agent = new Agent({ keepAlive: true });
        for (let count = 0; !isStopped; count++) {
            attempts.push(await sendUntilServed(`repeat-${index}-${count}`, agent, random));
            await pause(milliseconds(20 + random() * 40));
        }
        agent.destroy();
    }

    async function sendUntilServed(requestId: string, agent: Agent, random: () => number): Promise<ObservedAttempt> {
        const at = now();
        const held = environment.customers.callerKeyOf(customer);
        let box = boxes[Math.floor(random() * boxes.length)];
        for (let sends = 1;; sends++) {
            const answer = await sendRequest({
                address: box.callerAddress,
                host: soakHost,
                path: "/save/",
                method: "POST",
                body: "work",
                requestId,
                affinityKey: requestId,
                credential: held.key,
                deadlineMs: deadline,
                agent,
            });
            if (!notRunStatuses.has(answer.status) || sends === maxSends || isStopped) {
                return { requestId, idempotent: false, at, box: box.name, answer, held };
            }
            await pause(milliseconds(random() * maxRepeatWait));
            box = random() < sameBoxShare ? box : boxes[Math.floor(random() * boxes.length)];
        }
    }
}

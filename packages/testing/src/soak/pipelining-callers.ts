/**
 * Callers that pipeline requests: they send several reads over one connection without
 * waiting for answers, and record the outcome of each.
 */

import { createSeededRandom, milliseconds, type RandomSource } from "@chalkdale/kernel";
import { lookUp } from "../standins/client.js";
import { pause } from "../standins/deployment.js";
import { openPipeline, type PipelinedOutcome, type PipeliningConnection } from "../standins/pipelining-client.js";
import type { Callers } from "./callers.js";
import type { ObservedAttempt, ObservedDeparture, UnsolicitedBytes } from "./observations.js";
import { customerNames } from "./soak-customers.js";
import { type SoakEnvironment, soakHost } from "./soak-environment.js";

/** Running pipelining callers. */
export interface PipeliningCallers extends Callers {
    /** Bytes that boxes sent while no request waited for an answer. */
    readonly unsolicitedBytes: readonly UnsolicitedBytes[];
    /** Requests whose callers have left without an answer. */
    readonly departures: readonly ObservedDeparture[];
}

export interface PipeliningCallersOptions {
    readonly count: number;
    readonly seed: number;
    /** Fraction of the rounds in which the caller disconnects while requests are in progress, from 0 to 1. */
    readonly disconnectShare: number;
}

const paths = ["/lookup/", "/pack/"];
/** Number of different affinity keys. */
const keyCount = 17;
/** Deadline of a request in milliseconds. */
const deadline = 2000;
/** Maximum number of requests that are sent together, and of such rounds on a connection. */
const maxBatchSize = 6;
const maxRounds = 12;
/**
 * Minimum time between two rounds and the maximum random addition, in milliseconds: long enough for all callers to
 * stay within their customers' quotas.
 */
const minPause = 40;
const maxAddedPause = 40;
/** Milliseconds after which a caller that disconnects early does so. */
const disconnectAfter = 30;

/** Starts the callers; they wait for boxes that are still starting. */
export function startPipeliningCallers(
    environment: SoakEnvironment,
    options: PipeliningCallersOptions,
): PipeliningCallers {
    const { now } = environment;
    const attempts: ObservedAttempt[] = [];
    const departures: ObservedDeparture[] = [];
    const unsolicitedBytes: UnsolicitedBytes[] = [];
    let isStopped = false;

    const callers = Array.from({ length: options.count }, (_, index) => runCaller(index));
    return {
        attempts,
        departures,
        unsolicitedBytes,
        async stop() {
            isStopped = true;
            await Promise.all(callers);
        },
    };

    async function runCaller(index: number): Promise<void> {
        const random = createSeededRandom(options.seed * options.count + index);
        let sent = 0;
        while (!isStopped) {
            const box = await chooseBox(random);
            if (box !== undefined) {
                await useConnection(box);
            }
            await pauseBetweenRounds();
        }

        function pauseBetweenRounds(): Promise<void> {
            return pause(milliseconds(minPause + random() * maxAddedPause));
        }

        async function useConnection(box: string): Promise<void> {
            const connection = openPipeline(box);
            for (let round = 0; round < maxRounds && connection.isOpen() && !isStopped; round++) {
                await sendBatch(connection, box);
                await pauseBetweenRounds();
            }
            connection.leave("close");
            await connection.ended;
            if (connection.unsolicitedBytes() !== "") {
                unsolicitedBytes.push({ at: now(), box, bytes: connection.unsolicitedBytes() });
            }
        }

        async function sendBatch(connection: PipeliningConnection, box: string): Promise<void> {
            const held = environment.customers.callerKeyOf(customerNames[index % customerNames.length]);
            const requestIds = Array.from(
                { length: 1 + Math.floor(random() * maxBatchSize) },
                () => `pipe${index}-${sent++}`,
            );
            const at = now();
            const outcomes = connection.send(requestIds.map(requestId => ({
                host: soakHost,
                path: paths[Math.floor(random() * paths.length)],
                requestId,
                headers: {
                    "Affinity-Key": `k${Math.floor(random() * keyCount)}`,
                    "Credential": held.key,
                    "Tenant": "forged",
                    "Deadline-Ms": String(deadline),
                },
            })));
            if (random() < options.disconnectShare) {
                await pause(milliseconds(disconnectAfter));
                const leftAt = now();
                connection.leave(random() < 0.5 ? "close" : "reset");
                const ended = await Promise.all(outcomes);
                const unanswered = requestIds.filter((_, position) => ended[position].kind !== "answered");
                departures.push(...unanswered.map(requestId => ({ requestId, at: leftAt })));
                return;
            }
            await Promise.all(outcomes.map(async (outcome, position) => {
                attempts.push({
                    requestId: requestIds[position],
                    idempotent: true,
                    at,
                    box,
                    held,
                    ...describeOutcome(await outcome),
                });
            }));
        }
    }

    function describeOutcome(outcome: PipelinedOutcome): Pick<ObservedAttempt, "answer" | "unanswered"> {
        return outcome.kind === "answered"
            ? { answer: outcome.answer }
            : { answer: { status: 0, headers: {}, body: "" }, unanswered: { kind: outcome.kind, at: now() } };
    }

    async function chooseBox(random: RandomSource): Promise<string | undefined> {
        const { directoryAddress } = environment.boxes[Math.floor(random() * environment.boxes.length)];
        const { addresses } = await lookUp(directoryAddress, { name: soakHost, region: "north", zone: "north-a" });
        return addresses[Math.floor(random() * addresses.length)];
    }
}

/**
 * Callers that send several reads over one connection before the first one has
 * its answer, and note what became of each.
 */

import { createSeededRandom, milliseconds, type RandomSource } from "@chalkdale/kernel";
import { lookUp } from "../standins/client.js";
import { pause } from "../standins/deployment.js";
import { openPipeline, type PipelinedOutcome, type PipeliningConnection } from "../standins/pipelining-client.js";
import type { Callers } from "./callers.js";
import type { ObservedAttempt, UnsolicitedBytes } from "./observations.js";
import { customerNames } from "./soak-customers.js";
import { type SoakEnvironment, soakHost } from "./soak-environment.js";

/** Pipelining callers that run. */
export interface PipeliningCallers extends Callers {
    /** What came while no request waited for an answer. */
    readonly unsolicitedBytes: readonly UnsolicitedBytes[];
}

export interface PipeliningCallersOptions {
    readonly count: number;
    readonly seed: number;
    /** Part of the connections whose caller leaves while requests are in progress, from 0 to 1. */
    readonly disconnectShare: number;
}

const paths = ["/lookup/", "/pack/"];
const keys = 17;
const deadline = 2000;
/** Requests that are sent together at most, and times that a connection is used at most. */
const mostTogether = 6;
const mostRounds = 12;
/** Milliseconds between two rounds at least, and what chance adds at most: all callers stay within their customers' quotas. */
const shortestRest = 40;
const longestAddition = 40;
/** Milliseconds after which a caller leaves. */
const leavesAfter = 30;

/** Starts the callers; boxes may still be starting. */
export function startPipeliningCallers(world: SoakEnvironment, options: PipeliningCallersOptions): PipeliningCallers {
    const { now } = world;
    const attempts: ObservedAttempt[] = [];
    const surplus: UnsolicitedBytes[] = [];
    let isOver = false;

    const callers = Array.from({ length: options.count }, (_, index) => runCaller(index));
    return {
        attempts,
        unsolicitedBytes: surplus,
        async stop() {
            isOver = true;
            await Promise.all(callers);
        },
    };

    async function runCaller(index: number): Promise<void> {
        const random = createSeededRandom(options.seed * options.count + index);
        let sent = 0;
        while (!isOver) {
            const box = await chooseBox(random);
            if (box !== undefined) {
                await useConnection(box);
            }
            await rest();
        }

        function rest(): Promise<void> {
            return pause(milliseconds(shortestRest + random() * longestAddition));
        }

        async function useConnection(box: string): Promise<void> {
            const connection = openPipeline(box);
            for (let round = 0; round < mostRounds && connection.isOpen() && !isOver; round++) {
                await askTogether(connection, box);
                await rest();
            }
            connection.leave("close");
            await connection.ended;
            if (connection.unsolicitedBytes() !== "") {
                surplus.push({ at: now(), box, bytes: connection.unsolicitedBytes() });
            }
        }

        async function askTogether(connection: PipeliningConnection, box: string): Promise<void> {
            const held = world.customers.callerKeyOf(customerNames[index % customerNames.length]);
            const ids = Array.from({ length: 1 + Math.floor(random() * mostTogether) }, () => `pipe${index}-${sent++}`);
            const at = now();
            const outcomes = connection.send(ids.map(requestId => ({
                host: soakHost,
                path: paths[Math.floor(random() * paths.length)],
                requestId,
                headers: {
                    "Affinity-Key": `k${Math.floor(random() * keys)}`,
                    "Credential": held.key,
                    "Tenant": "forged",
                    "Deadline-Ms": String(deadline),
                },
            })));
            if (random() < options.disconnectShare) {
                await pause(milliseconds(leavesAfter));
                connection.leave(random() < 0.5 ? "close" : "reset");
                await Promise.all(outcomes);
                return;
            }
            await Promise.all(outcomes.map(async (outcome, place) => {
                attempts.push({ requestId: ids[place], idempotent: true, at, box, held, ...observe(await outcome) });
            }));
        }
    }

    function observe(outcome: PipelinedOutcome): Pick<ObservedAttempt, "answer" | "unanswered"> {
        return outcome.kind === "answered"
            ? { answer: outcome.answer }
            : { answer: { status: 0, headers: {}, body: "" }, unanswered: { kind: outcome.kind, at: now() } };
    }

    async function chooseBox(random: RandomSource): Promise<string | undefined> {
        const { directoryAddress: directory } = world.boxes[Math.floor(random() * world.boxes.length)];
        const { addresses } = await lookUp(directory, { name: soakHost, region: "north", zone: "north-a" });
        return addresses[Math.floor(random() * addresses.length)];
    }
}

/**
 * Callers that often close their connections before they have their answers: each keeps to one box, and sends reads,
 * uploads and pipelined requests on new and open connections.
 */

import { createSeededRandom, milliseconds, type RandomSource } from "@chalkdale/kernel";
import { pause } from "../standins/deployment.js";
import { openPipeline, type PipelinedRequest, type PipeliningConnection } from "../standins/pipelining-client.js";
import type { BoxProcess } from "./box-process.js";
import type { ObservedDeparture } from "./observations.js";
import { customerNames } from "./soak-customers.js";
import { type SoakEnvironment, soakHost } from "./soak-environment.js";

/** Running callers. */
export interface DepartingCallers {
    /** Requests whose callers have left without an answer. */
    readonly departures: readonly ObservedDeparture[];
    /** When each request was sent. */
    readonly requestTimes: readonly number[];
    /** Sends no further requests; resolves once every caller has ended. */
    readonly stop: () => Promise<void>;
}

/** Spreads the runs' seeds: generators with consecutive seeds would begin with similar draws. */
const seedMultiplier = 224_737;
const callersPerBox = 2;
/** Customer without a quota, so that these callers use up none. */
const [customer] = customerNames;
const maxPipelined = 6;
const uploadSize = 30_000;
/** Fractions of the rounds that are uploads, and after which the caller leaves early. */
const uploadFraction = 0.2;
const leaveFraction = 0.6;
/** Patience of a caller and the maximum random addition, in milliseconds. */
const minPatience = 30;
const maxAddedPatience = 400;
/** Patience of a caller that does not leave early, in milliseconds. */
const longPatience = 4000;
/** Time between two rounds and the maximum random addition, in milliseconds. */
const minPause = 60;
const maxAddedPause = 120;

/** Starts the callers of all boxes. */
export function startDepartingCallers(environment: SoakEnvironment): DepartingCallers {
    const { now } = environment;
    const departures: ObservedDeparture[] = [];
    const requestTimes: number[] = [];
    let isStopped = false;
    const callers = environment.boxes.flatMap((box, boxIndex) =>
        Array.from({ length: callersPerBox }, (_, index) => runCaller(box, boxIndex * callersPerBox + index))
    );
    return {
        departures,
        requestTimes,
        async stop() {
            isStopped = true;
            await Promise.all(callers);
        },
    };

    async function runCaller(box: BoxProcess, index: number): Promise<void> {
        const random = createSeededRandom(environment.seed * seedMultiplier + index);
        let connection = openPipeline(box.callerAddress);
        let sent = 0;
        while (!isStopped) {
            if (!connection.isOpen()) {
                connection = openPipeline(box.callerAddress);
            }
            const requests = drawRequests(random, () => `leave-${index}-${sent++}`);
            await sendRound(connection, requests, random);
            await pause(milliseconds(minPause + random() * maxAddedPause));
        }
        connection.leave("close");
    }

    async function sendRound(
        connection: PipeliningConnection,
        requests: readonly PipelinedRequest[],
        random: RandomSource,
    ): Promise<void> {
        const patience = random() < leaveFraction ? minPatience + random() * maxAddedPatience : longPatience;
        const leaveBy = random() < 0.5 ? "close" : "reset";
        const unanswered = new Set(requests.map(({ requestId }) => requestId));
        requestTimes.push(...requests.map(() => now()));
        const outcomes = connection.send(requests).map(async (outcome, index) => {
            await outcome;
            unanswered.delete(requests[index].requestId);
        });
        await Promise.race([Promise.all(outcomes), pause(milliseconds(patience))]);
        if (unanswered.size > 0) {
            const at = now();
            departures.push(...[...unanswered].map(requestId => ({ requestId, at })));
            connection.leave(leaveBy);
        }
    }

    function drawRequests(random: RandomSource, nextId: () => string): readonly PipelinedRequest[] {
        const { key } = environment.customers.callerKeyOf(customer);
        const headers = () => ({
            "Affinity-Key": `d${Math.floor(random() * 40)}`,
            "Credential": key,
            "Deadline-Ms": String(longPatience),
        });
        if (random() < uploadFraction) {
            const body = "x".repeat(uploadSize);
            return [{
                host: soakHost,
                path: "/photos/",
                method: "POST",
                body,
                requestId: nextId(),
                headers: headers(),
            }];
        }
        const count = 1 + Math.floor(random() * maxPipelined);
        return Array.from(
            { length: count },
            () => ({ host: soakHost, path: "/lookup/", requestId: nextId(), headers: headers() }),
        );
    }
}

/**
 * Callers at a steady rate that does not fall when requests are refused: each keeps to one box, and to its connection
 * until the box's process is gone.
 */

import { createSeededRandom, milliseconds } from "@chalkdale/kernel";
import { Agent } from "node:http";
import { sendRequest } from "../standins/client.js";
import { pause } from "../standins/deployment.js";
import type { BoxProcess } from "./box-process.js";
import { customerNames } from "./soak-customers.js";
import { type SoakEnvironment, soakHost } from "./soak-environment.js";

/** Running callers. */
export interface SteadyCallers {
    /** When each request was sent. */
    readonly requestTimes: readonly number[];
    /** Sends no further requests. */
    readonly stop: () => Promise<void>;
}

/** Spreads the runs' seeds: generators with consecutive seeds would begin with similar draws. */
const seedMultiplier = 130_363;
/** Requests a second of all callers together: each of a service's four servers gets twice what it bears while cold. */
const totalRate = 110;
/** Customer without a quota, so that these callers use up none. */
const [customer] = customerNames;
const keyCount = 60;
/** Deadline of a request in milliseconds. */
const deadline = 2000;

/** Starts a caller for each box. */
export function startSteadyCallers(environment: SoakEnvironment): SteadyCallers {
    const requestTimes: number[] = [];
    const interval = 1000 * environment.boxes.length / totalRate;
    let isStopped = false;
    const callers = environment.boxes.map(runCaller);

    return {
        requestTimes,
        async stop() {
            isStopped = true;
            await Promise.all(callers);
        },
    };

    async function runCaller(box: BoxProcess, index: number): Promise<void> {
        const random = createSeededRandom(environment.seed * seedMultiplier + index);
        const agent = new Agent({ keepAlive: true });
        for (let count = 0; !isStopped; count++) {
            requestTimes.push(environment.now());
            void sendRequest({
                address: box.callerAddress,
                host: soakHost,
                path: "/lookup/",
                method: "GET",
                requestId: `steady-${index}-${count}`,
                affinityKey: `s${Math.floor(random() * keyCount)}`,
                credential: environment.customers.callerKeyOf(customer).key,
                deadlineMs: deadline,
                agent,
            });
            await pause(milliseconds(2 * random() * interval));
        }
        agent.destroy();
    }
}

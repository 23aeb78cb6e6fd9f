/**
 * Callers that each keep to one box, so that its share of served requests can be compared with that of others.
 */

import { milliseconds } from "@chalkdale/kernel";
import { platformProtocol } from "@chalkdale/users-platform";
import { Agent } from "node:http";
import { sendRequest } from "../standins/client.js";
import { pause } from "../standins/deployment.js";
import type { BoxProcess } from "./box-process.js";
import type { Callers } from "./callers.js";
import type { ObservedAttempt } from "./observations.js";
import { customerNames } from "./soak-customers.js";
import { type SoakEnvironment, soakHost } from "./soak-environment.js";

/** Every request whose number is a multiple of this is a write. */
const writeEvery = 4;
/** Minimum milliseconds between an answer and the next request. */
const minRequestPause = 60;
/** The same for each box of the run: together the callers stay within their customers' quotas. */
const requestPausePerBox = 12;
/** Number of different affinity keys. */
const keyCount = 23;
/** Deadline of a request in milliseconds. */
const deadline = 2000;
/** Milliseconds after which a caller gives up. */
const giveUpAfter = 4000;
/** Milliseconds for a box to state that it is ready. */
const readinessTimeout = 500;

/** Starts a caller for each box. */
export function startPartitionCallers(environment: SoakEnvironment): Pick<Callers, "attempts" | "stop"> {
    const { now } = environment;
    const attempts: ObservedAttempt[] = [];
    let isStopped = false;
    const requestPause = milliseconds(
        Math.max(minRequestPause, environment.boxes.length * requestPausePerBox),
    );
    const callers = environment.boxes.map(runCaller);

    return {
        attempts,
        async stop() {
            isStopped = true;
            await Promise.all(callers);
        },
    };

    async function runCaller(box: BoxProcess, index: number): Promise<void> {
        const agent = new Agent({ keepAlive: true });
        let readySince: number | undefined;
        for (let count = 0; !isStopped; count++) {
            const idempotent = count % writeEvery !== 0;
            const held = environment.customers.callerKeyOf(customerNames[index % customerNames.length]);
            const requestId = `part-${index}-${count}`;
            readySince = await isReady(box) ? readySince ?? now() : undefined;
            const at = now();
            const answer = await sendRequest({
                address: box.callerAddress,
                host: soakHost,
                path: idempotent ? "/lookup/" : "/save/",
                method: idempotent ? "GET" : "POST",
                body: idempotent ? undefined : "work",
                requestId,
                affinityKey: `k${count % keyCount}`,
                credential: held.key,
                deadlineMs: deadline,
                disconnectAfterMs: giveUpAfter,
                agent,
            });
            attempts.push({ requestId, idempotent, at, box: box.callerAddress, answer, held, readySince });
            await pause(requestPause);
        }
        agent.destroy();
    }
}

async function isReady({ readinessAddress }: BoxProcess): Promise<boolean> {
    const { status } = await sendRequest({
        address: readinessAddress,
        host: soakHost,
        path: platformProtocol.readinessPath,
        requestId: "readiness",
        disconnectAfterMs: readinessTimeout,
    });
    return status === 200;
}

/**
 * Callers that send requests one after the other: each looks up a box, goes
 * through all routes in turn, and records every answer.
 */

import { milliseconds } from "@chalkdale/kernel";
import { type Client, createClient } from "../standins/client.js";
import { pause } from "../standins/deployment.js";
import type { ObservedAttempt, ObservedDeparture } from "./observations.js";
import { customerNames } from "./soak-customers.js";
import { type SoakEnvironment, soakHost, soakRequests } from "./soak-environment.js";

/** Running callers. */
export interface Callers {
    /** Finished attempts so far. */
    readonly attempts: readonly ObservedAttempt[];
    /** Requests whose callers have left without an answer. */
    readonly departures: readonly ObservedDeparture[];
    /** Sends no further requests; resolves once every caller has its last answer. */
    readonly stop: () => Promise<void>;
}

export interface CallersOptions {
    readonly count: number;
    /** Prefix of the callers' names; it makes request ids of different runs differ. */
    readonly prefix: string;
    /** Fraction of the requests whose caller disconnects long before the answer, from 0 to 1. */
    readonly disconnectShare: number;
}

/** Maximum wait in milliseconds until a box serves. */
const maxStartWait = 20_000;
/** Deadline of a request in milliseconds. */
const deadline = 2000;
/** Number of different affinity keys. */
const keyCount = 17;
/** Milliseconds after which a caller disconnects: one that gives up early, and any other. */
const earlyDisconnect = 60;
const lateDisconnect = 4000;

/** Waits until a box serves, then starts the callers. Rejects if none does within `maxStartWait`. */
export async function startCallers(environment: SoakEnvironment, options: CallersOptions): Promise<Callers> {
    const { now, random } = environment;
    const attempts: ObservedAttempt[] = [];
    const departures: ObservedDeparture[] = [];
    let isStopped = false;

    await waitUntilServed();
    const callers = Array.from({ length: options.count }, (_, index) => runCaller(index));
    return {
        attempts,
        departures,
        async stop() {
            isStopped = true;
            await Promise.all(callers);
        },
    };

    async function waitUntilServed(): Promise<void> {
        const client = createCaller("wait", true);
        const end = now() + maxStartWait;
        while (now() < end) {
            const credential = environment.customers.callerKeyOf(customerNames[0]).key;
            const answer = await client.call({ host: soakHost, path: "/lookup/", credential }, { idempotent: true });
            if (answer.status === 200) {
                client.close();
                return;
            }
            await pause(milliseconds(100));
        }
        throw new Error(`no box served a request within ${maxStartWait} ms`);
    }

    function createCaller(name: string, pooled: boolean): Client {
        const directories = environment.boxes.map(box => box.directoryAddress);
        const offset = Math.floor(random() * directories.length);
        return createClient({
            directories: [...directories.slice(offset), ...directories.slice(0, offset)],
            region: "north",
            zone: "north-a",
            pooled,
            random,
            name: `${options.prefix}-${name}`,
            retries: 0,
        });
    }

    async function runCaller(index: number): Promise<void> {
        const client = createCaller(`c${index}`, index % 2 === 0);
        for (let count = 0; !isStopped; count++) {
            const { body, path } = soakRequests[count % soakRequests.length];
            const idempotent = body === undefined;
            const before = client.attempts();
            const at = now();
            const held = environment.customers.callerKeyOf(customerNames[index % customerNames.length]);
            const answer = await client.call({
                host: soakHost,
                path,
                method: idempotent ? "GET" : "POST",
                body,
                affinityKey: `k${count % keyCount}`,
                credential: held.key,
                extraHeaders: { Tenant: "forged" },
                deadlineMs: deadline,
                disconnectAfterMs: random() < options.disconnectShare ? earlyDisconnect : lateDisconnect,
            }, { idempotent });
            if (client.attempts() > before) {
                const requestId = `${options.prefix}-c${index}-${client.attempts()}`;
                attempts.push({ requestId, idempotent, at, box: "a box", answer, held });
                if (answer.hasLeft === true) {
                    departures.push({ requestId, at: now() });
                }
            }
            await pause(milliseconds(10 + random() * 20));
        }
        client.close();
    }
}

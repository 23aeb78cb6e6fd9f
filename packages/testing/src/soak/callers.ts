/**
 * Callers without pause: each looks up, sends one request after the other on
 * every route, and notes what it got.
 */

import { milliseconds } from "@chalkdale/kernel";
import { type Client, createClient } from "../standins/client.js";
import { pause } from "../standins/deployment.js";
import type { ObservedAttempt } from "./observations.js";
import { customerNames } from "./soak-customers.js";
import { type SoakEnvironment, soakHost, soakRequests } from "./soak-environment.js";

/** Callers that run. */
export interface Callers {
    /** All attempts so far. */
    readonly attempts: readonly ObservedAttempt[];
    /** Resolves once every caller has its last answer. */
    readonly stop: () => Promise<void>;
}

export interface CallersOptions {
    readonly count: number;
    /** Prefix of the callers' names, so that request ids of different runs differ. */
    readonly prefix: string;
    /** Part of the requests whose caller leaves long before the answer, from 0 to 1. */
    readonly disconnectShare: number;
}

const longestFirstWait = 20_000;
const deadline = 2000;
const keys = 17;
/** Milliseconds after which a caller leaves: one that leaves early, and one that does not. */
const earlyLeave = 60;
const lateLeave = 4000;

/** Waits until some box serves, then starts the callers. Rejects when no box does. */
export async function startCallers(world: SoakEnvironment, options: CallersOptions): Promise<Callers> {
    const { now, random } = world;
    const attempts: ObservedAttempt[] = [];
    let isOver = false;

    await waitUntilServed();
    const callers = Array.from({ length: options.count }, (_, index) => runCaller(index));
    return {
        attempts,
        async stop() {
            isOver = true;
            await Promise.all(callers);
        },
    };

    async function waitUntilServed(): Promise<void> {
        const client = createCaller("wait", true);
        const end = now() + longestFirstWait;
        while (now() < end) {
            const credential = world.customers.callerKeyOf(customerNames[0]).key;
            const answer = await client.call({ host: soakHost, path: "/lookup/", credential }, { idempotent: true });
            if (answer.status === 200) {
                client.close();
                return;
            }
            await pause(milliseconds(100));
        }
        throw new Error(`no box served within ${longestFirstWait} ms`);
    }

    function createCaller(name: string, pooled: boolean): Client {
        const directories = world.boxes.map(box => box.directoryAddress);
        const shift = Math.floor(random() * directories.length);
        return createClient({
            directories: [...directories.slice(shift), ...directories.slice(0, shift)],
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
        for (let count = 0; !isOver; count++) {
            const { body, path } = soakRequests[count % soakRequests.length];
            const idempotent = body === undefined;
            const before = client.attempts();
            const at = now();
            const held = world.customers.callerKeyOf(customerNames[index % customerNames.length]);
            const answer = await client.call({
                host: soakHost,
                path,
                method: idempotent ? "GET" : "POST",
                body,
                affinityKey: `k${count % keys}`,
                credential: held.key,
                extraHeaders: { Tenant: "forged" },
                deadlineMs: deadline,
                disconnectAfterMs: random() < options.disconnectShare ? earlyLeave : lateLeave,
            }, { idempotent });
            if (client.attempts() > before) {
                const requestId = `${options.prefix}-c${index}-${client.attempts()}`;
                attempts.push({ requestId, idempotent, at, box: "a box", answer, held });
            }
            await pause(milliseconds(10 + random() * 20));
        }
        client.close();
    }
}

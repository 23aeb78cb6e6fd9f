/**
 * One run of the fault soak: boxes as processes of their own, a store and
 * servers behind harmful links, callers without pause, and faults drawn from a
 * seed. All waiting is real time; the verdict rests on promises with wide bounds.
 */

import { createSeededRandom, milliseconds } from "@chalkdale/core";
import { type Client, createClient } from "../users-platform/client.js";
import { pause } from "../users-platform/deployment.js";
import { type Breach, findBreaches, type ObservedAttempt } from "./checks.js";
import { injectFaults } from "./faults.js";
import { createSoakWorld, host, servicesByPath } from "./soak-world.js";

export interface SoakOptions {
    readonly seed: number;
    /** Time with faults, in milliseconds. */
    readonly length: number;
    readonly boxes?: number;
    readonly callers?: number;
    /** Told of each fault and breach. */
    readonly onEvent?: (line: string) => void;
}

/** What came of a run. */
export interface SoakResult {
    readonly seed: number;
    readonly attempts: number;
    readonly served: number;
    readonly faults: number;
    readonly breaches: readonly Breach[];
    /** Where the logs of the boxes lie. */
    readonly folder: string;
}

const recoverWithin = 9000;
const observedAfterRecovery = 2500;
const defaultBoxes = 5;
const defaultCallers = 6;

/** Plays one run. */
export async function runSoak(options: SoakOptions): Promise<SoakResult> {
    const random = createSeededRandom(options.seed);
    const { boxes = defaultBoxes, onEvent, seed } = options;
    const world = await createSoakWorld({ seed, random, boxes, onEvent });
    const { now, say } = world;
    const attempts: ObservedAttempt[] = [];
    let isOver = false;

    await waitUntilServed();
    const callers = Array.from({ length: options.callers ?? defaultCallers }, (_, index) => runCaller(index));
    const { count: faults, drained, evacuated } = await injectFaults(world, options.length);
    const recoveredFrom = now() + recoverWithin;
    await pause(milliseconds(recoverWithin + observedAfterRecovery));
    isOver = true;
    await Promise.all(callers);
    await world.stopAll();

    const { destinations, folder, runs } = world;
    const breaches = findBreaches({ attempts, runs, drained, evacuated, destinations, recoveredFrom });
    breaches.forEach(breach => say(`breach="${breach.promise}" at=${Math.round(breach.at)} ${breach.detail}`));
    const served = attempts.filter(attempt => attempt.answer.status === 200).length;
    return { seed, attempts: attempts.length, served, faults, breaches, folder };

    async function waitUntilServed(): Promise<void> {
        const client = createCaller("wait", true);
        const end = now() + 20_000;
        while (now() < end) {
            const answer = await client.call({ host, path: "/lookup/" }, { repeatable: true });
            if (answer.status === 200) {
                client.close();
                return;
            }
            await pause(milliseconds(100));
        }
        throw new Error("no box served within 20 s");
    }

    function createCaller(name: string, pooled: boolean): Client {
        const directories = world.boxes.map(box => box.directory);
        const shift = Math.floor(random() * directories.length);
        return createClient({
            directories: [...directories.slice(shift), ...directories.slice(0, shift)],
            region: "north",
            zone: "north-a",
            pooled,
            random,
            name: `s${options.seed}-${name}`,
            retries: 0,
        });
    }

    async function runCaller(index: number): Promise<void> {
        const client = createCaller(`c${index}`, index % 2 === 0);
        const paths = Object.keys(servicesByPath);
        for (let count = 0; !isOver; count++) {
            const path = paths[count % paths.length];
            const repeatable = path !== "/save/";
            const before = client.attempts();
            const at = now();
            const answer = await client.call({
                host,
                path,
                method: repeatable ? "GET" : "POST",
                body: repeatable ? undefined : "work",
                affinityKey: `k${count % 17}`,
                deadlineMs: 2000,
                leaveAfterMs: random() < 0.05 ? 60 : 4000,
            }, { repeatable });
            if (client.attempts() > before) {
                const requestId = `s${options.seed}-c${index}-${client.attempts()}`;
                attempts.push({ requestId, repeatable, at, box: "a box", answer });
            }
            await pause(milliseconds(10 + random() * 20));
        }
        client.close();
    }
}

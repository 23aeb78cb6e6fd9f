/**
 * The demo: a whole deployment on the loopback interface, with callers.
 *
 * Stand-ins for the platform's store and for eight backend servers run in this process, and six boxes in processes
 * of their own. While callers send requests of every kind, a backend server is drained, an availability zone is
 * closed and opened again, and a box is shut down while it transfers a download.
 */

import { createSeededRandom, milliseconds } from "@chalkdale/kernel";
import { startCallers } from "../soak/callers.js";
import { findBreaches } from "../soak/checks.js";
import type { Interval } from "../soak/observations.js";
import { inForceWithin } from "../soak/soak-bounds.js";
import { customerNames } from "../soak/soak-customers.js";
import { type SoakEnvironment, soakHost, startSoakEnvironment } from "../soak/soak-environment.js";
import { sendRequest } from "../standins/client.js";
import { pause, waitUntil } from "../standins/deployment.js";

const seed = 1;
/** Number of boxes in the demo. */
export const boxCount = 6;
/** Number of callers in the demo. */
export const callerCount = 6;
/** Milliseconds for which requests are observed: before the first change, and after each change must be in force. */
const observationTime = milliseconds(2000);
/** Fraction of the requests that may be refused: some callers still know a box that shuts down. */
const maxRefusedFraction = 0.01;
/** Processing time in milliseconds of the download: longer than a box that shuts down still admits requests. */
const longDownloadWork = 900;
/** The availability zone that is closed. */
const zone = "north-b";

/** Result of one check. */
export interface DemoCheck {
    readonly passed: boolean;
    /** What is checked. */
    readonly text: string;
    /** Observations that contradict it, one line each; empty if the check passed or has none to show. */
    readonly details: readonly string[];
}

/** Called with each check as soon as it is made. */
export type OnDemoCheck = (check: DemoCheck) => void;

/** Runs the demo; resolves once all boxes, servers and callers are stopped. */
export async function runDemo(onCheck: OnDemoCheck): Promise<void> {
    const random = createSeededRandom(seed);
    const world = await startSoakEnvironment({ seed, random, boxes: boxCount, mostServers: 24, onEvent: undefined });
    try {
        await runScenario(world, onCheck);
    }
    finally {
        await world.stopAll();
    }
}

async function runScenario(world: SoakEnvironment, onCheck: OnDemoCheck): Promise<void> {
    const check = (passed: boolean, text: string, details: readonly string[] = []) =>
        onCheck({ passed, text, details: passed ? [] : details });
    const callers = await startCallers(world, { count: callerCount, prefix: "demo", disconnectShare: 0 });
    await pause(observationTime);

    const drained = await drainServer(world, check);
    const zoneClosures = await closeZone(world, check);
    await shutDownBox(world, check);
    await callers.stop();

    const { attempts } = callers;
    const served = attempts.filter(attempt => attempt.answer.status === 200).length;
    const refused = attempts.filter(attempt => attempt.answer.status === 503).length;
    const others = attempts.filter(({ answer }) => ![200, 503].includes(answer.status));
    check(
        others.length === 0,
        `${attempts.length} requests, ${served} served, ${refused} refused unrun`,
        others.map(({ answer, at, held, requestId }) =>
            `${requestId} of ${held.customer} got ${answer.status} at ${Math.round(at)} ms`
        ),
    );
    check(refused <= attempts.length * maxRefusedFraction, `at most ${maxRefusedFraction * 100}% refused`);
    const { destinations, runs } = world;
    const breaches = findBreaches({
        attempts,
        runs,
        // Callers of the demo do not pipeline requests.
        boxTerminations: [],
        unsolicitedBytes: [],
        drained,
        zoneClosures,
        destinations,
        keyInvalidFrom: world.customers.keyInvalidFrom,
        rollouts: [],
        recoveredFrom: 0,
    });
    check(
        breaches.length === 0,
        "whole answers, at most once, refused ones unrun, nothing at drained servers",
        breaches.map(breach => `${breach.promise}: ${breach.detail}`),
    );
}

type Check = (passed: boolean, text: string) => void;

async function drainServer(world: SoakEnvironment, check: Check): Promise<ReadonlyMap<string, Interval>> {
    const [server] = world.servers;
    const { id } = server.backend;
    world.writeRecord(server, "draining");
    const from = world.now() + inForceWithin;
    await pause(milliseconds(inForceWithin + observationTime));
    check(countRunsSince(world, from, run => run.server === id) === 0, `nothing more runs on ${id}, which drains`);
    world.store.delete("servers", id);
    return new Map([[id, { from, to: Infinity }]]);
}

async function closeZone(world: SoakEnvironment, check: Check): Promise<ReadonlyMap<string, readonly Interval[]>> {
    world.store.put("evacuations", zone, {});
    const from = world.now() + inForceWithin;
    await pause(milliseconds(inForceWithin + observationTime));
    const to = world.now();
    check(
        countRunsSince(world, from, run => run.zone === zone) === 0,
        `nothing more runs in ${zone}, which is emptied`,
    );
    world.store.delete("evacuations", zone);
    await pause(milliseconds(inForceWithin));
    check(countRunsSince(world, to, run => run.zone === zone) > 0, `${zone} serves again after it was taken back`);
    return new Map([[zone, [{ from, to }]]]);
}

async function shutDownBox(world: SoakEnvironment, check: Check): Promise<void> {
    const box = world.boxes[0];
    world.servers.forEach(server => server.backend.setWork(longDownloadWork));
    const credential = world.customers.callerKeyOf(customerNames[0]).key;
    const download = sendRequest({
        address: box.callerAddress,
        host: soakHost,
        path: "/pack/",
        requestId: "demo-download",
        credential,
    });
    const isRunning = () => world.runs.some(run => run.requestId === "demo-download");
    await waitUntil(isRunning, "the download runs");
    box.signal("SIGTERM");
    const code = await box.waitForExit();
    const answer = await download;
    const isComplete = answer.status === 200 && answer.body.endsWith(" to demo-download");
    check(isComplete && code === 0, `${box.name} ended with ${code} after its running download was whole`);
}

function countRunsSince(
    world: SoakEnvironment,
    from: number,
    matches: (run: SoakEnvironment["runs"][number]) => boolean,
): number {
    return world.runs.filter(run => run.at >= from && matches(run)).length;
}

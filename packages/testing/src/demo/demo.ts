/**
 * The demo: a whole deployment on loopback, under traffic.
 *
 * Stand-ins for the platform's store and for eight backend servers run in this
 * process, six boxes as processes of their own. While callers send requests of
 * every kind, a backend server is drained, an availability zone is emptied and
 * taken back, and a box is stopped under a running download.
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
/** Boxes of the demo. */
export const boxCount = 6;
/** Callers of the demo. */
export const callerCount = 6;
/** Milliseconds for which each step is watched once it must be in force. */
const watched = milliseconds(2000);
/** Part of the requests that may be refused: boxes that stop are still known to some callers. */
const mostRefused = 0.01;
/** Work of a pack during the stop, in milliseconds: longer than a stopping box takes new work. */
const longDownload = 900;
const zone = "north-b";

/** One thing that must come out right, and whether it did. */
export interface DemoCheck {
    readonly passed: boolean;
    readonly text: string;
    /** What was seen instead, a line each. */
    readonly details: readonly string[];
}

/** Is told of each check as it is made. */
export type OnDemoCheck = (check: DemoCheck) => void;

/** Plays the demo; resolves once all is stopped. */
export async function runDemo(onCheck: OnDemoCheck): Promise<void> {
    const random = createSeededRandom(seed);
    const world = await startSoakEnvironment({ seed, random, boxes: boxCount, mostServers: 24, onEvent: undefined });
    try {
        await play(world, onCheck);
    }
    finally {
        await world.stopAll();
    }
}

async function play(world: SoakEnvironment, onCheck: OnDemoCheck): Promise<void> {
    const check = (isRight: boolean, text: string, details: readonly string[] = []) =>
        onCheck({ passed: isRight, text, details: isRight ? [] : details });
    const callers = await startCallers(world, { count: callerCount, prefix: "demo", disconnectShare: 0 });
    await pause(watched);

    const drained = await drainServer(world, check);
    const evacuated = await emptyZone(world, check);
    await stopBox(world, check);
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
    check(refused <= attempts.length * mostRefused, `at most ${mostRefused * 100}% refused`);
    const { destinations, runs } = world;
    const breaches = findBreaches({
        attempts,
        runs,
        // No caller of the demo pipelines.
        boxTerminations: [],
        unsolicitedBytes: [],
        drained,
        zoneClosures: evacuated,
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

type Check = (isRight: boolean, text: string) => void;

async function drainServer(world: SoakEnvironment, check: Check): Promise<ReadonlyMap<string, Interval>> {
    const [server] = world.servers;
    const { id } = server.backend;
    world.writeRecord(server, "draining");
    const from = world.now() + inForceWithin;
    await pause(milliseconds(inForceWithin + watched));
    check(runsSince(world, from, run => run.server === id) === 0, `nothing more runs on ${id}, which drains`);
    world.store.delete("servers", id);
    return new Map([[id, { from, to: Infinity }]]);
}

async function emptyZone(world: SoakEnvironment, check: Check): Promise<ReadonlyMap<string, readonly Interval[]>> {
    world.store.put("evacuations", zone, {});
    const from = world.now() + inForceWithin;
    await pause(milliseconds(inForceWithin + watched));
    const to = world.now();
    check(runsSince(world, from, run => run.zone === zone) === 0, `nothing more runs in ${zone}, which is emptied`);
    world.store.delete("evacuations", zone);
    await pause(milliseconds(inForceWithin));
    check(runsSince(world, to, run => run.zone === zone) > 0, `${zone} serves again after it was taken back`);
    return new Map([[zone, [{ from, to }]]]);
}

async function stopBox(world: SoakEnvironment, check: Check): Promise<void> {
    const box = world.boxes[0];
    world.servers.forEach(server => server.backend.setWork(longDownload));
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
    const isWhole = answer.status === 200 && answer.body.endsWith(" to demo-download");
    check(isWhole && code === 0, `${box.name} ended with ${code} after its running download was whole`);
}

function runsSince(
    world: SoakEnvironment,
    from: number,
    isMeant: (run: SoakEnvironment["runs"][number]) => boolean,
): number {
    return world.runs.filter(run => run.at >= from && isMeant(run)).length;
}

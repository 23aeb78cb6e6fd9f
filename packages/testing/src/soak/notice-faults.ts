/**
 * Servers that tell of themselves in their answers, as faults of a soak run: that they are
 * leaving, seconds before their record says it, and that they want nothing from a box for a while.
 *
 * Draws from a random source of its own, so that seeds of earlier sets stay what they were.
 */

import { createSeededRandom, milliseconds } from "@chalkdale/kernel";
import { pause } from "../standins/deployment.js";
import { pickRandom } from "./fault-tools.js";
import type { ObservedArrival, ObservedBackoff, ObservedLeaving } from "./observations.js";
import { inForceWithin } from "./soak-bounds.js";
import type { SoakEnvironment } from "./soak-environment.js";
import type { SoakServer } from "./soak-servers.js";

/** Draws of seeds that follow on each other would begin alike. */
const seedSpread = 32_452_843;
/** Part of the faults in which a server leaves; in the others it asks for rest. */
const leavingShare = 0.4;
/** Part of the rests for which all servers of a service ask at once. */
const wholeServiceShare = 0.25;
/** Servers that are left to the other faults at least. */
const leftToOthers = 2;
/** Milliseconds after which the record says that the server leaves at least, and what chance adds at most. */
const recordedAfter = 3500;
const addedDelay = 3000;
/** Milliseconds for which a server turns requests away at least, and what chance adds at most. */
const shortestTurnedAway = 200;
const addedTurnedAway = 700;
/** Milliseconds of a rest that is asked for at most, and at least. */
const longestRest = 3000;
const shortestRest = 1000;
/** Milliseconds between two faults at least, and what chance adds at most. */
const shortestPause = 500;
const addedPause = 1200;

/** What servers said. */
interface ObservedNotices {
    readonly leaving: readonly ObservedLeaving[];
    readonly backoffs: readonly ObservedBackoff[];
}

/** Servers tell of themselves until a time of the run; resolves once all that they said is over. */
export async function injectNotices(world: SoakEnvironment, end: number): Promise<ObservedNotices> {
    const { now, logEvent: say, servers } = world;
    const random = createSeededRandom(world.seed * seedSpread);
    const leaving: ObservedLeaving[] = [];
    const rests: ObservedBackoff[] = [];
    const ends: Promise<void>[] = [];
    while (now() < end) {
        ends.push(...beginOne());
        await pause(milliseconds(shortestPause + random() * addedPause));
    }
    await Promise.all(ends);
    return { leaving, backoffs: rests };

    function beginOne(): readonly Promise<void>[] {
        const free = servers.filter((
            { gone, isDown, isPermanentlyStopped: isEnded, isExcludedFromFaults: isScripted },
        ) => !gone && !isDown && !isEnded && !isScripted);
        if (free.length <= leftToOthers) {
            return [];
        }
        const server = pickRandom(free, random);
        if (random() < leavingShare) {
            return servers.length > world.mostServers ? [] : [leave(server)];
        }
        const resting = random() < wholeServiceShare
            ? free.filter(({ service }) => service === server.service)
            : [server];
        if (free.length - resting.length < leftToOthers) {
            return [];
        }
        const rest = Math.round(shortestRest + random() * (longestRest - shortestRest));
        return resting.map(one => askForRest(one, rest));
    }

    /** Its record says so only after a while; then it goes like any other. */
    async function leave(server: SoakServer): Promise<void> {
        const { id } = server.backend;
        server.gone = true;
        server.isExcludedFromFaults = true;
        say(`fault="${id} says that it leaves"`);
        await world.addServer(server.service, server.zone);
        server.backend.setLeavingHeader("1");
        leaving.push({ server: id, from: now() });
        await pause(milliseconds(recordedAfter + random() * addedDelay));
        if (server.isPermanentlyStopped) {
            return;
        }
        world.writeRecord(server, "draining");
        await pause(milliseconds(inForceWithin));
        world.store.delete("servers", id);
    }

    /** It turns all requests away for a while, and serves from then on; what comes is noted until the last rest is over. */
    async function askForRest(server: SoakServer, rest: number): Promise<void> {
        const { backend } = server;
        const turnsAwayUntil = now() + shortestTurnedAway + random() * addedTurnedAway;
        const arrived: ObservedArrival[] = [];
        const asked: ObservedArrival[] = [];
        const fromClock = performance.now() - now();
        server.isExcludedFromFaults = true;
        rests.push({ server: backend.id, backoffMilliseconds: rest, rejections: asked, arrivals: arrived });
        say(`fault="${backend.id} asks for rest" rest=${rest} for=${Math.round(turnsAwayUntil - now())}`);
        backend.setBehaviour(request => {
            const arrival = { boxAddress: request.socket.remoteAddress ?? "", at: now() };
            arrived.push(arrival);
            if (arrival.at >= turnsAwayUntil) {
                return { kind: "serve" };
            }
            asked.push(arrival);
            return { kind: "shed", includesLoad: true, retryAfter: String(rest / 1000) };
        });
        await pause(milliseconds(turnsAwayUntil - now() + rest));
        // An answer that a harmed link held back or lost has told its box nothing.
        const heard = asked.filter(({ at }) => !server.proxy.wasImpaired(fromClock + at - 100, fromClock + at + 400));
        asked.splice(0, asked.length, ...heard);
        server.isExcludedFromFaults = false;
        backend.setBehaviour(() => ({ kind: "serve" }));
    }
}

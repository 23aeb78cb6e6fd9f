/**
 * Servers that name the rate which they take, as faults of a soak run: some of
 * them or all of a service, lower and higher, until they name none any more or
 * start again.
 *
 * Drawn from a random source of its own, so that seeds of earlier sets stay what
 * they were.
 */

import { createSeededRandom, milliseconds, type RandomSource } from "@chalkdale/kernel";
import { pause } from "../standins/deployment.js";
import { pickRandom } from "./fault-tools.js";
import type { ObservedLimit } from "./observations.js";
import type { SoakEnvironment } from "./soak-environment.js";
import type { SoakServer } from "./soak-servers.js";

/** Draws of seeds that follow on each other would begin alike. */
const seedSpread = 15_485_863;
/** Part of the times in which all servers of a service name a limit. */
const wholeServiceShare = 0.25;
/** Requests a second that a server names at most, and the part of the times in which it names none at all: zero. */
const highestRate = 8;
const zeroShare = 0.1;
/** Milliseconds for which a limit is named at least, and what chance adds at most. */
const shortestLimit = 4000;
const addedLimit = 5000;
/** Milliseconds between two times at least, and what chance adds at most. */
const shortestPause = 600;
const addedPause = 1500;
/** Milliseconds between two looks at whether the server still lives. */
const watchInterval = 50;

/** Servers name limits until a time of the run; resolves once none is named any more, with all that were. */
export async function injectServerLimits(world: SoakEnvironment, end: number): Promise<readonly ObservedLimit[]> {
    const random = createSeededRandom(world.seed * seedSpread);
    const limits: ObservedLimit[] = [];
    const limited = new Set<SoakServer>();
    const ends: Promise<void>[] = [];
    while (world.now() < end) {
        const chosen = pickServers(world, random).filter(server => !limited.has(server) && !server.isDown);
        ends.push(...chosen.map(limit));
        await pause(milliseconds(shortestPause + random() * addedPause));
    }
    await Promise.all(ends);
    return limits;

    async function limit(server: SoakServer): Promise<void> {
        const { backend } = server;
        const rate = random() < zeroShare ? 0 : Math.round(random() * highestRate * 10) / 10;
        const until = world.now() + shortestLimit + random() * addedLimit;
        const observed: ObservedLimit = { server: backend.id, rate, from: world.now(), to: Infinity };
        limits.push(observed);
        limited.add(server);
        world.logEvent(`fault="limit of ${backend.id}" rate=${rate} for=${Math.round(until - world.now())}`);
        backend.setLimitHeader(String(rate));
        while (world.now() < until && server.backend === backend && !server.isDown) {
            await pause(milliseconds(watchInterval));
        }
        backend.setLimitHeader(undefined);
        limits[limits.indexOf(observed)] = { ...observed, to: world.now() };
        limited.delete(server);
    }
}

function pickServers({ servers }: SoakEnvironment, random: RandomSource): readonly SoakServer[] {
    const one = pickRandom(servers, random);
    return random() < wholeServiceShare ? servers.filter(({ service }) => service === one.service) : [one];
}

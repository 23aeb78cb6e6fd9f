/**
 * Faults in which servers announce rate limits: one server or all of a service, each with
 * a random rate, until it stops announcing the limit or restarts.
 *
 * Draws from a separate random source, since seeds of the other sets must keep their draws.
 */

import { createSeededRandom, milliseconds, type RandomSource } from "@chalkdale/kernel";
import { pause } from "../standins/deployment.js";
import { pickRandom } from "./fault-tools.js";
import type { ObservedLimit } from "./observations.js";
import type { SoakEnvironment } from "./soak-environment.js";
import type { SoakServer } from "./soak-servers.js";

/** Spreads the runs' seeds: generators with consecutive seeds would begin with similar draws. */
const seedMultiplier = 15_485_863;
/** Fraction of the faults in which all servers of a service announce limits. */
const wholeServiceFraction = 0.25;
/** Maximum rate that a server announces, in requests per second, and fraction of the limits with a rate of zero. */
const maxRate = 8;
const zeroRateFraction = 0.1;
/** Minimum time for which a limit is announced and the maximum random addition, in milliseconds. */
const minDuration = 4000;
const maxAddedDuration = 5000;
/** Minimum time between two faults and the maximum random addition, in milliseconds. */
const minPause = 600;
const maxAddedPause = 1500;
/** Milliseconds between two checks whether the server has ended. */
const pollInterval = 50;

/**
 * Lets servers announce limits until the time `end` of the run; resolves with all limits once none is announced
 * any more.
 */
export async function injectServerLimits(environment: SoakEnvironment, end: number): Promise<readonly ObservedLimit[]> {
    const random = createSeededRandom(environment.seed * seedMultiplier);
    const limits: ObservedLimit[] = [];
    const limited = new Set<SoakServer>();
    const ends: Promise<void>[] = [];
    while (environment.now() < end) {
        const chosen = pickServers(environment, random).filter(server => !limited.has(server) && !server.isDown);
        ends.push(...chosen.map(announceLimit));
        await pause(milliseconds(minPause + random() * maxAddedPause));
    }
    await Promise.all(ends);
    return limits;

    async function announceLimit(server: SoakServer): Promise<void> {
        const { backend } = server;
        const rate = random() < zeroRateFraction ? 0 : Math.round(random() * maxRate * 10) / 10;
        const until = environment.now() + minDuration + random() * maxAddedDuration;
        const observed: ObservedLimit = { server: backend.id, rate, from: environment.now(), to: Infinity };
        limits.push(observed);
        limited.add(server);
        environment.logEvent(
            `fault="limit of ${backend.id}" rate=${rate} for=${Math.round(until - environment.now())}`,
        );
        backend.setLimitHeader(String(rate));
        while (environment.now() < until && server.backend === backend && !server.isDown) {
            await pause(milliseconds(pollInterval));
        }
        backend.setLimitHeader(undefined);
        limits[limits.indexOf(observed)] = { ...observed, to: environment.now() };
        limited.delete(server);
    }
}

function pickServers({ servers }: SoakEnvironment, random: RandomSource): readonly SoakServer[] {
    const one = pickRandom(servers, random);
    return random() < wholeServiceFraction ? servers.filter(({ service }) => service === one.service) : [one];
}

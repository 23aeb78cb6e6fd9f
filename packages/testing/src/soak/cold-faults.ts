/**
 * Faults in which servers turn cold: one, those of an availability zone or all of a service, in place or by a restart,
 * while boxes are partitioned from each other. They come in series and overlap, beside the other faults.
 *
 * Draws from a separate random source, so that the other faults of a seed stay the same.
 */

import { createSeededRandom, milliseconds, type RandomSource } from "@chalkdale/kernel";
import { pause } from "../standins/deployment.js";
import { pickRandom } from "./fault-tools.js";
import type { ObservedColdPeriod } from "./observations.js";
import { partitionBoxes } from "./retry-faults.js";
import type { SoakEnvironment } from "./soak-environment.js";
import type { SoakServer } from "./soak-servers.js";

/** Spreads the runs' seeds: generators with consecutive seeds would begin with similar draws. */
const seedMultiplier = 350_377;
/** Milliseconds for which a server is cold. */
const coldTime = 3000;
/** Milliseconds between two writes of a cold server's record. */
const heartbeatInterval = 1500;
/** Fraction of the faults that partition boxes from each other; in the others servers turn cold. */
const partitionFraction = 0.3;
/** Fractions of these in which one server turns cold, and those of an availability zone; else all of a service do. */
const oneServerFraction = 0.3;
const zoneFraction = 0.4;
/** Fraction of the faults in which servers restart, and milliseconds for which they are down. */
const restartFraction = 0.3;
const downTime = milliseconds(300);
/** Time between two faults and the maximum random addition, in milliseconds. */
const minPause = 700;
const maxAddedPause = 1800;

/** Injects the faults until the time `end` of the run; resolves with all cold periods once they are over. */
export async function injectColdServers(
    environment: SoakEnvironment,
    end: number,
): Promise<readonly ObservedColdPeriod[]> {
    const random = createSeededRandom(environment.seed * seedMultiplier);
    const periods: ObservedColdPeriod[] = [];
    const cold = new Set<SoakServer>();
    const ends: Promise<void>[] = [];
    while (environment.now() < end) {
        if (random() < partitionFraction) {
            ends.push(partitionBoxes(environment, random));
        }
        else {
            ends.push(...turnSomeCold());
        }
        await pause(milliseconds(minPause + random() * maxAddedPause));
    }
    await Promise.all(ends);
    return periods;

    function turnSomeCold(): readonly Promise<void>[] {
        const chosen = pickServers(environment, random).filter(server => !cold.has(server) && isFree(server));
        const isRestart = random() < restartFraction;
        const ids = chosen.map(({ backend }) => backend.id).join(",");
        environment.logEvent(`fault="${isRestart ? "restart" : "coldness"} of ${ids || "no server"}"`);
        return chosen.map(server => turnCold(server, isRestart));
    }

    async function turnCold(server: SoakServer, isRestart: boolean): Promise<void> {
        cold.add(server);
        if (!isRestart || await environment.restartServer(server, downTime, milliseconds(coldTime))) {
            await beCold(server);
        }
        cold.delete(server);
    }

    async function beCold(server: SoakServer): Promise<void> {
        const { backend } = server;
        const from = environment.now();
        server.coldUntil = from + coldTime;
        backend.setColdFor(coldTime);
        while (environment.now() < server.coldUntil && server.backend === backend && !server.isDown) {
            if (!server.gone) {
                environment.writeRecord(server, "ready");
            }
            await pause(milliseconds(Math.min(heartbeatInterval, Math.max(1, server.coldUntil - environment.now()))));
        }
        backend.setColdFor(0);
        periods.push({ server: backend.id, from, to: Math.min(environment.now(), server.coldUntil) });
        if (!server.gone && !server.isDown) {
            environment.writeRecord(server, "ready");
        }
    }
}

function pickServers({ servers }: SoakEnvironment, random: RandomSource): readonly SoakServer[] {
    const one = pickRandom(servers, random);
    const drawn = random();
    if (drawn < oneServerFraction) {
        return [one];
    }
    const isOfZone = drawn < oneServerFraction + zoneFraction;
    return servers.filter(({ service, zone }) => isOfZone ? zone === one.zone : service === one.service);
}

function isFree({ gone, isDown, isExcludedFromFaults, isPermanentlyStopped }: SoakServer): boolean {
    return !gone && !isDown && !isExcludedFromFaults && !isPermanentlyStopped;
}

/**
 * Faults in which servers announce something in their answers: that they are leaving, seconds
 * before their record says so, or that a box should back off for a while.
 *
 * Draws from a separate random source, since seeds of the other sets must keep their draws.
 */

import { createSeededRandom, milliseconds } from "@chalkdale/kernel";
import { pause } from "../standins/deployment.js";
import { pickRandom } from "./fault-tools.js";
import type { ObservedArrival, ObservedBackoff, ObservedLeaving } from "./observations.js";
import { inForceWithin } from "./soak-bounds.js";
import type { SoakEnvironment } from "./soak-environment.js";
import type { SoakServer } from "./soak-servers.js";

/** Spreads the runs' seeds: generators with consecutive seeds would begin with similar draws. */
const seedMultiplier = 32_452_843;
/** Fraction of the faults in which a server leaves; in the others it asks for back-off. */
const leavingFraction = 0.4;
/** Fraction of the back-offs that all servers of a service ask for at once. */
const wholeServiceFraction = 0.25;
/** Minimum number of servers that stay available to the other faults. */
const minFreeServers = 2;
/** Minimum time until the record says that the server is leaving and the maximum random addition, in milliseconds. */
const minRecordDelay = 3500;
const maxAddedRecordDelay = 3000;
/** Minimum time for which a server rejects requests and the maximum random addition, in milliseconds. */
const minRejectionTime = 200;
const maxAddedRejectionTime = 700;
/** Maximum and minimum back-off that is asked for, in milliseconds. */
const maxBackoff = 3000;
const minBackoff = 1000;
/** Minimum time between two faults and the maximum random addition, in milliseconds. */
const minPause = 500;
const maxAddedPause = 1200;

/** What servers announced. */
interface ObservedNotices {
    readonly leaving: readonly ObservedLeaving[];
    readonly backoffs: readonly ObservedBackoff[];
}

/**
 * Lets servers announce that they are leaving or want back-off until the time `end` of the run; resolves once
 * all of it is over.
 */
export async function injectNotices(environment: SoakEnvironment, end: number): Promise<ObservedNotices> {
    const { now, logEvent, servers } = environment;
    const random = createSeededRandom(environment.seed * seedMultiplier);
    const leaving: ObservedLeaving[] = [];
    const backoffs: ObservedBackoff[] = [];
    const ends: Promise<void>[] = [];
    while (now() < end) {
        ends.push(...beginFault());
        await pause(milliseconds(minPause + random() * maxAddedPause));
    }
    await Promise.all(ends);
    return { leaving, backoffs };

    function beginFault(): readonly Promise<void>[] {
        const free = servers.filter((
            { gone, isDown, isPermanentlyStopped, isExcludedFromFaults },
        ) => !gone && !isDown && !isPermanentlyStopped && !isExcludedFromFaults);
        if (free.length <= minFreeServers) {
            return [];
        }
        const server = pickRandom(free, random);
        if (random() < leavingFraction) {
            return servers.length > environment.mostServers ? [] : [leave(server)];
        }
        const rejecting = random() < wholeServiceFraction
            ? free.filter(({ service }) => service === server.service)
            : [server];
        if (free.length - rejecting.length < minFreeServers) {
            return [];
        }
        const backoffMilliseconds = Math.round(minBackoff + random() * (maxBackoff - minBackoff));
        return rejecting.map(one => askForBackoff(one, backoffMilliseconds));
    }

    /**
     * Announces that the server is leaving; its record says so only after a while, and then it drains like any
     * other.
     */
    async function leave(server: SoakServer): Promise<void> {
        const { id } = server.backend;
        server.gone = true;
        server.isExcludedFromFaults = true;
        logEvent(`fault="${id} says that it leaves"`);
        await environment.addServer(server.service, server.zone);
        server.backend.setLeavingHeader("1");
        leaving.push({ server: id, from: now() });
        await pause(milliseconds(minRecordDelay + random() * maxAddedRecordDelay));
        if (server.isPermanentlyStopped) {
            return;
        }
        environment.writeRecord(server, "draining");
        await pause(milliseconds(inForceWithin));
        environment.store.delete("servers", id);
    }

    /**
     * Rejects all requests with a back-off for a while, then serves again; records all arrivals until the last
     * back-off is over.
     */
    async function askForBackoff(server: SoakServer, backoffMilliseconds: number): Promise<void> {
        const { backend } = server;
        const rejectsUntil = now() + minRejectionTime + random() * maxAddedRejectionTime;
        const arrivals: ObservedArrival[] = [];
        const rejections: ObservedArrival[] = [];
        const clockOffset = performance.now() - now();
        server.isExcludedFromFaults = true;
        backoffs.push({ server: backend.id, backoffMilliseconds, rejections, arrivals });
        logEvent(
            `fault="${backend.id} asks for rest" rest=${backoffMilliseconds} for=${Math.round(rejectsUntil - now())}`,
        );
        backend.setBehaviour(request => {
            const arrival = { boxAddress: request.socket.remoteAddress ?? "", at: now() };
            arrivals.push(arrival);
            if (arrival.at >= rejectsUntil) {
                return { kind: "serve" };
            }
            rejections.push(arrival);
            return { kind: "shed", includesLoad: true, retryAfter: String(backoffMilliseconds / 1000) };
        });
        await pause(milliseconds(rejectsUntil - now() + backoffMilliseconds));
        // A rejection that an impaired link held back or lost may not have reached the box.
        const delivered = rejections.filter(({ at }) =>
            !server.proxy.wasImpaired(clockOffset + at - 100, clockOffset + at + 400)
        );
        rejections.splice(0, rejections.length, ...delivered);
        server.isExcludedFromFaults = false;
        backend.setBehaviour(() => ({ kind: "serve" }));
    }
}

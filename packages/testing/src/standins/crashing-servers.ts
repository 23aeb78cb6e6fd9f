/**
 * Stand-in servers that crash, under a poison request or on demand. Each starts again at its address after a delay,
 * with a later time of birth in its record.
 *
 * Owns the servers' incarnations and the times of crashes and of poison requests; relies on the deployment for the
 * servers' records.
 */

import type { IncomingMessage } from "node:http";
import type { ServerStandIn } from "./backend-server.js";
import type { TestDeployment } from "./deployment.js";

/** The running servers. Times are in milliseconds of `performance.now`. */
export interface CrashingServers {
    /** Times at which servers crashed under a poison request, in order. */
    readonly crashedAt: readonly number[];
    /** Times at which a poison request arrived at a server, in order. */
    readonly poisonArrivedAt: readonly number[];
    /** Crashes one server without a request, the next one in turn. */
    readonly crashOne: () => void;
    /** Prevents further restarts of servers. */
    readonly stop: () => void;
}

export interface CrashingServersOptions {
    readonly count: number;
    readonly zones: readonly string[];
    /** Run time of a request with a cold key, in milliseconds. */
    readonly work: number;
    readonly isPoisonRequest: (request: IncomingMessage) => boolean;
}

/** Milliseconds from the arrival of a poison request to the crash of its server. */
const timeToCrash = 100;
/** Milliseconds from a crash to the restart of the server. */
const restartDelay = 2000;
const idPrefix = "i-";
/** Unix milliseconds; each start of a server is recorded 1 ms after the one before. */
const firstBornAt = 1_700_000_000_000;

/** Starts the servers and records them. */
export async function startCrashingServers(
    deployment: TestDeployment,
    options: CrashingServersOptions,
): Promise<CrashingServers> {
    const crashTimes: number[] = [];
    const poisonArrivals: number[] = [];
    const running = new Map<string, ServerStandIn>();
    const zoneOf = (id: string) => options.zones[Number(id.slice(idPrefix.length)) % options.zones.length];
    let startCount = 0;
    let turn = 0;
    let isStopped = false;

    for (let index = 0; index < options.count; index++) {
        await startServer(`${idPrefix}${index}`, undefined);
    }

    return {
        crashedAt: crashTimes,
        poisonArrivedAt: poisonArrivals,
        crashOne() {
            const ids = [...running.keys()].sort();
            turn += 1;
            crash(ids[turn % ids.length]);
        },
        stop() {
            isStopped = true;
        },
    };

    async function startServer(id: string, port: number | undefined): Promise<void> {
        startCount += 1;
        const server = await deployment.addServer({ id, zone: zoneOf(id), born: firstBornAt + startCount, port });
        server.setWork(options.work);
        server.setBehaviour(request => {
            if (!options.isPoisonRequest(request)) {
                return { kind: "serve" };
            }
            poisonArrivals.push(performance.now());
            setTimeout(() => crashUnderRequest(id, server), timeToCrash);
            return { kind: "loseAnswer", by: "silence" };
        });
        running.set(id, server);
    }

    function crashUnderRequest(id: string, server: ServerStandIn): void {
        if (running.get(id) === server) {
            crashTimes.push(performance.now());
            crash(id);
        }
    }

    function crash(id: string): void {
        const server = running.get(id)!;
        const port = Number(server.address().split(":")[1]);
        running.delete(id);
        server.close();
        setTimeout(() => {
            if (!isStopped) {
                void startServer(id, port);
            }
        }, restartDelay);
    }
}

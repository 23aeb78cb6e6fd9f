/**
 * Stand-in servers that end: under a request that is deadly to whoever runs it,
 * or when they are told to. Each comes back at its address after a while, with a
 * new birth.
 *
 * Owns the servers' lives and what came to them; relies on the deployment for
 * their records.
 */

import type { IncomingMessage } from "node:http";
import type { ServerStandIn } from "./backend-server.js";
import type { TestDeployment } from "./deployment.js";

/** Times in milliseconds of the steady clock. */
export interface CrashingServers {
    /** When servers ended under a deadly request, in order. */
    readonly crashedAt: readonly number[];
    /** When deadly requests came to a server, in order. */
    readonly poisonArrivedAt: readonly number[];
    /** Ends one server from outside, the next one in turn. */
    readonly crashOne: () => void;
    /** No server comes back after this. */
    readonly stop: () => void;
}

export interface CrashingServersOptions {
    readonly count: number;
    readonly zones: readonly string[];
    /** Work of a request at a server that does not know its key, in milliseconds. */
    readonly work: number;
    readonly isPoisonRequest: (request: IncomingMessage) => boolean;
}

/** Milliseconds that a deadly request runs until its server ends. */
const runTime = 100;
/** Milliseconds until a server that has ended is back. */
const awayTime = 2000;
const idPrefix = "i-";
/** Unix milliseconds. */
const firstBirth = 1_700_000_000_000;

/** Starts the servers and records them. */
export async function startCrashingServers(
    deployment: TestDeployment,
    options: CrashingServersOptions,
): Promise<CrashingServers> {
    const endedAt: number[] = [];
    const deadlyAt: number[] = [];
    const running = new Map<string, ServerStandIn>();
    const zoneOf = (id: string) => options.zones[Number(id.slice(idPrefix.length)) % options.zones.length];
    let births = 0;
    let turn = 0;
    let isStopped = false;

    for (let index = 0; index < options.count; index++) {
        await begin(`${idPrefix}${index}`, undefined);
    }

    return {
        crashedAt: endedAt,
        poisonArrivedAt: deadlyAt,
        crashOne() {
            const ids = [...running.keys()].sort();
            turn += 1;
            end(ids[turn % ids.length]);
        },
        stop() {
            isStopped = true;
        },
    };

    async function begin(id: string, port: number | undefined): Promise<void> {
        births += 1;
        const server = await deployment.addServer({ id, zone: zoneOf(id), born: firstBirth + births, port });
        server.setWork(options.work);
        server.setBehaviour(request => {
            if (!options.isPoisonRequest(request)) {
                return { kind: "serve" };
            }
            deadlyAt.push(performance.now());
            setTimeout(() => endUnder(id, server), runTime);
            return { kind: "loseAnswer", by: "silence" };
        });
        running.set(id, server);
    }

    function endUnder(id: string, server: ServerStandIn): void {
        if (running.get(id) === server) {
            endedAt.push(performance.now());
            end(id);
        }
    }

    function end(id: string): void {
        const server = running.get(id)!;
        const port = Number(server.address().split(":")[1]);
        running.delete(id);
        server.close();
        setTimeout(() => {
            if (!isStopped) {
                void begin(id, port);
            }
        }, awayTime);
    }
}

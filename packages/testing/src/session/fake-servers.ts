/**
 * Backend servers of a session, without sockets: slots, a queue, cold caches,
 * drain, and health that can lag, fall silent or lie.
 */

import {
    type Clock,
    type ProbeResult,
    type ServerId,
    serverId,
    type ServerMember,
    type ServerOutcome,
} from "@chalkdale/core";

/** A server of a session; its fields may be changed at any time. */
export interface FakeServer {
    readonly member: ServerMember;
    /** Milliseconds of work for one request. */
    workTime: number;
    slots: number;
    queueLimit: number;
    up: boolean;
    leaving: boolean;
    /** What its health endpoint says of itself; undefined for the truth, "silent" for no answer. */
    health: "lies" | "silent" | undefined;
    /** Requests answer with a server error. */
    broken: boolean;
    /** Milliseconds of work added while its cache is cold; falls with each request. */
    coldExtra: number;
    inUse: number;
    /** Times at which requests began. */
    readonly startedAt: number[];
    /** Operations that ran here. */
    readonly operations: string[];
}

/** All servers of a session. */
export interface FakeServers {
    readonly all: () => readonly FakeServer[];
    readonly get: (id: string) => FakeServer;
    /** Answers a probe. */
    readonly probe: (server: ServerMember) => ProbeResult;
    /**
     * Runs a request and calls back when it ends.
     * @returns the milliseconds that it will take, for the session's log.
     */
    readonly run: (id: ServerId, operation: string | undefined, onEnd: (outcome: ServerOutcome) => void) => void;
    /** Ends what is due. */
    readonly step: () => void;
}

interface RunningRequest {
    readonly server: FakeServer;
    readonly startedAt: number;
    readonly endsAt: number;
    readonly onEnd: (outcome: ServerOutcome) => void;
}

const connectTime = 1;

/** Creates servers for members. */
export function createFakeServers(clock: Clock, members: readonly ServerMember[], workTime: number): FakeServers {
    const servers = new Map(members.map(member => [member.id, newServer(member, workTime)]));
    const running: RunningRequest[] = [];
    const freeAt = new Map<ServerId, number[]>();

    return {
        all: () => [...servers.values()],
        get,
        probe,
        run,
        step() {
            const now = clock();
            running.sort((a, b) => a.endsAt - b.endsAt);
            while (running.length > 0 && running[0].endsAt <= now) {
                endRequest(running.shift()!);
            }
        },
    };

    function get(id: string): FakeServer {
        const server = servers.get(serverId(id));
        if (server === undefined) {
            throw new Error(`no server ${id}`);
        }
        return server;
    }

    function probe({ id }: ServerMember): ProbeResult {
        const server = get(id);
        const answers = server.up && server.health !== "silent";
        return {
            server: id,
            ready: answers && (server.health === "lies" || !server.broken),
            leaving: answers && server.leaving,
            inUse: answers ? server.inUse : 0,
            queued: 0,
            age: 0,
        };
    }

    function run(id: ServerId, operation: string | undefined, onEnd: (outcome: ServerOutcome) => void): void {
        const server = get(id);
        if (!server.up) {
            onEnd({ kind: "unreachable" });
            return;
        }
        if (server.inUse >= server.slots + server.queueLimit) {
            onEnd({ kind: "shed", leaving: server.leaving });
            return;
        }
        if (operation !== undefined) {
            server.operations.push(operation);
        }
        start(server, onEnd);
    }

    function start(server: FakeServer, onEnd: (outcome: ServerOutcome) => void): void {
        const now = clock();
        server.inUse++;
        server.startedAt.push(now);
        const slots = freeAt.get(server.member.id) ?? Array<number>(server.slots).fill(0);
        freeAt.set(server.member.id, slots);
        const slot = slots.indexOf(Math.min(...slots));
        const beginsAt = Math.max(now, slots[slot]);
        const endsAt = beginsAt + connectTime + server.workTime + server.coldExtra;
        server.coldExtra *= 0.98;
        slots[slot] = endsAt;
        running.push({ server, startedAt: now, endsAt, onEnd });
    }

    function endRequest({ server, startedAt, endsAt, onEnd }: RunningRequest): void {
        server.inUse--;
        onEnd(
            server.up
                ? { kind: "answered", latency: endsAt - startedAt, serverError: server.broken, leaving: server.leaving }
                : { kind: "brokeOff" },
        );
    }
}

function newServer(member: ServerMember, workTime: number): FakeServer {
    return {
        member,
        workTime,
        slots: 6,
        queueLimit: 12,
        up: true,
        leaving: false,
        health: undefined,
        broken: false,
        coldExtra: 0,
        inUse: 0,
        startedAt: [],
        operations: [],
    };
}

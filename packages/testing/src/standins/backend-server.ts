/**
 * Stand-in for a backend server on the users' platform: slots, a queue, warm
 * keys, load in its answers, and the ways in which servers misbehave.
 */

import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { type AddressInfo, Server as NetServer, type Socket } from "node:net";
import { type ServerBehaviour, writeAnswer } from "./server-answers.js";
import { createSlotQueue } from "./slot-queue.js";

/** A request that the server began to work on. */
export interface ServerRun {
    readonly requestId: string;
    readonly method: string;
    readonly url: string;
    readonly body: string;
    readonly headers: NodeJS.Dict<string | string[]>;
    readonly warm: boolean;
    /** Address of the box that sent it. */
    readonly boxAddress?: string;
}

/** A running stand-in. */
export interface ServerStandIn {
    readonly id: string;
    readonly address: () => string;
    readonly runs: readonly ServerRun[];
    /** Requests that came, run or not. */
    readonly arrivals: () => number;
    /** Connections accepted so far. */
    readonly connections: () => number;
    /** Requests whose connection closed while they ran. */
    readonly abortedRequests: () => number;
    setBehaviour: (behaviour: (request: IncomingMessage) => ServerBehaviour) => void;
    /** Work on a key that is not known, in milliseconds; a known one takes less. */
    setWork: (milliseconds: number) => void;
    /** Tells in its health answers that it stays cold for so long. */
    setColdFor: (milliseconds: number) => void;
    /** Names a limit in its answers, as it stands in the header; undefined for none. */
    setLimitHeader: (text: string | undefined) => void;
    /** Resets connections that rested longer than so many milliseconds once a request comes on them. */
    readonly setResetAfterIdle: (milliseconds: number) => void;
    /** Says in its answers that it is leaving, by closing connections and in its health answers. */
    setShuttingDown: (leaving: boolean) => void;
    /** Says in all its answers, in a header of its own, that it is leaving; its health answers stay good. */
    setLeavingHeader: (text: string | undefined) => void;
    /** Refuses new connections; those that are open stay. */
    readonly stopAccepting: () => void;
    readonly close: () => void;
}

export interface ServerStandInOptions {
    readonly id: string;
    readonly slots?: number;
    readonly queue?: number;
    /** Keys that the server remembers. */
    readonly rememberedKeys?: number;
    readonly host?: string;
    /** Port of an earlier server whose address this one takes over. */
    readonly port?: number;
    /** Idle connections are closed after so many milliseconds, and answers say so in whole seconds if there are any. */
    readonly idleMs?: number;
}

const defaultSlots = 4;
const defaultQueue = 8;
const defaultRememberedKeys = 50;
const defaultIdle = 10_000;
const warmPart = 0.3;

/** Starts a server on loopback. */
export async function startServerStandIn(options: ServerStandInOptions): Promise<ServerStandIn> {
    const runs: ServerRun[] = [];
    const keys = new Set<string>();
    const slots = options.slots ?? defaultSlots;
    const queue = createSlotQueue(slots, options.queue ?? defaultQueue);
    const host = options.host ?? "127.0.0.1";
    let behaviourOf: (request: IncomingMessage) => ServerBehaviour = () => ({ kind: "serve" });
    let work = 0;
    let coldFor = 0;
    let limit: string | undefined;
    let leaving = false;
    let leavingText: string | undefined;
    let forgetsAfter = Infinity;
    const lastUsed = new WeakMap<Socket, number>();
    let arrivals = 0;
    let connections = 0;
    let abandoned = 0;

    const server: Server = createServer((request, response) => void onRequest(request, response));
    server.keepAliveTimeout = options.idleMs ?? defaultIdle;
    server.on("connection", () => {
        connections += 1;
    });
    await new Promise<void>(resolve => server.listen(options.port ?? 0, host, resolve));

    return {
        id: options.id,
        address: () => `${host}:${(server.address() as AddressInfo).port}`,
        runs,
        arrivals: () => arrivals,
        connections: () => connections,
        abortedRequests: () => abandoned,
        setBehaviour: behaviour => {
            behaviourOf = behaviour;
        },
        setWork: duration => {
            work = duration;
        },
        setColdFor: duration => {
            coldFor = duration;
        },
        setLimitHeader: text => {
            limit = text;
        },
        setResetAfterIdle: duration => {
            forgetsAfter = duration;
        },
        setShuttingDown: value => {
            leaving = value;
        },
        setLeavingHeader: text => {
            leavingText = text;
        },
        stopAccepting() {
            // The HTTP server's own `close` would end idle connections too.
            NetServer.prototype.close.call(server);
        },
        close() {
            server.close();
            server.closeAllConnections();
        },
    };

    async function onRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
        if (request.url === "/health") {
            const headers = { "Instance-Id": options.id, "Cold-Ms": String(coldFor), ...leavingHeader() };
            response.writeHead(leaving ? 503 : 200, headers).end();
            return;
        }
        arrivals += 1;
        if (performance.now() - (lastUsed.get(request.socket) ?? Infinity) > forgetsAfter) {
            request.socket.resetAndDestroy();
            return;
        }
        response.on("close", () => lastUsed.set(request.socket, performance.now()));
        const requestId = String(request.headers["request-id"] ?? "");
        const expected = request.headers["expect-instance"];
        if (expected !== undefined && expected !== options.id) {
            response.writeHead(421, { "Request-Id": requestId, "Instance-Id": options.id }).end();
            return;
        }
        const behaviour = behaviourOf(request);
        if (behaviour.kind === "shed" || queue.isFull()) {
            const told = behaviour.kind === "shed" ? shedHeaders(behaviour) : {};
            response.writeHead(503, {
                "Request-Id": requestId,
                "Not-Run": "1",
                ...limitHeader(),
                ...leavingHeader(),
                ...told,
            }).end();
            return;
        }
        if (behaviour.kind === "shedAndDrop") {
            request.pause();
            response.writeHead(503, { "Request-Id": requestId, "Not-Run": "1", "Connection": "close" });
            response.end(() => request.socket.destroy());
            return;
        }
        if (behaviour.kind === "early") {
            response.writeHead(400, { "Request-Id": requestId, "Server-Stamp": `stamp.${requestId}` }).end("early");
            return;
        }
        const body = await readText(request);
        await queue.acquire();
        await run(request, response, requestId, body, behaviour);
        queue.release();
    }

    async function run(
        request: IncomingMessage,
        response: ServerResponse,
        requestId: string,
        body: string,
        behaviour: ServerBehaviour,
    ): Promise<void> {
        const warm = remember(String(request.headers["affinity-key"] ?? ""));
        const { headers, method = "", url = "" } = request;
        runs.push({ requestId, method, url, body, headers, warm, boxAddress: request.socket.remoteAddress });
        let isOver = false;
        response.on("close", () => {
            if (!isOver) {
                abandoned += 1;
            }
        });
        // A server that was closed while it worked must not hold the process.
        await new Promise(resolve => setTimeout(resolve, work * (warm ? warmPart : 1)).unref());
        isOver = true;
        writeAnswer(request, response, contentOf(requestId), behaviour);
    }

    function loadHeader(): Record<string, string> {
        return { "Server-Load": `${queue.running()},${queue.waiting()},${slots}` };
    }

    function shedHeaders(
        { retryAfter: restFor, includesLoad: tellsLoad }: ServerBehaviour & { readonly kind: "shed"; },
    ): Record<string, string> {
        return {
            ...tellsLoad === true ? loadHeader() : {},
            ...restFor === undefined ? {} : { "Retry-After": restFor },
        };
    }

    function limitHeader(): Record<string, string> {
        return limit === undefined ? {} : { "Server-Limit": limit };
    }

    function leavingHeader(): Record<string, string> {
        return leavingText === undefined ? {} : { "Server-Leaving": leavingText };
    }

    function remember(key: string): boolean {
        const warm = keys.delete(key);
        keys.add(key);
        if (keys.size > (options.rememberedKeys ?? defaultRememberedKeys)) {
            keys.delete([...keys][0]);
        }
        return warm;
    }

    function contentOf(requestId: string) {
        return {
            text: `answer of ${options.id} to ${requestId}`,
            headers: {
                "Request-Id": requestId,
                "Server-Stamp": `stamp.${requestId}`,
                ...loadHeader(),
                ...limitHeader(),
                ...leavingHeader(),
                ...(leaving ? { "Connection": "close" } : {}),
            },
        };
    }
}

async function readText(request: IncomingMessage): Promise<string> {
    const chunks: Buffer[] = [];
    for await (const chunk of request) {
        chunks.push(chunk as Buffer);
    }
    return Buffer.concat(chunks).toString("utf8");
}

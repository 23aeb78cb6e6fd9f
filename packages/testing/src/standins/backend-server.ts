/**
 * Stand-in for a backend server on the users' platform: slots, a queue, warm keys, load reports in its answers, and
 * the faults that servers show.
 */

import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { type AddressInfo, Server as NetServer, type Socket } from "node:net";
import { carriesEndlessAnswer, type EndlessAnswer, sendEndlessAnswer } from "./endless-bytes.js";
import { sendCopyAfter, type ServerBehaviour, writeAnswer } from "./server-answers.js";
import { createSlotQueue } from "./slot-queue.js";

/** A request that the server began to run. */
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
    /** Requests received, whether they ran or not. */
    readonly arrivals: () => number;
    /** Connections accepted so far. */
    readonly connections: () => number;
    /** Requests whose connection closed while they ran. */
    readonly abortedRequests: () => number;
    setBehaviour: (behaviour: (request: IncomingMessage) => ServerBehaviour) => void;
    /** Run time of a request with a cold key in milliseconds; one with a warm key takes less. */
    setWork: (milliseconds: number) => void;
    /** Time for which the server stays cold, as its health answers report it. */
    setColdFor: (milliseconds: number) => void;
    /** Sets the text of the rate-limit header of its answers; undefined for no header. */
    setLimitHeader: (text: string | undefined) => void;
    /** Resets a connection when a request arrives on it after it was idle for longer than this. */
    readonly setResetAfterIdle: (milliseconds: number) => void;
    /** Sends bytes without end in answer to health checks; undefined for sound answers. */
    setEndlessHealth: (bytes: EndlessAnswer | undefined) => void;
    /** Announces a shutdown by closing connections after each answer and by failing health checks. */
    setShuttingDown: (isShuttingDown: boolean) => void;
    /** Sets the text of the header that announces a shutdown in all answers; health checks still succeed. */
    setLeavingHeader: (text: string | undefined) => void;
    /** Refuses new connections; open ones are kept. */
    readonly stopAccepting: () => void;
    readonly close: () => void;
}

export interface ServerStandInOptions {
    readonly id: string;
    readonly slots?: number;
    readonly queue?: number;
    /** Number of keys that the server keeps warm. */
    readonly rememberedKeys?: number;
    readonly host?: string;
    /** Port of a stopped server, to take over its address. */
    readonly port?: number;
    /** Called with the id of each request that arrives, whether it runs or not. */
    readonly onArrival?: (requestId: string) => void;
    /** Called with each request that arrives. */
    readonly onRequest?: (request: IncomingMessage) => void;
    /** Idle connections are closed after this time; Node announces it in answers, rounded down to seconds. */
    readonly idleMs?: number;
}

const defaultSlots = 4;
const defaultQueue = 8;
const defaultRememberedKeys = 50;
const defaultIdleMs = 10_000;
const warmWorkFraction = 0.3;

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
    let limitHeaderText: string | undefined;
    let isShuttingDown = false;
    let endlessHealth: EndlessAnswer | undefined;
    let leavingHeaderText: string | undefined;
    let idleBeforeReset = Infinity;
    const lastUsed = new WeakMap<Socket, number>();
    let arrivals = 0;
    let connections = 0;
    let aborted = 0;

    const server: Server = createServer((request, response) => void onRequest(request, response));
    server.keepAliveTimeout = options.idleMs ?? defaultIdleMs;
    const sockets = new Set<Socket>();
    server.on("connection", socket => {
        connections += 1;
        sockets.add(socket);
        socket.once("close", () => sockets.delete(socket));
    });
    await new Promise<void>(resolve => server.listen(options.port ?? 0, host, resolve));

    return {
        id: options.id,
        address: () => `${host}:${(server.address() as AddressInfo).port}`,
        runs,
        arrivals: () => arrivals,
        connections: () => connections,
        abortedRequests: () => aborted,
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
            limitHeaderText = text;
        },
        setResetAfterIdle: duration => {
            idleBeforeReset = duration;
        },
        setEndlessHealth: bytes => {
            endlessHealth = bytes;
        },
        setShuttingDown: value => {
            isShuttingDown = value;
        },
        setLeavingHeader: text => {
            leavingHeaderText = text;
        },
        stopAccepting() {
            // The HTTP server's own `close` would end idle connections too.
            NetServer.prototype.close.call(server);
        },
        close() {
            server.close();
            // An orderly end would make an answer without a length look whole.
            [...sockets].filter(carriesEndlessAnswer).forEach(socket => socket.resetAndDestroy());
            server.closeAllConnections();
        },
    };

    async function onRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
        if (request.url === "/health" && endlessHealth !== undefined) {
            sendEndlessAnswer(request.socket, endlessHealth, { "Instance-Id": options.id });
            return;
        }
        if (request.url === "/health") {
            const headers = { "Instance-Id": options.id, "Cold-Ms": String(coldFor), ...leavingHeader() };
            response.writeHead(isShuttingDown ? 503 : 200, headers).end();
            return;
        }
        arrivals += 1;
        options.onArrival?.(String(request.headers["request-id"]));
        options.onRequest?.(request);
        if (performance.now() - (lastUsed.get(request.socket) ?? Infinity) > idleBeforeReset) {
            request.socket.resetAndDestroy();
            return;
        }
        response.on("close", () => lastUsed.set(request.socket, performance.now()));
        const requestId = String(request.headers["request-id"] ?? "");
        const expected = request.headers["expect-instance"];
        if (expected !== undefined && expected !== options.id) {
            response.writeHead(421, { "Request-Id": requestId, "Instance-Id": options.id, "Not-Run": "1" }).end();
            return;
        }
        const behaviour = behaviourOf(request);
        if (behaviour.kind === "shed" && behaviour.afterMs !== undefined) {
            await new Promise(resolve => setTimeout(resolve, behaviour.afterMs).unref());
        }
        if (behaviour.kind === "shed" || queue.isFull()) {
            const extraHeaders = behaviour.kind === "shed" ? shedHeaders(behaviour) : {};
            const status = behaviour.kind === "shed" ? behaviour.status ?? 503 : 503;
            const headers = {
                "Request-Id": requestId,
                "Not-Run": "1",
                ...limitHeader(),
                ...leavingHeader(),
                ...extraHeaders,
            };
            response.writeHead(status, headers).end();
            if (behaviour.kind === "shed" && behaviour.copyAfterMs !== undefined) {
                sendCopyAfter(request, { status, headers }, behaviour.copyAfterMs);
            }
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
        let isDone = false;
        response.on("close", () => {
            if (!isDone) {
                aborted += 1;
            }
        });
        // The timer must not keep the process alive when the server was closed meanwhile.
        await new Promise(resolve => setTimeout(resolve, work * (warm ? warmWorkFraction : 1)).unref());
        isDone = true;
        writeAnswer(request, response, contentOf(requestId), behaviour);
    }

    function loadHeader(): Record<string, string> {
        return { "Server-Load": `${queue.running()},${queue.waiting()},${slots}` };
    }

    function shedHeaders(
        { retryAfter, includesLoad }: ServerBehaviour & { readonly kind: "shed"; },
    ): Record<string, string> {
        return {
            ...includesLoad === true ? loadHeader() : {},
            ...retryAfter === undefined ? {} : { "Retry-After": retryAfter },
        };
    }

    function limitHeader(): Record<string, string> {
        return limitHeaderText === undefined ? {} : { "Server-Limit": limitHeaderText };
    }

    function leavingHeader(): Record<string, string> {
        return leavingHeaderText === undefined ? {} : { "Server-Leaving": leavingHeaderText };
    }

    /** Makes the key the most recently used one; returns whether it was warm. */
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
                ...(isShuttingDown ? { "Connection": "close" } : {}),
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

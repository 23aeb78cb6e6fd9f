/**
 * Stand-in for a backend server on the users' platform: slots, a queue, warm
 * keys, load in its answers, and the ways in which servers misbehave.
 */

import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { type AddressInfo, Server as NetServer } from "node:net";

/** What the server does with a request. */
export type ServerBehaviour =
    | { readonly kind: "serve"; }
    /** Full: not run. */
    | { readonly kind: "shed"; }
    /** A failure of its own, after it ran. */
    | { readonly kind: "fail"; readonly status: number; }
    /** Runs, then its answer is lost with the connection. */
    | { readonly kind: "loseAnswer"; readonly by: "close" | "reset" | "silence"; }
    /** Ends the answer early. */
    | { readonly kind: "breakOff"; readonly by: "close" | "reset"; }
    /** Answers without a length and ends the connection. */
    | { readonly kind: "unframed"; }
    /** A second answer follows the first, at once or a little later. */
    | { readonly kind: "extra"; readonly afterMs: number; }
    /** Bytes that are no answer. */
    | { readonly kind: "garbage"; }
    /** Answers before it has read the body. */
    | { readonly kind: "early"; };

/** A request that the server began to work on. */
export interface ServerRun {
    readonly requestId: string;
    readonly method: string;
    readonly url: string;
    readonly body: string;
    readonly headers: NodeJS.Dict<string | string[]>;
    readonly warm: boolean;
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
    readonly abandoned: () => number;
    setBehaviour: (behaviour: (request: IncomingMessage) => ServerBehaviour) => void;
    /** Work on a key that is not known, in milliseconds; a known one takes less. */
    setWork: (milliseconds: number) => void;
    /** Tells in its health answers that it stays cold for so long. */
    setColdFor: (milliseconds: number) => void;
    /** Says in its answers that it is leaving. */
    setLeaving: (leaving: boolean) => void;
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
    const waiting: (() => void)[] = [];
    const slots = options.slots ?? defaultSlots;
    const host = options.host ?? "127.0.0.1";
    let behaviourOf: (request: IncomingMessage) => ServerBehaviour = () => ({ kind: "serve" });
    let work = 0;
    let coldFor = 0;
    let leaving = false;
    let running = 0;
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
        abandoned: () => abandoned,
        setBehaviour: behaviour => {
            behaviourOf = behaviour;
        },
        setWork: duration => {
            work = duration;
        },
        setColdFor: duration => {
            coldFor = duration;
        },
        setLeaving: value => {
            leaving = value;
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
            const headers = { "Instance-Id": options.id, "Cold-Ms": String(coldFor) };
            response.writeHead(leaving ? 503 : 200, headers).end();
            return;
        }
        arrivals += 1;
        const requestId = String(request.headers["request-id"] ?? "");
        const expected = request.headers["expect-instance"];
        if (expected !== undefined && expected !== options.id) {
            response.writeHead(421, { "Request-Id": requestId, "Instance-Id": options.id }).end();
            return;
        }
        const behaviour = behaviourOf(request);
        if (behaviour.kind === "shed" || (running >= slots && waiting.length >= (options.queue ?? defaultQueue))) {
            response.writeHead(503, { "Request-Id": requestId, "Not-Run": "1" }).end();
            return;
        }
        if (behaviour.kind === "early") {
            response.writeHead(400, { "Request-Id": requestId, "Server-Stamp": `stamp.${requestId}` }).end("early");
            return;
        }
        const body = await readText(request);
        await takeSlot();
        await run(request, response, requestId, body, behaviour);
        running -= 1;
        waiting.shift()?.();
    }

    function takeSlot(): Promise<void> {
        if (running < slots) {
            running += 1;
            return Promise.resolve();
        }
        return new Promise(resolve =>
            waiting.push(() => {
                running += 1;
                resolve();
            })
        );
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
        runs.push({ requestId, method, url, body, headers, warm });
        let isOver = false;
        response.on("close", () => {
            if (!isOver) {
                abandoned += 1;
            }
        });
        // A server that was closed while it worked must not hold the process.
        await new Promise(resolve => setTimeout(resolve, work * (warm ? warmPart : 1)).unref());
        isOver = true;
        answer(request, response, requestId, behaviour);
    }

    function remember(key: string): boolean {
        const warm = keys.delete(key);
        keys.add(key);
        if (keys.size > (options.rememberedKeys ?? defaultRememberedKeys)) {
            keys.delete([...keys][0]);
        }
        return warm;
    }

    function answer(
        request: IncomingMessage,
        response: ServerResponse,
        requestId: string,
        behaviour: ServerBehaviour,
    ): void {
        const text = `answer of ${options.id} to ${requestId}`;
        const headers = {
            "Request-Id": requestId,
            "Server-Stamp": `stamp.${requestId}`,
            "Server-Load": `${running},${waiting.length},${slots}`,
            ...(leaving ? { "Connection": "close" } : {}),
        };
        const head = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`).join("");
        const framed = `HTTP/1.1 200 OK\r\n${head}Content-Length: ${text.length}\r\n\r\n`;
        const { socket } = request;
        switch (behaviour.kind) {
            case "serve":
            case "shed":
            case "early":
                response.writeHead(200, headers).end(text);
                return;
            case "fail":
                response.writeHead(behaviour.status, headers).end(text);
                return;
            case "loseAnswer":
                endBy(request, behaviour.by);
                return;
            case "breakOff":
                socket.write(framed + text.slice(0, text.length / 2), () => endBy(request, behaviour.by));
                return;
            case "unframed":
                socket.end(`HTTP/1.1 200 OK\r\n${head}Connection: close\r\n\r\n${text}`);
                return;
            case "extra":
                socket.write(framed + text);
                setTimeout(() => socket.write(framed + text), behaviour.afterMs);
                return;
            case "garbage":
                socket.write("this is no answer\r\n\r\n");
                return;
        }
    }
}

function endBy(request: IncomingMessage, by: "close" | "reset" | "silence"): void {
    switch (by) {
        case "close":
            request.socket.end();
            return;
        case "reset":
            request.socket.resetAndDestroy();
            return;
        case "silence":
            return;
    }
}

async function readText(request: IncomingMessage): Promise<string> {
    const chunks: Buffer[] = [];
    for await (const chunk of request) {
        chunks.push(chunk as Buffer);
    }
    return Buffer.concat(chunks).toString("utf8");
}

/**
 * Stand-in for a backend server: slots and a queue, cold start, drain,
 * shedding, health that can lag or lie, cancellation and deadlines.
 *
 * `GET /work?ms=N` answers after N milliseconds of work; `POST /save` notes
 * an operation; `GET /download?bytes=N&ms=M` streams N bytes over M
 * milliseconds; `GET /break` breaks off half way; `GET /health` answers as
 * `createHttpProbe` reads it.
 */

import type { Address } from "@chalkdale/runtime";
import { sleep } from "@chalkdale/runtime";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";

/** How the server behaves; may be changed while it runs. */
export interface BackendBehaviour {
    slots: number;
    /** Requests that wait beyond the slots; more are refused unrun. */
    queue: number;
    /** Milliseconds of work for a request that names none. */
    workTime: number;
    /** Work takes this many times as long until `warmAfter` requests have been answered. */
    coldFactor: number;
    warmAfter: number;
    leaving: boolean;
    /** Health says ready whatever is true. */
    healthLies: boolean;
    /** Every request fails with status 500. */
    broken: boolean;
}

/** What the server has done. */
export interface BackendCounts {
    answered: number;
    refused: number;
    cancelled: number;
    /** Operations saved, by their name, with how often each ran. */
    readonly saved: Map<string, number>;
    /** Monotonic time at which the last request began. */
    lastStartedAt: number;
    inUse: number;
    queued: number;
    mostInUse: number;
}

/** A running stand-in. */
export interface BackendServer {
    readonly id: string;
    readonly address: Address;
    readonly behaviour: BackendBehaviour;
    readonly counts: BackendCounts;
    /** Stops at once, as a crash does. */
    readonly crash: () => void;
}

/** A server with these settings answers everything. */
export const calmBehaviour: BackendBehaviour = {
    slots: 6,
    queue: 12,
    workTime: 5,
    coldFactor: 1,
    warmAfter: 0,
    leaving: false,
    healthLies: false,
    broken: false,
};

const chunkSize = 16 * 1024;

/** Listens at an address until the signal aborts. Port 0 takes a free one. */
export async function serveBackend(
    id: string,
    address: Address,
    behaviour: Partial<BackendBehaviour>,
    signal: AbortSignal,
): Promise<BackendServer> {
    const state = createState({ ...calmBehaviour, ...behaviour });
    const server = createServer((request, response) => void handle(request, response, state, id));
    server.keepAliveTimeout = 30_000;
    const crash = () => {
        server.closeAllConnections();
        server.close();
    };
    signal.addEventListener("abort", crash, { once: true });
    await new Promise<void>((resolve, reject) => {
        server.once("error", reject);
        server.listen(address.port, address.address, resolve);
    });
    return {
        id,
        address: { address: address.address, port: portOf(server) },
        behaviour: state.behaviour,
        counts: state.counts,
        crash,
    };
}

function portOf(server: Server): number {
    const bound = server.address();
    return typeof bound === "object" && bound !== null ? bound.port : 0;
}

interface BackendState {
    readonly behaviour: BackendBehaviour;
    readonly counts: BackendCounts;
    readonly waiting: (() => void)[];
}

function createState(behaviour: BackendBehaviour): BackendState {
    return {
        behaviour,
        counts: {
            answered: 0,
            refused: 0,
            cancelled: 0,
            saved: new Map(),
            lastStartedAt: -Infinity,
            inUse: 0,
            queued: 0,
            mostInUse: 0,
        },
        waiting: [],
    };
}

async function handle(
    request: IncomingMessage,
    response: ServerResponse,
    state: BackendState,
    id: string,
): Promise<void> {
    const url = new URL(request.url ?? "", "http://backend");
    response.on("error", () => response.destroy());
    response.setHeader("x-server", id);
    if (state.behaviour.leaving) {
        response.setHeader("chalkdale-leaving", "1");
    }
    if (url.pathname === "/health") {
        answerHealth(response, state);
        return;
    }
    const gone = new AbortController();
    response.once("close", () => {
        if (!response.writableFinished) {
            state.counts.cancelled++;
            gone.abort();
        }
    });
    if (!await takeSlot(state, gone.signal)) {
        state.counts.refused++;
        request.resume();
        response.writeHead(503, { "chalkdale-ran": "not-run" }).end();
        return;
    }
    try {
        await work(request, response, url, state, gone.signal);
    }
    finally {
        freeSlot(state);
    }
}

function answerHealth(response: ServerResponse, { behaviour, counts }: BackendState): void {
    const ready = behaviour.healthLies || !behaviour.broken;
    response.writeHead(200, { "content-type": "application/json" });
    response.end(JSON.stringify({
        ready,
        leaving: behaviour.leaving,
        inUse: counts.inUse,
        queued: counts.queued,
    }));
}

/** Takes a slot, waiting in the queue for one; false when the queue is full or the caller has gone. */
async function takeSlot(state: BackendState, signal: AbortSignal): Promise<boolean> {
    const { behaviour, counts, waiting } = state;
    if (counts.inUse >= behaviour.slots) {
        if (counts.queued >= behaviour.queue) {
            return false;
        }
        counts.queued++;
        await new Promise<void>(resolve => {
            waiting.push(resolve);
            signal.addEventListener("abort", () => resolve(), { once: true });
        });
        counts.queued--;
        if (signal.aborted) {
            return false;
        }
    }
    counts.inUse++;
    counts.mostInUse = Math.max(counts.mostInUse, counts.inUse);
    counts.lastStartedAt = performance.now();
    return true;
}

function freeSlot({ counts, waiting }: BackendState): void {
    counts.inUse--;
    waiting.shift()?.();
}

async function work(
    request: IncomingMessage,
    response: ServerResponse,
    url: URL,
    state: BackendState,
    signal: AbortSignal,
): Promise<void> {
    const body = await readBody(request);
    const { behaviour, counts } = state;
    if (behaviour.broken) {
        response.writeHead(500).end("broken\n");
        return;
    }
    if (url.pathname === "/save") {
        counts.saved.set(body, (counts.saved.get(body) ?? 0) + 1);
    }
    const cold = counts.answered < behaviour.warmAfter ? behaviour.coldFactor : 1;
    const workTime = Number(url.searchParams.get("ms") ?? behaviour.workTime) * cold;
    if (workTime > 0) {
        await sleep(workTime, signal);
    }
    if (signal.aborted) {
        return;
    }
    switch (url.pathname) {
        case "/download":
            await sendDownload(response, url, signal);
            break;
        case "/break":
            response.writeHead(200, { "content-length": "1000" });
            response.write("half an answer");
            response.socket?.resetAndDestroy();
            return;
        default: {
            const text = `${request.method} ${url.pathname}${url.search} ${body}`;
            response.writeHead(200, { "content-type": "text/plain", "content-length": Buffer.byteLength(text) });
            response.end(text);
        }
    }
    counts.answered++;
}

async function sendDownload(response: ServerResponse, url: URL, signal: AbortSignal): Promise<void> {
    const bytes = Number(url.searchParams.get("bytes") ?? chunkSize);
    const pause = Number(url.searchParams.get("over") ?? 0) / Math.ceil(bytes / chunkSize);
    response.writeHead(200, { "content-type": "application/octet-stream", "content-length": bytes });
    for (let sent = 0; sent < bytes && !signal.aborted; sent += chunkSize) {
        const chunk = Buffer.alloc(Math.min(chunkSize, bytes - sent), sent / chunkSize % 251);
        if (!response.write(chunk)) {
            await new Promise<void>(resolve => {
                response.once("drain", resolve);
                signal.addEventListener("abort", () => resolve(), { once: true });
            });
        }
        if (pause > 0) {
            await sleep(pause, signal);
        }
    }
    if (!signal.aborted) {
        response.end();
    }
}

async function readBody(request: IncomingMessage): Promise<string> {
    const parts: Buffer[] = [];
    try {
        for await (const part of request) {
            parts.push(part as Buffer);
        }
    }
    catch {
        return "";
    }
    return Buffer.concat(parts).toString("utf8");
}

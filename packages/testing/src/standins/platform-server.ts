/**
 * The platform's stand-in over HTTP, as `http-platform` speaks it.
 *
 * `POST /admin/faults` sets its switches, `GET /admin/counts` reads its
 * counters; both are for tests and the demo.
 */

import { objectVersion } from "@chalkdale/core";
import type { PlatformOutcome } from "@chalkdale/platform";
import { type Address, listenUntilAborted, sleep, systemClock } from "@chalkdale/runtime";
import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import { createObjectStore, type ObjectStore } from "./object-store.js";

/** Faults of the server on top of the store's. */
export interface ServerFaults {
    /** Milliseconds by which every call is late. */
    delay: number;
}

/** A running stand-in. */
export interface PlatformServer {
    readonly store: ObjectStore;
    readonly faults: ServerFaults;
}

const stepInterval = 100;

/** Listens at an address until the signal aborts. */
export async function servePlatform(address: Address, signal: AbortSignal): Promise<PlatformServer> {
    const store = createObjectStore({ clock: systemClock });
    const faults: ServerFaults = { delay: 0 };
    const timer = setInterval(store.step, stepInterval);
    const server = createServer((request, response) => void answer(request, response, store, faults, signal));
    server.keepAliveTimeout = 60_000;
    signal.addEventListener("abort", () => clearInterval(timer), { once: true });
    await listenUntilAborted(server, address, signal);
    return { store, faults };
}

async function answer(
    request: IncomingMessage,
    response: ServerResponse,
    store: ObjectStore,
    faults: ServerFaults,
    owner: AbortSignal,
): Promise<void> {
    const url = new URL(request.url ?? "", "http://platform");
    const body = await readJson(request);
    if (url.pathname === "/admin/faults") {
        const { delay, ...rest } = body as Partial<ServerFaults & ObjectStore["faults"]>;
        faults.delay = delay ?? faults.delay;
        Object.assign(store.faults, rest);
        store.step();
        response.writeHead(204).end();
        return;
    }
    if (url.pathname === "/admin/counts") {
        send(response, 200, store.counts);
        return;
    }
    const gone = new AbortController();
    response.once("close", () => gone.abort());
    const signal = AbortSignal.any([owner, gone.signal]);
    if (faults.delay > 0) {
        await sleep(faults.delay, signal);
    }
    const outcome = await callOf(request, url, body, store, signal);
    sendOutcome(response, outcome);
}

function callOf(
    request: IncomingMessage,
    url: URL,
    body: unknown,
    { platform }: ObjectStore,
    signal: AbortSignal,
): Promise<PlatformOutcome<unknown>> {
    const options = { timeout: Number(url.searchParams.get("wait") ?? 0), signal };
    const prefix = url.searchParams.get("prefix");
    if (url.pathname === "/v1/watch") {
        return platform.watch(prefix ?? "", objectVersion(Number(url.searchParams.get("from"))), options);
    }
    if (prefix !== null) {
        return platform.list(prefix, options);
    }
    const key = decodeURIComponent(url.pathname.slice("/v1/entries/".length));
    switch (request.method) {
        case "GET":
            return platform.get(key, options);
        case "POST":
            return platform.create(key, body, options);
        case "PUT":
            return platform.update(key, objectVersion(Number(request.headers["if-match"])), body, options);
        default:
            return Promise.resolve({ kind: "absent" });
    }
}

function sendOutcome(response: ServerResponse, outcome: PlatformOutcome<unknown>): void {
    switch (outcome.kind) {
        case "done":
            send(response, 200, outcome.value);
            return;
        case "absent":
            send(response, 404, {});
            return;
        case "conflict":
            send(response, 412, {});
            return;
        case "unavailable":
            send(response, 503, { reason: outcome.reason });
            return;
        case "unknown":
            response.destroy();
            return;
    }
}

function send(response: ServerResponse, status: number, body: unknown): void {
    response.writeHead(status, { "content-type": "application/json" }).end(JSON.stringify(body));
}

async function readJson(request: IncomingMessage): Promise<unknown> {
    const parts: Buffer[] = [];
    for await (const part of request) {
        parts.push(part as Buffer);
    }
    return parts.length === 0 ? undefined : JSON.parse(Buffer.concat(parts).toString("utf8"));
}

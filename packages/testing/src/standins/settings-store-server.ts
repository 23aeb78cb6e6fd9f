/**
 * Serves the stand-in for the store of the settings tree over HTTP, with the protocol of the command line's client.
 */

import { objectVersion } from "@chalkdale/kernel";
import type { StoreOutcome } from "@chalkdale/settings-store";
import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { createSettingsStoreStandIn, type SettingsStoreStandIn } from "./settings-store.js";

/** A running stand-in. */
export interface SettingsStoreServer {
    readonly store: SettingsStoreStandIn;
    /** Host and port. */
    readonly address: string;
}

const entriesPath = "/v1/entries/";

/** Serves an empty store at a free port on loopback until the signal aborts. */
export async function serveSettingsStore(signal: AbortSignal): Promise<SettingsStoreServer> {
    const store = createSettingsStoreStandIn();
    const server = createServer((request, response) => void answer(request, response, store));
    signal.addEventListener("abort", () => server.close(), { once: true });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return { store, address: `127.0.0.1:${(server.address() as AddressInfo).port}` };
}

async function answer(request: IncomingMessage, response: ServerResponse, store: SettingsStoreStandIn): Promise<void> {
    const body = await readJson(request);
    sendOutcome(response, await performCall(request, body, store));
}

function performCall(
    request: IncomingMessage,
    body: unknown,
    { calls }: SettingsStoreStandIn,
): Promise<StoreOutcome<unknown>> {
    const options = { timeout: 0, signal: new AbortController().signal };
    const key = decodeURIComponent((request.url ?? "").slice(entriesPath.length));
    switch (request.method) {
        case "GET":
            return calls.get(key, options);
        case "POST":
            return calls.create(key, body, options);
        case "PUT":
            return calls.update(key, objectVersion(Number(request.headers["if-match"])), body, options);
        default:
            return Promise.resolve({ kind: "absent" });
    }
}

function sendOutcome(response: ServerResponse, outcome: StoreOutcome<unknown>): void {
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

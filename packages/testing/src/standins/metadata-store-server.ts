/**
 * Serves the stand-in for the platform's store over HTTP, with faults by caller.
 */

import { milliseconds } from "@chalkdale/kernel";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import type { MetadataStore, ObjectWrite, StoreAnswer } from "./metadata-store.js";

/** What happens to a call instead of its answer. */
export type StoreFault =
    | { readonly kind: "none"; }
    /** Refused with a status; nothing was done. */
    | { readonly kind: "refused"; readonly status: number; }
    /** Never answered; nothing was done. */
    | { readonly kind: "silent"; }
    | { readonly kind: "reset"; }
    /** Done, and the answer is lost. */
    | { readonly kind: "answerLost"; }
    /** Not answered, and done only later. */
    | { readonly kind: "late"; readonly afterMs: number; };

/** A call, for the choice of its fault. */
interface StoreCall {
    readonly method: string;
    readonly kind: string;
    /** Address of the caller, without its port. */
    readonly caller: string;
    readonly isWatch: boolean;
    readonly isStatus: boolean;
}

/** A served store. */
export interface MetadataStoreServer {
    readonly address: () => string;
    /** Calls so far, by method. */
    readonly calls: () => Readonly<Record<string, number>>;
    setFault: (fault: (call: StoreCall) => StoreFault) => void;
    /** Ends all connections, as a store that goes away does. */
    readonly dropConnections: () => void;
    readonly close: () => void;
}

const stepInterval = 20;
const objectPath = /^\/v1\/objects\/([^/?]+)(?:\/([^/?]+)(\/status)?)?$/;

/** Listens on a loopback address. */
export async function serveMetadataStore(store: MetadataStore, host = "127.0.0.1"): Promise<MetadataStoreServer> {
    let faultOf: (call: StoreCall) => StoreFault = () => ({ kind: "none" });
    const calls: Record<string, number> = {};
    const server: Server = createServer((request, response) => void onRequest(request, response));
    await new Promise<void>(resolve => server.listen(0, host, resolve));
    const timer = setInterval(() => store.endExpiredWatches(), stepInterval);

    return {
        address: () => `${host}:${(server.address() as AddressInfo).port}`,
        calls: () => calls,
        setFault: fault => {
            faultOf = fault;
        },
        dropConnections: () => server.closeAllConnections(),
        close() {
            clearInterval(timer);
            server.close();
            server.closeAllConnections();
        },
    };

    async function onRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const url = new URL(request.url ?? "/", "http://store");
        const match = objectPath.exec(url.pathname);
        const body = await readJson(request);
        const method = request.method ?? "GET";
        calls[method] = (calls[method] ?? 0) + 1;
        if (match === null) {
            answer(response, { status: 404 });
            return;
        }
        const [, kind, name, statusPath] = match;
        const isStatus = statusPath !== undefined;
        const isWatch = url.searchParams.has("watch");
        const fault = faultOf({ method, kind, caller: request.socket.remoteAddress ?? "", isWatch, isStatus });
        if (applyFault(fault, request, found => answer(response, found))) {
            return;
        }
        if (isWatch) {
            const since = Number(url.searchParams.get("watch"));
            const wait = milliseconds(Number(url.searchParams.get("wait_ms") ?? 0));
            const cancel = store.watch(kind, since, wait, found => answer(response, found));
            response.on("close", cancel);
            return;
        }
        const act = () => perform({ method, kind, name, isStatus, url, body });
        if (fault.kind === "late") {
            setTimeout(act, fault.afterMs);
            request.socket.destroy();
            return;
        }
        const done = act();
        if (fault.kind === "answerLost") {
            request.socket.destroy();
            return;
        }
        answer(response, done);
    }

    /** Tells the era of the store as it answers, which may not be that in which it was asked. */
    function answer(response: ServerResponse, found: StoreAnswer): void {
        if (response.destroyed) {
            return;
        }
        const era = store.epoch();
        response.writeHead(found.status, {
            "content-type": "application/json",
            ...era === undefined ? {} : { "store-era": String(era) },
        });
        response.end(found.body === undefined ? "" : JSON.stringify(found.body));
    }

    function perform({ body, isStatus, kind, method, name, url }: PerformedCall): StoreAnswer {
        switch (method) {
            case "GET":
                return name !== undefined ? store.get(kind, decodeURIComponent(name)) : store.list(kind, {
                    after: url.searchParams.get("after") ?? undefined,
                    stale: url.searchParams.get("stale") === "1",
                });
            case "POST":
                return store.create(kind, readWrite(body, undefined));
            case "PUT":
                return isStatus
                    ? store.replaceStatus(kind, readWrite(body, name))
                    : store.replace(kind, readWrite(body, name));
            default:
                return { status: 405 };
        }
    }
}

function applyFault(
    fault: StoreFault,
    request: IncomingMessage,
    refuse: (found: StoreAnswer) => void,
): boolean {
    switch (fault.kind) {
        case "none":
        case "answerLost":
        case "late":
            return false;
        case "refused":
            refuse({ status: fault.status });
            return true;
        case "silent":
            return true;
        case "reset":
            request.socket.resetAndDestroy();
            return true;
    }
}

interface WrittenObject {
    readonly metadata?: { readonly name?: string; readonly revision?: number; };
    readonly spec?: unknown;
    readonly status?: unknown;
}

interface PerformedCall {
    readonly method: string;
    readonly kind: string;
    readonly name: string | undefined;
    readonly isStatus: boolean;
    readonly url: URL;
    readonly body: unknown;
}

function readWrite(body: unknown, name: string | undefined): ObjectWrite {
    const { metadata = {}, spec, status } = body as WrittenObject;
    return {
        name: name === undefined ? metadata.name ?? "" : decodeURIComponent(name),
        spec,
        status,
        revision: metadata.revision,
    };
}

async function readJson(request: IncomingMessage): Promise<unknown> {
    const chunks: Buffer[] = [];
    for await (const chunk of request) {
        chunks.push(chunk as Buffer);
    }
    const text = Buffer.concat(chunks).toString("utf8");
    return text === "" ? undefined : JSON.parse(text);
}

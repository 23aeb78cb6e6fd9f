/**
 * Serves the stand-in for the platform's metadata store over HTTP. A test may choose a fault for each call.
 */

import { milliseconds } from "@chalkdale/kernel";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { type EndlessAnswer, sendEndlessAnswer } from "./endless-bytes.js";
import type { MetadataStore, ObjectWrite, StoreAnswer } from "./metadata-store.js";

/** What goes wrong with a call. */
export type StoreFault =
    | { readonly kind: "none"; }
    /** Refused with a status; not performed. */
    | { readonly kind: "refused"; readonly status: number; }
    /** Never answered; not performed. */
    | { readonly kind: "silent"; }
    /** Bytes are sent until the caller closes the connection. */
    | { readonly kind: "endless"; readonly bytes: EndlessAnswer; }
    /** The connection is reset; not performed. */
    | { readonly kind: "reset"; }
    /** Performed, and the connection closes without an answer. */
    | { readonly kind: "answerLost"; }
    /** The connection closes without an answer; performed after the delay. */
    | { readonly kind: "late"; readonly afterMs: number; };

/** The properties of a call by which its fault is chosen. */
interface StoreCall {
    readonly method: string;
    readonly kind: string;
    /** Address of the caller, without its port. */
    readonly caller: string;
    readonly isWatch: boolean;
    /** Whether the call writes the status of an object. */
    readonly isStatus: boolean;
}

/** A served store. */
export interface MetadataStoreServer {
    readonly address: () => string;
    /** Calls so far, by method. */
    readonly calls: () => Readonly<Record<string, number>>;
    setFault: (fault: (call: StoreCall) => StoreFault) => void;
    /** Closes all connections, as a store that goes down does. */
    readonly dropConnections: () => void;
    readonly close: () => void;
}

/** Milliseconds between two checks for expired watches. */
const expiryCheckInterval = 20;
const objectPath = /^\/v1\/objects\/([^/?]+)(?:\/([^/?]+)(\/status)?)?$/;

/** Serves the store at a free port of a loopback address. */
export async function serveMetadataStore(store: MetadataStore, host = "127.0.0.1"): Promise<MetadataStoreServer> {
    let faultOf: (call: StoreCall) => StoreFault = () => ({ kind: "none" });
    const calls: Record<string, number> = {};
    const server: Server = createServer((request, response) => void onRequest(request, response));
    await new Promise<void>(resolve => server.listen(0, host, resolve));
    const timer = setInterval(() => store.endExpiredWatches(), expiryCheckInterval);

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
        if (applyFault(fault, request, refusal => answer(response, refusal))) {
            return;
        }
        if (isWatch) {
            const since = Number(url.searchParams.get("watch"));
            const wait = milliseconds(Number(url.searchParams.get("wait_ms") ?? 0));
            const cancel = store.watch(kind, since, wait, events => answer(response, events));
            response.on("close", cancel);
            return;
        }
        const performCall = () => perform({ method, kind, name, isStatus, url, body });
        if (fault.kind === "late") {
            setTimeout(performCall, fault.afterMs);
            request.socket.destroy();
            return;
        }
        const storeAnswer = performCall();
        if (fault.kind === "answerLost") {
            request.socket.destroy();
            return;
        }
        answer(response, storeAnswer);
    }

    /** Sends the answer with the store's present epoch, which may be later than that at the time of the call. */
    function answer(response: ServerResponse, result: StoreAnswer): void {
        if (response.destroyed) {
            return;
        }
        const epoch = store.epoch();
        response.writeHead(result.status, {
            "content-type": "application/json",
            ...epoch === undefined ? {} : { "store-era": String(epoch) },
        });
        response.end(result.body === undefined ? "" : JSON.stringify(result.body));
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

/** Applies a fault that prevents the call; returns false if the call is performed. */
function applyFault(
    fault: StoreFault,
    request: IncomingMessage,
    refuse: (refusal: StoreAnswer) => void,
): boolean {
    switch (fault.kind) {
        case "none":
        case "answerLost":
        case "late":
            return false;
        case "refused":
            refuse({ status: fault.status });
            return true;
        case "endless":
            sendEndlessAnswer(request.socket, fault.bytes, {});
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

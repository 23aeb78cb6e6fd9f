/**
 * Pooled connections to backend servers, and one exchange over them.
 */

import type { ServerMember } from "@chalkdale/core";
import { urlOf } from "@chalkdale/runtime";
import { type Dispatcher, Pool } from "undici";
import type { RequestBody } from "./request-body.js";

/** What is sent to a backend server. */
export interface OutgoingRequest {
    readonly method: string;
    readonly path: string;
    readonly headers: Record<string, string | string[]>;
    readonly body: RequestBody;
}

/** Who hears of an exchange. Exactly one of `onEnd` and `onFailure` is called last. */
export interface ExchangeListener {
    readonly onHead: (status: number, headers: Record<string, string | string[] | undefined>) => void;
    /** Returns false when no more should come until {@link Exchange.resume}. */
    readonly onData: (chunk: Buffer) => boolean;
    readonly onEnd: () => void;
    readonly onFailure: (failure: ExchangeFailure) => void;
}

/** An exchange that did not end well. */
export interface ExchangeFailure {
    /** False when nothing of the request has left the box. */
    readonly sent: boolean;
    readonly reason: string;
}

/** A running exchange. */
export interface Exchange {
    readonly resume: () => void;
    readonly abort: () => void;
}

/** The connections of one box to all backend servers. */
export interface ServerConnections {
    readonly send: (
        server: ServerMember,
        connections: number,
        request: OutgoingRequest,
        listener: ExchangeListener,
    ) => Exchange;
}

const connectTimeout = 1000;
const idleTimeout = 4000;
/** Milliseconds without a byte of the answer after which it counts as broken off. */
const silenceTimeout = 60_000;
/** Milliseconds after its last use at which a pool is closed. */
const poolLifetime = 60_000;

interface OpenPool {
    readonly pool: Pool;
    running: number;
    usedAt: number;
}

/** Creates the connections; all close when the signal aborts. */
export function createServerConnections(signal: AbortSignal): ServerConnections {
    const pools = new Map<string, OpenPool>();
    const sweep = setInterval(closeUnused, poolLifetime);
    sweep.unref();
    signal.addEventListener("abort", () => {
        clearInterval(sweep);
        pools.forEach(({ pool }) => void pool.destroy().catch(() => undefined));
        pools.clear();
    }, { once: true });

    return {
        send(server, connections, request, listener) {
            const open = poolFor(server, connections);
            open.running++;
            open.usedAt = performance.now();
            return exchange(open.pool, request, listener, () => {
                open.running--;
            });
        },
    };

    function poolFor(server: ServerMember, connections: number): OpenPool {
        const url = urlOf(server);
        let open = pools.get(url);
        if (open === undefined) {
            const pool = new Pool(url, {
                connections,
                pipelining: 1,
                keepAliveTimeout: idleTimeout,
                connect: { timeout: connectTimeout },
                headersTimeout: 0,
                bodyTimeout: silenceTimeout,
            });
            open = { pool, running: 0, usedAt: performance.now() };
            pools.set(url, open);
        }
        return open;
    }

    function closeUnused(): void {
        for (const [url, { pool, running, usedAt }] of pools) {
            if (running === 0 && performance.now() - usedAt > poolLifetime) {
                pools.delete(url);
                void pool.close().catch(() => undefined);
            }
        }
    }
}

function exchange(
    pool: Pool,
    request: OutgoingRequest,
    listener: ExchangeListener,
    onOver: () => void,
): Exchange {
    let controller: Dispatcher.DispatchController | undefined;
    let aborted = false;
    let over = false;
    const abortReason = new Error("given up");

    const handler: Dispatcher.DispatchHandler = {
        onRequestStart(started) {
            controller = started;
            if (aborted) {
                started.abort(abortReason);
            }
        },
        onResponseStart(_, status, headers) {
            if (status >= 200) {
                listener.onHead(status, headers);
            }
        },
        onResponseData(running, chunk) {
            if (!listener.onData(chunk)) {
                running.pause();
            }
        },
        onResponseEnd: () => finish(listener.onEnd),
        onResponseError: (_, error) =>
            finish(() => listener.onFailure({ sent: controller !== undefined, reason: codeOf(error) })),
    };
    try {
        pool.dispatch({
            method: request.method as Dispatcher.HttpMethod,
            path: request.path,
            headers: request.headers,
            body: bodyOf(request.body),
        }, handler);
    }
    catch (error) {
        finish(() => listener.onFailure({ sent: false, reason: codeOf(error) }));
    }
    return {
        resume: () => controller?.resume(),
        abort() {
            aborted = true;
            controller?.abort(abortReason);
        },
    };

    function finish(tell: () => void): void {
        if (over) {
            return;
        }
        over = true;
        onOver();
        tell();
    }
}

function bodyOf(body: RequestBody) {
    switch (body.kind) {
        case "none":
            return undefined;
        case "whole":
            return body.bytes;
        case "stream":
            return body.chunks as never;
    }
}

function codeOf(error: unknown): string {
    return error instanceof Error ? (error as { code?: string; }).code ?? error.message : String(error);
}

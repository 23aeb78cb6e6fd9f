/**
 * The callers' interface: look-ups and requests over HTTP.
 */

import {
    type ActiveRequest,
    type Clock,
    milliseconds,
    parseAddress,
    type RequestError,
    requestError,
    type Router,
    serviceId,
} from "@chalkdale/core";
import { type Address, listenUntilAborted, type Log } from "@chalkdale/runtime";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { Duplex } from "node:stream";
import { errorBody, sendError, sendJson } from "./answers.js";
import { forward, type ForwardEnd, type ForwardOptions } from "./forward.js";
import { ownHeaders } from "./headers.js";
import type { Metrics } from "./metrics.js";
import { openBody } from "./request-body.js";

export interface CallersServerOptions extends ForwardOptions {
    readonly router: Router;
    readonly metrics: Metrics;
    readonly log: Log;
    readonly clock: Clock;
    /** Closes the server and all its connections when it aborts. */
    readonly signal: AbortSignal;
}

const limits = {
    headerBytes: 16 * 1024,
    headerFields: 100,
    headersTimeout: 10_000,
    bodyTimeout: 600_000,
    idleTimeout: 30_000,
    connections: 10_000,
} as const;

/** Longest deadline that a caller may set, in milliseconds. */
const longestDeadline = 86_400_000;
const servicePath = /^\/v1\/services\/([^/?]+)(\/[^?]*)?(\?.*)?$/;

/** Listens for callers; resolves when it does. */
export async function serveCallers(address: Address, options: CallersServerOptions): Promise<Server> {
    const server = createServer({
        maxHeaderSize: limits.headerBytes,
        headersTimeout: limits.headersTimeout,
        requestTimeout: limits.bodyTimeout,
        keepAliveTimeout: limits.idleTimeout,
    }, (request, response) => void handle(request, response, options));
    server.maxConnections = limits.connections;
    server.maxHeadersCount = limits.headerFields;
    server.on("clientError", answerClientError);
    await listenUntilAborted(server, address, options.signal);
    return server;
}

/** Answers what could not even be parsed, and closes the connection. */
function answerClientError(error: NodeJS.ErrnoException, socket: Duplex): void {
    if (!socket.writable || error.code === "ECONNRESET") {
        socket.destroy();
        return;
    }
    const tooLarge = error.code === "HPE_HEADER_OVERFLOW";
    const body = `${JSON.stringify(errorBody(requestError(tooLarge ? "headerTooLarge" : "badRequest"), []))}\n`;
    const status = tooLarge ? "431 Request Header Fields Too Large" : "400 Bad Request";
    const head = [
        `HTTP/1.1 ${status}`,
        "content-type: application/json",
        `content-length: ${Buffer.byteLength(body)}`,
        `${ownHeaders.error}: ${tooLarge ? "headerTooLarge" : "badRequest"}`,
        `${ownHeaders.ran}: not-run`,
        "connection: close",
    ];
    socket.end(`${head.join("\r\n")}\r\n\r\n${body}`);
}

async function handle(
    request: IncomingMessage,
    response: ServerResponse,
    options: CallersServerOptions,
): Promise<void> {
    response.on("error", () => response.destroy());
    try {
        const url = request.url ?? "";
        if (url === "/v1/lookup" || url.startsWith("/v1/lookup?")) {
            answerLookup(request, response, options);
            return;
        }
        const match = servicePath.exec(url);
        if (match === null) {
            refuse(request, response, requestError("badRequest", { detail: "no such path" }), options);
            return;
        }
        await serve(request, response, { service: match[1], path: `${match[2] ?? "/"}${match[3] ?? ""}` }, options);
    }
    catch (error) {
        options.log.error("request.fault", { reason: error instanceof Error ? error.stack : String(error) });
        sendError(response, requestError("internalFault"));
    }
}

/** Answers an error before the body was read; what is left of the body is not waited for. */
function refuse(
    request: IncomingMessage,
    response: ServerResponse,
    error: RequestError,
    options: CallersServerOptions,
): void {
    if (!request.complete) {
        response.shouldKeepAlive = false;
        request.resume();
    }
    sendError(response, error, otherBoxes(request, options));
}

function otherBoxes(request: IncomingMessage, { router, box }: CallersServerOptions) {
    const service = router.settings()?.services.keys().next().value;
    if (service === undefined) {
        return [];
    }
    const query = { service, callerAddress: callerAddress(request, router), wantsTicket: false };
    const answer = router.lookUp(query);
    return answer.ok ? answer.val.boxes.filter(named => named.box !== box) : [];
}

function answerLookup(request: IncomingMessage, response: ServerResponse, options: CallersServerOptions): void {
    const query = new URL(request.url ?? "", "http://box").searchParams;
    const service = query.get("service");
    options.metrics.lookup();
    if (request.method !== "GET" || service === null) {
        refuse(request, response, requestError("badRequest", { detail: "GET /v1/lookup?service=NAME" }), options);
        return;
    }
    const answer = options.router.lookUp({
        service: serviceId(service),
        callerAddress: callerAddress(request, options.router),
        wantsTicket: query.get("ticket") === "1",
    });
    if (answer.err) {
        refuse(request, response, answer.val, options);
        return;
    }
    const cacheSeconds = Math.floor(answer.val.lifetime / 1000);
    const cacheControl = answer.val.ticket === undefined ? `private, max-age=${cacheSeconds}` : "no-store";
    sendJson(response, 200, answer.val, { "cache-control": cacheControl });
}

/** The caller's address: that of the connection, unless a trusted forwarder names another. */
function callerAddress(request: IncomingMessage, router: Router): string {
    const address = request.socket.remoteAddress ?? "";
    const trusted = router.settings()?.root.trustedForwarders ?? [];
    const plain = address.startsWith("::ffff:") ? address.slice("::ffff:".length) : address;
    if (!trusted.includes(plain)) {
        return plain;
    }
    const named = String(request.headers["x-forwarded-for"] ?? "").split(",").at(-1)?.trim() ?? "";
    return parseAddress(named) === undefined ? plain : named;
}

interface ServiceTarget {
    readonly service: string;
    readonly path: string;
}

async function serve(
    request: IncomingMessage,
    response: ServerResponse,
    target: ServiceTarget,
    options: CallersServerOptions,
): Promise<void> {
    const deadline = readDeadline(request);
    if (deadline === "malformed") {
        const detail = `${ownHeaders.deadline} takes milliseconds`;
        refuse(request, response, requestError("badRequest", { detail }), options);
        return;
    }
    const begun = options.router.begin({
        service: serviceId(target.service),
        callerAddress: callerAddress(request, options.router),
        method: request.method ?? "GET",
        remaining: deadline,
        ticket: singleHeader(request, ownHeaders.ticket),
    });
    if (begun.err) {
        const known = begun.val.kind !== "unknownService" && begun.val.kind !== "notReady";
        options.metrics.ended(known ? target.service : "", "", begun.val.kind, 0);
        refuse(request, response, begun.val, options);
        return;
    }
    await carry(request, response, begun.val, { ...target, deadlineCoversBody: deadline !== undefined }, options);
}

function readDeadline(request: IncomingMessage): number | undefined | "malformed" {
    const text = singleHeader(request, ownHeaders.deadline);
    if (text === undefined) {
        return undefined;
    }
    if (!/^\d{1,9}$/.test(text)) {
        return "malformed";
    }
    return milliseconds(Math.min(Number(text), longestDeadline));
}

function singleHeader(request: IncomingMessage, name: string): string | undefined {
    const value = request.headers[name];
    return Array.isArray(value) ? value[0] : value;
}

async function carry(
    request: IncomingMessage,
    response: ServerResponse,
    active: ActiveRequest,
    target: ServiceTarget & { readonly deadlineCoversBody: boolean; },
    options: CallersServerOptions,
): Promise<void> {
    try {
        const body = await openBody(request, active.service.values.maximumBodyBytes);
        const end: ForwardEnd = body.err
            ? { kind: "failed", error: body.val }
            : await forward({
                request,
                response,
                active,
                body: body.val,
                path: target.path,
                callerAddress: callerAddress(request, options.router),
                deadlineCoversBody: target.deadlineCoversBody,
                atMostOnce: request.headers[ownHeaders.ticket] !== undefined,
            }, options);
        finish(request, response, active, end, options);
    }
    catch (error) {
        active.end({ kind: "unknown" });
        throw error;
    }
}

function finish(
    request: IncomingMessage,
    response: ServerResponse,
    active: ActiveRequest,
    end: ForwardEnd,
    options: CallersServerOptions,
): void {
    const latency = options.clock() - active.startedAt;
    const zone = active.zone?.id ?? "";
    const service = active.service.id;
    switch (end.kind) {
        case "answered":
            active.end({ kind: "answered", status: end.status });
            options.metrics.ended(service, zone, "answered", latency);
            return;
        case "brokenOff":
            active.end({ kind: "unknown" });
            options.metrics.ended(service, zone, end.by === "caller" ? "callerCancelled" : "brokenOff", latency);
            return;
        case "failed": {
            const body = errorBody(end.error, []);
            active.end(body.ran === "not-run" ? { kind: "refused" } : { kind: "unknown" });
            options.metrics.ended(service, zone, end.error.kind, latency);
            refuse(request, response, end.error, options);
            return;
        }
    }
}

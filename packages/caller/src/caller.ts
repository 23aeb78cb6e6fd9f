/**
 * Client for callers written in Node.
 *
 * It keeps look-up answers for their lifetime, tries another box only where
 * the request is known not to have run or may safely run twice, and passes
 * deadline and cancellation on.
 */

import {
    Err,
    errorAnswers,
    type ErrorKind,
    type LookupAnswer,
    type NamedBox,
    Ok,
    type RanState,
    type Result,
} from "@chalkdale/core";
import { Agent, type Dispatcher } from "undici";
import { createLookupCache } from "./lookup-cache.js";

/** A request to a service. */
export interface CallerRequest {
    readonly service: string;
    /** Path and query at the backend server, starting with `/`. */
    readonly path: string;
    readonly method?: Dispatcher.HttpMethod;
    readonly headers?: Readonly<Record<string, string>>;
    readonly body?: string | Uint8Array;
    /** Milliseconds until the caller gives up. */
    readonly deadline?: number;
    readonly signal?: AbortSignal;
    /** Runs the request at most once, under a ticket. */
    readonly once?: boolean;
}

/** An answer of a backend server; its body may still be coming. */
export interface CallerResponse {
    readonly status: number;
    readonly headers: Readonly<Record<string, string | string[] | undefined>>;
    readonly body: Dispatcher.ResponseData["body"];
}

/** A request that got no answer from a backend server. */
export interface CallerError {
    /** The system's kind, or `unreachable` when no box could be reached, or `cancelled`. */
    readonly kind: ErrorKind | "unreachable" | "cancelled";
    readonly ran: RanState;
    /** Milliseconds after which to come back. */
    readonly retryAfter?: number;
    readonly detail?: string;
}

/** A client. */
export interface Caller {
    readonly request: (request: CallerRequest) => Promise<Result<CallerResponse, CallerError>>;
    readonly lookUp: (service: string, signal?: AbortSignal) => Promise<Result<LookupAnswer, CallerError>>;
    readonly close: () => Promise<void>;
}

export interface CallerOptions {
    /** Addresses `IP:PORT` of a few entry boxes. */
    readonly boxes: readonly string[];
    /** Attempts for one request, waits included. */
    readonly attempts?: number;
    /** Local address to send from. */
    readonly localAddress?: string;
    /** Milliseconds of a monotonic clock. */
    readonly clock?: () => number;
    readonly wait?: (milliseconds: number) => Promise<void>;
}

const defaultAttempts = 4;
const defaultDeadline = 10_000;
const connectTimeout = 1000;
const safeMethods = new Set<string>(["GET", "HEAD", "OPTIONS"]);

/** Creates a client. */
export function createCaller(options: CallerOptions): Caller {
    const clock = options.clock ?? (() => performance.now());
    const wait = options.wait ?? (duration => new Promise(resolve => setTimeout(resolve, duration)));
    const agent = new Agent({
        connections: 64,
        keepAliveTimeout: 20_000,
        headersTimeout: 0,
        bodyTimeout: 0,
        connect: { timeout: connectTimeout },
        localAddress: options.localAddress,
    });
    const lookups = createLookupCache({ ask, clock });

    return {
        request,
        lookUp: (service, signal) => lookups.get(service, signal),
        close: () => agent.close(),
    };

    /** Asks the known addresses in turn. */
    async function ask(
        service: string,
        ticket: boolean,
        signal?: AbortSignal,
    ): Promise<Result<LookupAnswer, CallerError>> {
        let failure: CallerError = { kind: "unreachable", ran: "not-run" };
        const known = lookups.latest(service)?.boxes.map(addressOf) ?? [];
        for (const address of new Set([...known, ...options.boxes])) {
            const answer = await exchange(address, {
                method: "GET",
                path: `/v1/lookup?service=${encodeURIComponent(service)}${ticket ? "&ticket=1" : ""}`,
                signal,
            });
            if (answer.kind === "response" && answer.response.status === 200) {
                return Ok(await answer.response.body.json() as LookupAnswer);
            }
            failure = await errorOf(answer, true);
            if (failure.kind === "unknownService" || failure.kind === "cancelled") {
                break;
            }
        }
        return Err(failure);
    }

    async function request(wanted: CallerRequest): Promise<Result<CallerResponse, CallerError>> {
        const deadline = clock() + (wanted.deadline ?? defaultDeadline);
        const state: AttemptState = { tried: new Set(), failure: { kind: "unreachable", ran: "not-run" } };
        for (let attempt = 0; attempt < (options.attempts ?? defaultAttempts); attempt++) {
            if (wanted.signal?.aborted === true) {
                return Err({ kind: "cancelled", ran: state.failure.ran });
            }
            const outcome = await attemptOnce(wanted, deadline, state);
            if (outcome.ok) {
                return outcome;
            }
            state.failure = outcome.val;
            const pause = pauseBefore(outcome.val, wanted);
            if (pause === undefined || clock() + pause >= deadline) {
                break;
            }
            await wait(pause);
        }
        return Err(state.failure);
    }

    async function attemptOnce(
        wanted: CallerRequest,
        deadline: number,
        state: AttemptState,
    ): Promise<Result<CallerResponse, CallerError>> {
        const found = wanted.once === true
            ? await ask(wanted.service, true, wanted.signal)
            : await lookups.get(wanted.service, wanted.signal);
        if (found.err) {
            return found;
        }
        const box = wanted.once === true ? found.val.boxes[0] : nextBox(found.val, state.tried);
        if (box === undefined || (wanted.once === true && found.val.ticket === undefined)) {
            return Err({ kind: "unreachable", ran: "not-run" });
        }
        state.tried.add(box.box);
        const sent = await exchange(addressOf(box), {
            method: wanted.method ?? "GET",
            path: `/v1/services/${encodeURIComponent(wanted.service)}${wanted.path}`,
            headers: {
                ...wanted.headers,
                "chalkdale-deadline-ms": String(Math.max(0, Math.floor(deadline - clock()))),
                ...(found.val.ticket === undefined ? {} : { "chalkdale-ticket": found.val.ticket }),
            },
            body: wanted.body,
            signal: wanted.signal,
        });
        if (sent.kind === "response" && sent.response.headers["chalkdale-error"] === undefined) {
            return Ok(sent.response);
        }
        const error = await errorOf(sent, false);
        if (error.kind === "unreachable" || error.kind === "boxLeaving") {
            lookups.drop(wanted.service);
        }
        return Err(error);
    }

    async function exchange(address: string, sent: SentRequest): Promise<Exchanged> {
        try {
            const { statusCode, headers, body } = await agent.request({
                origin: `http://${address}`,
                method: sent.method,
                path: sent.path,
                headers: sent.headers,
                body: sent.body,
                signal: sent.signal,
            });
            return { kind: "response", response: { status: statusCode, headers, body } };
        }
        catch (error) {
            const code = (error as { code?: string; }).code ?? String(error);
            return sent.signal?.aborted === true
                ? { kind: "cancelled" }
                : { kind: "broken", sent: !notSentCodes.has(code), code };
        }
    }
}

interface AttemptState {
    readonly tried: Set<string>;
    failure: CallerError;
}

interface SentRequest {
    readonly method: Dispatcher.HttpMethod;
    readonly path: string;
    readonly headers?: Readonly<Record<string, string>>;
    readonly body?: string | Uint8Array;
    readonly signal?: AbortSignal;
}

type Exchanged =
    | { readonly kind: "response"; readonly response: CallerResponse; }
    | { readonly kind: "broken"; readonly sent: boolean; readonly code: string; }
    | { readonly kind: "cancelled"; };

const notSentCodes = new Set(["ECONNREFUSED", "EHOSTUNREACH", "ENETUNREACH", "UND_ERR_CONNECT_TIMEOUT"]);

function addressOf({ address, port }: NamedBox): string {
    return address.includes(":") ? `[${address}]:${port}` : `${address}:${port}`;
}

/** The first box that was not tried yet, or the first of all. */
function nextBox(answer: LookupAnswer, tried: ReadonlySet<string>): NamedBox | undefined {
    return answer.boxes.find(named => !tried.has(named.box)) ?? answer.boxes[0];
}

async function errorOf(exchanged: Exchanged, isLookup: boolean): Promise<CallerError> {
    switch (exchanged.kind) {
        case "cancelled":
            return { kind: "cancelled", ran: isLookup ? "not-run" : "unknown" };
        case "broken":
            return {
                kind: "unreachable",
                ran: exchanged.sent && !isLookup ? "unknown" : "not-run",
                detail: exchanged.code,
            };
        case "response":
            return readError(exchanged.response);
    }
}

async function readError({ status, headers, body }: CallerResponse): Promise<CallerError> {
    const text = await body.text().catch(() => "");
    const kind = String(headers["chalkdale-error"] ?? "");
    if (!(kind in errorAnswers)) {
        return { kind: "internalFault", ran: "unknown", detail: `status ${status}` };
    }
    const retryAfter = headers["chalkdale-retry-after-ms"];
    return {
        kind: kind as ErrorKind,
        ran: String(headers["chalkdale-ran"]) as RanState,
        ...(retryAfter === undefined ? {} : { retryAfter: Number(retryAfter) }),
        detail: text.trim(),
    };
}

/** Milliseconds to wait before another attempt; undefined when there should be none. */
function pauseBefore(error: CallerError, wanted: CallerRequest): number | undefined {
    const mayRunAgain = error.ran === "not-run"
        || (error.ran === "unknown" && wanted.once !== true && safeMethods.has(wanted.method ?? "GET"));
    if (!mayRunAgain || error.kind === "cancelled") {
        return undefined;
    }
    if (error.kind === "unreachable") {
        return 0;
    }
    const answer = errorAnswers[error.kind as ErrorKind];
    return answer.tryOtherBox ? 0 : error.retryAfter;
}

/**
 * Requests of a session: each goes through the router of its box to the fake
 * servers, as the forwarding does with sockets.
 */

import { type ActiveRequest, errorAnswers, type RanState, type RequestError, serviceId } from "@chalkdale/core";
import type { FakeServers } from "./fake-servers.js";
import type { SessionBox } from "./placement.js";

/** A request of a session. */
export interface SessionRequest {
    readonly box: string;
    readonly service: string;
    readonly caller: string;
    readonly method?: string;
    readonly ticket?: string;
    /** Name under which the backend server notes that it ran. */
    readonly operation?: string;
    readonly deadline?: number;
}

/** How a request of a session ended. */
export interface SessionResult {
    readonly request: SessionRequest;
    readonly startedAt: number;
    endedAt: number;
    kind: "running" | "answered" | RequestError["kind"];
    ran: RanState;
    zone: string;
    server: string;
    retryAfter: number | undefined;
}

export interface SessionRequestsOptions {
    readonly now: () => number;
    readonly servers: FakeServers;
    readonly box: (id: string) => SessionBox;
}

/** Sends requests and keeps their results. */
export interface SessionRequests {
    /** Sends a request now; its result fills in as time passes. */
    readonly send: (request: SessionRequest) => SessionResult;
    readonly results: readonly SessionResult[];
}

/** Creates the sender of a session. */
export function createSessionRequests(options: SessionRequestsOptions): SessionRequests {
    const { box, now, servers } = options;
    const results: SessionResult[] = [];

    return { send, results };

    function send(request: SessionRequest): SessionResult {
        const result: SessionResult = {
            request,
            startedAt: now(),
            endedAt: now(),
            kind: "running",
            ran: "unknown",
            zone: "",
            server: "",
            retryAfter: undefined,
        };
        results.push(result);
        const target = box(request.box);
        if (target.router === undefined || target.paused) {
            result.kind = "serverUnreachable";
            result.ran = "not-run";
            return result;
        }
        const begun = target.router.begin({
            service: serviceId(request.service),
            callerAddress: request.caller,
            method: request.method ?? "GET",
            remaining: request.deadline,
            ticket: request.ticket,
        });
        if (begun.err) {
            refuse(result, begun.val);
            return result;
        }
        attempt(result, begun.val, undefined);
        return result;
    }

    /** As the forwarding does: another server where the first did not run it. */
    function attempt(result: SessionResult, active: ActiveRequest, failure: RequestError | undefined): void {
        const assigned = active.assign();
        if (assigned.err) {
            const error = failure ?? assigned.val;
            refuse(result, error);
            active.end(errorAnswers[error.kind].ran === "not-run" ? { kind: "refused" } : { kind: "unknown" });
            return;
        }
        result.zone = active.zone.id;
        result.server = assigned.val.id;
        servers.run(assigned.val.id, result.request.operation, outcome => {
            active.settle(outcome);
            switch (outcome.kind) {
                case "answered":
                    result.kind = "answered";
                    result.ran = "ran";
                    result.endedAt = now();
                    active.end({ kind: "answered", status: outcome.serverError ? 500 : 200 });
                    return;
                case "shed":
                case "unreachable":
                    return retryOrRefuse(result, active, {
                        kind: outcome.kind === "shed" ? "serverShed" : "serverUnreachable",
                    });
                case "brokeOff":
                case "abandoned":
                    refuse(result, { kind: "serverBrokeOff" });
                    active.end({ kind: "unknown" });
                    return;
            }
        });
    }

    function retryOrRefuse(result: SessionResult, active: ActiveRequest, error: RequestError): void {
        if (active.mayRetry()) {
            attempt(result, active, error);
            return;
        }
        refuse(result, error);
        active.end({ kind: "refused" });
    }

    function refuse(result: SessionResult, error: RequestError): void {
        const answer = errorAnswers[error.kind];
        result.kind = error.kind;
        result.ran = answer.ran;
        result.endedAt = now();
        result.retryAfter = error.retryAfter ?? answer.retryAfter;
    }
}

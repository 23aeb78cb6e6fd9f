/**
 * One attempt at the chosen server: over a connection of this box or, while its path to
 * the server is cut, through another box.
 *
 * Owns nothing; relies on the path monitor for the way to the server.
 */

import type { Clock } from "@chalkdale/kernel";
import type { PathMonitor } from "../paths/path-monitor.js";
import type { AttemptOutcome, AttemptRequest } from "./attempt-request.js";
import type { DirectAttempt } from "./direct-attempt.js";
import type { ForwardedAttempt } from "./forwarded-attempt.js";
import type { ServerFeedback } from "./server-feedback.js";

export interface AttemptOptions {
    readonly clock: Clock;
    readonly paths: Pick<PathMonitor, "pathTo" | "isKnownCut" | "onConnectFailed" | "onNotForwarded">;
    readonly attemptDirectly: DirectAttempt;
    readonly attemptThroughOthers: ForwardedAttempt;
    readonly feedback: Pick<ServerFeedback, "onConnectFailure">;
}

/** Returns the function that makes attempts; its promise never rejects. */
export function createAttempt(options: AttemptOptions): (request: AttemptRequest) => Promise<AttemptOutcome> {
    const { clock, feedback, paths } = options;

    return async function attempt(request) {
        const { state } = request.server;
        let isSent = false;
        const onNotSent = state.onChosen(clock());
        const outcome = await attemptOnPath({
            ...request,
            onSend() {
                isSent = true;
                request.onSend();
            },
        });
        if (!isSent) {
            onNotSent();
        }
        return outcome;
    };

    function attemptOnPath(request: AttemptRequest): Promise<AttemptOutcome> | AttemptOutcome {
        switch (paths.pathTo(request.server)) {
            case "direct":
                return tryDirectly(request);
            case "viaPeer":
                return tryThroughOthers(request);
            case "none":
                return { kind: "notSent", reason: "box is isolated" };
        }
    }

    async function tryDirectly(request: AttemptRequest): Promise<AttemptOutcome> {
        const ended = await attemptDirectly(request);
        return ended === "cut" ? tryThroughOthers(request) : ended;
    }

    /** Resolves with `cut` if no connection could be opened and another box reaches the server. */
    async function attemptDirectly(request: AttemptRequest): Promise<AttemptOutcome | "cut"> {
        const ended = await options.attemptDirectly(request);
        switch (ended.kind) {
            case "ended":
                return ended.outcome;
            case "withheld":
                return { kind: "notSent", reason: ended.reason };
            case "notConnected":
                return ended.failure === "unreachable" && await paths.onConnectFailed(request.server)
                    ? "cut"
                    : feedback.onConnectFailure(request, ended.failure);
        }
    }

    /** If no box forwards the request, it is tried directly, unless that has just failed. */
    async function tryThroughOthers(request: AttemptRequest): Promise<AttemptOutcome> {
        const outcome = await options.attemptThroughOthers(request);
        if (outcome !== undefined) {
            return outcome;
        }
        if (request.signal.aborted) {
            return { kind: "cancelled" };
        }
        if (!paths.isKnownCut(request.server)) {
            const ended = await attemptDirectly(request);
            return ended === "cut" ? { kind: "notSent", reason: "no box forwards to the server" } : ended;
        }
        paths.onNotForwarded(request.server);
        return feedback.onConnectFailure(request, "unreachable");
    }
}

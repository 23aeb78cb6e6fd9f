/**
 * An attempt through another box, while the path of this box to the server is cut.
 *
 * Boxes are tried in turn as long as nothing was sent; once one states that it has sent the request, or is lost before
 * it says so, the attempt is that box's alone. Owns nothing beyond one attempt.
 */

import {
    connectTimeout,
    type ForwardingBoxes,
    type MemberRecord,
    overdueThreshold,
    type Send,
} from "@chalkdale/decisions";
import { type Clock, type Milliseconds, milliseconds } from "@chalkdale/kernel";
import type { ForwardingClient, ForwardingOutcome } from "../paths/forwarding-client.js";
import { type AttemptOutcome, type AttemptRequest, sendResultOf } from "./attempt-request.js";
import { startOverdueCheck } from "./overdue-check.js";
import type { ServerFeedback } from "./server-feedback.js";
import type { FindTermination } from "./server-termination.js";

export interface ForwardedAttemptOptions {
    readonly clock: Clock;
    readonly client: ForwardingClient;
    readonly forwardingBoxes: ForwardingBoxes;
    readonly feedback: ServerFeedback;
    readonly findTermination: FindTermination;
    /** Time to a box and back. */
    readonly roundTripToBox: (box: MemberRecord) => Milliseconds;
    /** True once another incarnation, or a later server at the same address, is listed. */
    readonly hasSuccessor: (server: AttemptRequest["server"]) => boolean;
    /** Counts the bytes of a request and its answer on the way to the other box. */
    readonly countBytes: (box: MemberRecord, bytes: number) => void;
    /** Called for each attempt that a box has taken over. */
    readonly onForwarded: (request: AttemptRequest, box: MemberRecord) => void;
    /** Called when a server has answered through another box. */
    readonly onAnswered: (server: AttemptRequest["server"]) => void;
}

/** The end of a forwarded attempt; undefined if no box forwarded it, and nothing was sent. */
export type ForwardedAttempt = (request: AttemptRequest) => Promise<AttemptOutcome | undefined>;

/** Boxes that are tried for one attempt. */
const maxBoxes = 4;
/** How often an attempt is sent again to a box that was held up when it arrived. */
const maxRepeats = 3;
/** Milliseconds that another box may take to read a request and to send it on, beyond round trips and connections. */
const sendMargin = 250;

/** Returns the function that makes forwarded attempts; its promise never rejects. */
export function createForwardedAttempt(options: ForwardedAttemptOptions): ForwardedAttempt {
    const { client, clock, feedback, forwardingBoxes } = options;

    return async function attemptThroughOthers(request) {
        const { allowedRegions, server, signal } = request;
        const boxes = forwardingBoxes.ranked({ server: server.state.record(), allowedRegions }, maxBoxes, clock());
        for (const box of boxes) {
            if (signal.aborted) {
                return { kind: "cancelled" };
            }
            const outcome = await attemptThrough(request, box, maxRepeats);
            if (outcome !== undefined) {
                return outcome;
            }
        }
        return undefined;
    };

    async function attemptThrough(
        request: AttemptRequest,
        box: MemberRecord,
        repeats: number,
    ): Promise<AttemptOutcome | undefined> {
        const { server } = request;
        let sentAt: Milliseconds | undefined;
        let recorded: Send | undefined;
        const overdueCheck = startOverdueCheck(
            overdueThreshold(request.expected),
            () => hasEnded(request, box),
        );
        const endInProgress = forwardingBoxes.onBegin(box.box);
        const outcome = await client.forward({
            box,
            head: {
                server: server.id,
                method: request.method,
                path: request.path,
                rawHeaders: request.rawHeaders,
                requestId: request.requestId,
                timeLeft: Math.floor(request.timeLeft()),
                isIdempotent: request.isIdempotent,
                knowsHeldUp: true,
            },
            body: request.body,
            connectTimeout: connectTimeout(options.roundTripToBox(box)),
            sendTimeout: request.isIdempotent ? sendTimeoutOf(request, box) : undefined,
            signal: AbortSignal.any([request.signal, overdueCheck.signal]),
            answerMemory: request.answerMemory,
            confirmCaller: request.caller.confirm,
            onHandOver() {
                recorded = request.sends.begin(server.id, { kind: "box", box: box.box });
                return recorded !== undefined;
            },
            onSent: markSent,
        });
        overdueCheck.end();
        endInProgress();
        if (outcome.kind === "lost" || outcome.kind === "cancelled" && outcome.mayBeSent) {
            // It counts as sent: a refusal would promise that it never runs.
            markSent();
        }
        if (outcome.kind === "notSent") {
            recorded?.end({ kind: "notSent", reason: outcome.reason });
        }
        if (outcome.kind === "notSent" && outcome.reason === "heldUp" && repeats > 0 && !request.signal.aborted) {
            return attemptThrough(request, box, repeats - 1);
        }
        const ended = applyOutcome(request, box, outcome, sentAt);
        if (ended !== undefined) {
            recorded?.end(sendResultOf(ended));
        }
        return ended;

        function markSent(): void {
            if (sentAt === undefined) {
                sentAt = clock();
                request.onSend();
                server.state.onSent();
                options.onForwarded(request, box);
            }
        }
    }

    function sendTimeoutOf(request: AttemptRequest, box: MemberRecord): Milliseconds {
        return milliseconds(options.roundTripToBox(box) + connectTimeout(request.roundTrip) + sendMargin);
    }

    function applyOutcome(
        request: AttemptRequest,
        box: MemberRecord,
        outcome: ForwardingOutcome,
        sentAt: Milliseconds | undefined,
    ): AttemptOutcome | undefined {
        switch (outcome.kind) {
            case "notSent":
                onRefused(box, outcome.reason);
                return undefined;
            case "answer":
                forwardingBoxes.onReached(box.box, clock());
                options.onAnswered(request.server);
                options.countBytes(box, request.body.length + outcome.answer.body.length);
                return feedback.onAnswer(request, undefined, outcome.answer, sentAt ?? clock());
            case "broken": {
                const broken = feedback.onBroken(request, outcome.reason, false);
                return outcome.closedByServer
                    ? { ...broken, serverTerminatedAt: options.findTermination(request.server) }
                    : broken;
            }
            case "lost":
                forwardingBoxes.onFailed(box.box, clock());
                return feedback.onForwardingLost(request, `through ${box.box}: ${outcome.reason}`);
            case "cancelled":
                if (sentAt === undefined) {
                    return request.signal.aborted ? { kind: "cancelled" } : undefined;
                }
                if (request.signal.aborted) {
                    return feedback.onCancelled(request, sentAt, milliseconds(0));
                }
                forwardingBoxes.onFailed(box.box, clock());
                return feedback.onForwardingLost(request, `through ${box.box}: answer overdue, box or server ended`);
        }
    }

    function onRefused(box: MemberRecord, reason: string): void {
        if (reason === "unsupported") {
            forwardingBoxes.onUnsupported(box);
            return;
        }
        forwardingBoxes.onFailed(box.box, clock());
    }

    /** True if the other box no longer answers or no longer reaches the server. Never rejects. */
    async function hasEnded({ isIdempotent, server }: AttemptRequest, box: MemberRecord): Promise<boolean> {
        if (options.hasSuccessor(server)) {
            return true;
        }
        const timeout = milliseconds(options.roundTripToBox(box) + 2 * connectTimeout(options.roundTripToBox(box)));
        return isIdempotent && await client.askReach(box, server.id, timeout) !== "reached";
    }
}

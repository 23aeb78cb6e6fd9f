/**
 * Keeps poison requests, which terminate the servers that run them, away from the
 * servers of all boxes.
 *
 * Tracks each request while it is served, which costs only an entry in a set as long as
 * no server terminates. When a server terminates while it runs a request, the request is
 * identified by its fingerprint, and the termination is sent to the boxes that collect
 * those of that request. They inform all boxes once the request must be served one at a
 * time, or not at all.
 *
 * Owns the records of this box; relies on the decisions for how a request may be
 * served, on attempts for whether a server terminated, and on messages between boxes.
 */

import {
    type BackendServer,
    createPoisonRequests,
    endsSinceLastAnswer,
    isSuccessStatus,
    type PoisonRequestChange,
    requiresBroadcast,
    restrictionOf,
} from "@chalkdale/decisions";
import {
    answerId,
    type Milliseconds,
    type RequestFingerprint,
    type ServerIncarnationId,
    serverIncarnationId,
} from "@chalkdale/kernel";
import type { Log } from "@chalkdale/runtime";
import type { ActiveRequest } from "../requests/active-request.js";
import type { AttemptOutcome } from "../requests/attempt-request.js";
import { createPoisonRequestGossip, type PoisonRequestGossipOptions } from "./poison-request-gossip.js";
import { decodePoisonRequestReport, type PoisonRequestReport } from "./poison-request-messages.js";
import { createRequestsInProgress, type RequestInProgress } from "./requests-in-progress.js";

export interface PoisonRequestGuardOptions extends Omit<PoisonRequestGossipOptions, "poisonRequests"> {
    readonly log: Log;
}

/** A request that is tracked while it is served. */
export interface TrackedRequest {
    /** True once the request and its attempts have been aborted because its fingerprint is held. */
    readonly isStopped: () => boolean;
    /** True if servers have terminated while they ran requests with its fingerprint: it gets no hedged attempts. */
    readonly isExcludedFromHedging: () => boolean;
    /** Waits until the request may be sent to a server. Never rejects. */
    readonly waitForPermission: () => Promise<"go" | "refuse" | "callerLeft">;
    /** An attempt ended; whether its server terminated may not be known yet. */
    readonly onAttemptEnded: (server: BackendServer, outcome: AttemptOutcome) => void;
    /** The request is completed; it is no longer tracked. */
    readonly end: () => void;
}

/** The guard of one box. */
export interface PoisonRequestGuard {
    /** Begins to track a request; `controller` aborts its attempts. */
    readonly track: (active: ActiveRequest, body: Buffer, controller: AbortController) => TrackedRequest;
    /** Reports from another box arrived. */
    readonly onReports: (reports: readonly PoisonRequestReport[]) => void;
    /** Returns the reports for the next gossip message; undefined if there are none. */
    readonly gossipPayload: () => readonly PoisonRequestReport[] | undefined;
    /** Repeats recent terminations and removes old records. To be called in each gossip round. */
    readonly onGossipRound: () => void;
    /** Number of requests that are held now. */
    readonly heldCount: () => number;
}

/** Creates the guard of a box without any records. */
export function createPoisonRequestGuard(options: PoisonRequestGuardOptions): PoisonRequestGuard {
    const { clock, log, self } = options;
    const poisonRequests = createPoisonRequests();
    const requests = createRequestsInProgress();
    const gossip = createPoisonRequestGossip({ ...options, poisonRequests });
    let answerCount = 0;

    return {
        track(active, body, controller) {
            const request = requests.begin(active, body, controller);
            return {
                isStopped: () => request.isStopped,
                isExcludedFromHedging: () => suspectedFingerprint(request) !== undefined,
                waitForPermission: () => waitForPermission(request),
                onAttemptEnded: (server, outcome) => void onAttemptEnded(request, server, outcome),
                end: () => requests.end(request),
            };
        },
        onReports(reports) {
            const now = clock();
            reports.forEach(report => onReport(report, now));
        },
        gossipPayload: gossip.gossipPayload,
        onGossipRound() {
            gossip.onGossipRound();
            poisonRequests.sweep(clock());
        },
        heldCount: () =>
            poisonRequests.records().filter(({ fingerprint }) => poisonRequests.restriction(fingerprint) === "held")
                .length,
    };

    async function waitForPermission(request: RequestInProgress): Promise<"go" | "refuse" | "callerLeft"> {
        const { signal } = request.controller;
        for (;;) {
            if (request.isStopped) {
                return "refuse";
            }
            if (signal.aborted) {
                return "callerLeft";
            }
            const fingerprint = suspectedFingerprint(request);
            const decision = fingerprint === undefined ? "go" : decide(fingerprint);
            if (decision !== "wait") {
                request.pendingAttempts += decision === "go" ? 1 : 0;
                request.active.fingerprint = fingerprint;
                return decision;
            }
            await requests.nextChange(signal);
        }
    }

    function decide(fingerprint: RequestFingerprint): "go" | "wait" | "refuse" {
        const at = clock();
        poisonRequests.onSeen(fingerprint, at);
        return poisonRequests.decide(fingerprint, {
            at,
            isInProgress: requests.withFingerprint(fingerprint).some(({ pendingAttempts }) => pendingAttempts > 0),
            makesTrials: gossip.makesTrials(fingerprint),
        }).kind;
    }

    async function onAttemptEnded(
        request: RequestInProgress,
        server: BackendServer,
        outcome: AttemptOutcome,
    ): Promise<void> {
        if (outcome.kind === "broken" && outcome.serverTerminatedAt !== undefined) {
            const terminatedAt = await outcome.serverTerminatedAt;
            if (terminatedAt !== undefined) {
                onServerEnded(request, server, terminatedAt);
            }
        }
        if (outcome.kind === "answered" && isSuccessStatus(outcome.answer.status)) {
            onAnswered(request);
        }
        request.pendingAttempts = Math.max(0, request.pendingAttempts - 1);
        requests.wakeWaiting();
    }

    function onServerEnded(request: RequestInProgress, server: BackendServer, terminatedAt: Milliseconds): void {
        const fingerprint = request.fingerprint();
        const incarnation = incarnationOf(server);
        const change = poisonRequests.onServerEnded(fingerprint, incarnation, terminatedAt);
        log.info("server.endedUnder", {
            request: request.active.requestId,
            route: request.active.route.name,
            fingerprint,
            server: server.id,
            life: incarnation,
            standing: change.now,
        });
        gossip.sendToCollectorsRepeatedly(change.record);
        applyChange(change, "own");
    }

    /** A server has run the request, so it is no poison request: boxes with a record of it are informed. */
    function onAnswered(request: RequestInProgress): void {
        const fingerprint = suspectedFingerprint(request);
        if (fingerprint === undefined) {
            return;
        }
        answerCount += 1;
        const change = poisonRequests.onAnswer(fingerprint, answerId(`${self}#${answerCount}`), clock());
        if (change !== undefined) {
            gossip.sendToCollectors(change.record);
            applyChange(change, "own");
        }
    }

    function onReport(report: PoisonRequestReport, now: Milliseconds): void {
        const record = decodePoisonRequestReport(report, now);
        const change = poisonRequests.onRecord(record);
        if (change !== undefined) {
            applyChange(change, "told");
        }
        // A box that was disconnected may still restrict a request that was cleared in the meantime.
        if (
            requiresBroadcast(restrictionOf(record)) && poisonRequests.restriction(record.fingerprint) === "unsuspected"
        ) {
            gossip.onCleared(record.fingerprint);
        }
    }

    function applyChange(change: PoisonRequestChange, source: "own" | "told"): void {
        const { before, now, record } = change;
        if (before === now) {
            return;
        }
        if (requiresBroadcast(before) || requiresBroadcast(now)) {
            broadcast(change, source);
        }
        if (now === "held") {
            stopAll(record.fingerprint);
        }
        if (now === "unsuspected" && requiresBroadcast(before)) {
            gossip.onCleared(record.fingerprint);
        }
        requests.wakeWaiting();
    }

    /** A change that all boxes have to apply is sent to them by its collectors and by the box that observed it. */
    function broadcast({ before, now, record }: PoisonRequestChange, source: "own" | "told"): void {
        const { fingerprint } = record;
        log.info("deadlyRequest.changed", {
            fingerprint,
            before,
            now,
            source,
            lives: endsSinceLastAnswer(record).map(({ id }) => id).join(",") || undefined,
        });
        if (source === "own" || gossip.isCollector(fingerprint)) {
            gossip.sendToAll(record);
        }
    }

    /**
     * Aborts the requests with the fingerprint, including those that were sent: one that waits for a slot of its server
     * has not begun to run.
     */
    function stopAll(fingerprint: RequestFingerprint): void {
        for (const request of requests.withFingerprint(fingerprint)) {
            request.isStopped = true;
            request.active.fingerprint = fingerprint;
            request.controller.abort();
        }
    }

    /**
     * Returns the fingerprint of a suspected request, otherwise undefined; computes none while there are no records.
     */
    function suspectedFingerprint(request: RequestInProgress): RequestFingerprint | undefined {
        if (poisonRequests.isEmpty() || !matchesAnyHead(request)) {
            return undefined;
        }
        const fingerprint = request.fingerprint();
        return poisonRequests.restriction(fingerprint) === "unsuspected" ? undefined : fingerprint;
    }

    function matchesAnyHead(request: RequestInProgress): boolean {
        for (const fingerprint of poisonRequests.fingerprints()) {
            if (request.matchesHeadOf(fingerprint)) {
                return true;
            }
        }
        return false;
    }
}

function incarnationOf({ id, state }: BackendServer): ServerIncarnationId {
    const { bornAt } = state.record();
    return serverIncarnationId(bornAt === undefined ? id : `${id}@${bornAt}`);
}

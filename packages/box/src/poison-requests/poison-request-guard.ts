/**
 * Keeps requests that end servers from the servers of all boxes.
 *
 * Follows each request while it is served. As long as no server ends under one,
 * that costs an entry in a set; then the request is known by its fingerprint, what
 * ended is told to the boxes that collect it, and these tell all boxes once the
 * request is to be served with care, or not at all.
 *
 * Owns the records of this box; relies on the decisions for how a request may be
 * served, on attempts for whether a server ended, and on the news between boxes.
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

export interface PoisonRequestGuardOptions extends Omit<PoisonRequestGossipOptions, "deadly"> {
    readonly log: Log;
}

/** A request that is followed while it is served. */
export interface TrackedRequest {
    /** True if the request is stopped, wherever it is: servers end under it. */
    readonly isStopped: () => boolean;
    /** True if servers have ended under requests of its kind: it gets no second copy beside an overdue one. */
    readonly isSuspect: () => boolean;
    /** Waits until the request may go to a server. Never rejects. */
    readonly waitForPermission: () => Promise<"go" | "refuse" | "callerLeft">;
    /** An attempt ended; whether its server did may still be asked. */
    readonly onAttemptEnded: (server: BackendServer, outcome: AttemptOutcome) => void;
    /** The request has its end. */
    readonly end: () => void;
}

/** The guard of one box. */
export interface PoisonRequestGuard {
    /** Begins to follow a request; `controller` ends its attempts. */
    readonly track: (active: ActiveRequest, body: Buffer, controller: AbortController) => TrackedRequest;
    /** Another box told what it knows. */
    readonly onReports: (reports: readonly PoisonRequestReport[]) => void;
    /** What goes with gossip; undefined while there is nothing that all boxes have to know. */
    readonly gossipPayload: () => readonly PoisonRequestReport[] | undefined;
    /** Tells again what ended here lately, and forgets what is over. Due with each round of gossip. */
    readonly onGossipRound: () => void;
    /** Requests that are held now. */
    readonly heldCount: () => number;
}

/** Creates the guard of a box that knows of no such request. */
export function createPoisonRequestGuard(options: PoisonRequestGuardOptions): PoisonRequestGuard {
    const { clock, log, self } = options;
    const deadly = createPoisonRequests();
    const requests = createRequestsInProgress();
    const news = createPoisonRequestGossip({ ...options, deadly });
    let answerCount = 0;

    return {
        track(active, body, controller) {
            const request = requests.begin(active, body, controller);
            return {
                isStopped: () => request.isStopped,
                isSuspect: () => knownFingerprint(request) !== undefined,
                waitForPermission: () => clearance(request),
                onAttemptEnded: (server, outcome) => void onAttemptEnded(request, server, outcome),
                end: () => requests.end(request),
            };
        },
        onReports(reports) {
            const now = clock();
            reports.forEach(report => onReport(report, now));
        },
        gossipPayload: news.gossipPayload,
        onGossipRound() {
            news.onGossipRound();
            deadly.sweep(clock());
        },
        heldCount: () =>
            deadly.records().filter(({ fingerprint }) => deadly.restriction(fingerprint) === "held").length,
    };

    async function clearance(request: RequestInProgress): Promise<"go" | "refuse" | "callerLeft"> {
        const { signal } = request.controller;
        for (;;) {
            if (request.isStopped) {
                return "refuse";
            }
            if (signal.aborted) {
                return "callerLeft";
            }
            const fingerprint = knownFingerprint(request);
            const decided = fingerprint === undefined ? "go" : decide(fingerprint);
            if (decided !== "wait") {
                request.pendingAttempts += decided === "go" ? 1 : 0;
                request.active.fingerprint = fingerprint;
                return decided;
            }
            await requests.nextChange(signal);
        }
    }

    function decide(fingerprint: RequestFingerprint): "go" | "wait" | "refuse" {
        const at = clock();
        deadly.onSeen(fingerprint, at);
        return deadly.decide(fingerprint, {
            at,
            isUnderWay: requests.withFingerprint(fingerprint).some(({ pendingAttempts: underWay }) => underWay > 0),
            makesTrials: news.makesTrials(fingerprint),
        }).kind;
    }

    async function onAttemptEnded(
        request: RequestInProgress,
        server: BackendServer,
        outcome: AttemptOutcome,
    ): Promise<void> {
        if (outcome.kind === "broken" && outcome.serverTerminatedAt !== undefined) {
            const endedAt = await outcome.serverTerminatedAt;
            if (endedAt !== undefined) {
                onServerEnded(request, server, endedAt);
            }
        }
        if (outcome.kind === "answered" && isSuccessStatus(outcome.answer.status)) {
            onAnswered(request);
        }
        request.pendingAttempts = Math.max(0, request.pendingAttempts - 1);
        requests.wakeWaiting();
    }

    function onServerEnded(request: RequestInProgress, server: BackendServer, endedAt: Milliseconds): void {
        const fingerprint = request.fingerprint();
        const life = lifeOf(server);
        const change = deadly.onServerEnded(fingerprint, life, endedAt);
        log.info("server.endedUnder", {
            request: request.active.requestId,
            route: request.active.route.name,
            fingerprint,
            server: server.id,
            life,
            standing: change.now,
        });
        news.sendToCollectorsRepeatedly(change.record);
        apply(change, "own");
    }

    /** The request can be run, so it is not what ends servers: boxes that have heard of it learn so. */
    function onAnswered(request: RequestInProgress): void {
        const fingerprint = knownFingerprint(request);
        if (fingerprint === undefined) {
            return;
        }
        answerCount += 1;
        const change = deadly.onAnswer(fingerprint, answerId(`${self}#${answerCount}`), clock());
        if (change !== undefined) {
            news.sendToCollectors(change.record);
            apply(change, "own");
        }
    }

    function onReport(report: PoisonRequestReport, now: Milliseconds): void {
        const record = decodePoisonRequestReport(report, now);
        const change = deadly.onRecord(record);
        if (change !== undefined) {
            apply(change, "told");
        }
        // A box that was cut off may still hold what was answered meanwhile.
        if (requiresBroadcast(restrictionOf(record)) && deadly.restriction(record.fingerprint) === "unsuspected") {
            news.onCleared(record.fingerprint);
        }
    }

    function apply(change: PoisonRequestChange, source: "own" | "told"): void {
        const { before, now, record } = change;
        if (before === now) {
            return;
        }
        if (requiresBroadcast(before) || requiresBroadcast(now)) {
            pass(change, source);
        }
        if (now === "held") {
            stop(record.fingerprint);
        }
        if (now === "unsuspected" && requiresBroadcast(before)) {
            news.onCleared(record.fingerprint);
        }
        requests.wakeWaiting();
    }

    /** What all boxes have to know goes to them from those who collect it, and from the box that saw it. */
    function pass({ before, now, record }: PoisonRequestChange, source: "own" | "told"): void {
        const { fingerprint } = record;
        log.info("deadlyRequest.changed", {
            fingerprint,
            before,
            now,
            source,
            lives: endsSinceLastAnswer(record).map(({ id }) => id).join(",") || undefined,
        });
        if (source === "own" || news.isCollector(fingerprint)) {
            news.sendToAll(record);
        }
    }

    /** Requests of the kind that are at servers leave them: one that waits there for a slot has not begun to run. */
    function stop(fingerprint: RequestFingerprint): void {
        for (const request of requests.withFingerprint(fingerprint)) {
            request.isStopped = true;
            request.active.fingerprint = fingerprint;
            request.controller.abort();
        }
    }

    /** The fingerprint of a request under whose kind servers have ended; nothing is worked out while there is none. */
    function knownFingerprint(request: RequestInProgress): RequestFingerprint | undefined {
        if (deadly.isEmpty() || !isHeadKnown(request)) {
            return undefined;
        }
        const fingerprint = request.fingerprint();
        return deadly.restriction(fingerprint) === "unsuspected" ? undefined : fingerprint;
    }

    function isHeadKnown(request: RequestInProgress): boolean {
        for (const fingerprint of deadly.fingerprints()) {
            if (request.matchesHeadOf(fingerprint)) {
                return true;
            }
        }
        return false;
    }
}

function lifeOf({ id, state }: BackendServer): ServerIncarnationId {
    const { bornAt } = state.record();
    return serverIncarnationId(bornAt === undefined ? id : `${id}@${bornAt}`);
}

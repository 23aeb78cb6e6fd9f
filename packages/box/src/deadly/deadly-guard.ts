/**
 * Keeps requests that end servers from the servers of all boxes.
 *
 * Follows each request while it is served. As long as no server ends under one,
 * that costs an entry in a set; then the request is known by its fingerprint, what
 * ended is told to the boxes that collect it, and these tell all boxes once the
 * request is to be served with care, or not at all.
 *
 * Owns the records of this box and the requests that are followed; relies on the
 * decisions for how a request may be served, on attempts for whether a server ended, and
 * on messages, any of which may be lost: gossip repeats what all boxes have to know.
 */

import {
    type BackendServer,
    collectorsOf,
    concernsAllBoxes,
    createDeadlyRequests,
    type DeadlyChange,
    type DeadlyRecord,
    endsThatCount,
    isSuccessStatus,
    type MemberRecord,
    standingOf,
} from "@chalkdale/decisions";
import {
    answerId,
    type BoxId,
    type Clock,
    type Milliseconds,
    milliseconds,
    type RequestFingerprint,
    type ServerLife,
    serverLife,
} from "@chalkdale/kernel";
import type { Log } from "@chalkdale/runtime";
import type { ActiveRequest } from "../requests/active-request.js";
import type { AttemptOutcome } from "../requests/attempt-request.js";
import { fingerprintOf, fingerprintOfHead, headOfFingerprint } from "../requests/request-fingerprint.js";
import { type DeadlyReport, readDeadlyReport, writeDeadlyReport } from "./deadly-messages.js";

export interface DeadlyGuardOptions {
    readonly clock: Clock;
    readonly log: Log;
    readonly self: BoxId;
    /** Boxes that callers are named, this one included if it is. */
    readonly advertised: () => readonly MemberRecord[];
    /** All other boxes that run. */
    readonly reachable: () => readonly MemberRecord[];
    readonly send: (box: MemberRecord, reports: readonly DeadlyReport[]) => void;
}

/** A request that is followed while it is served. */
export interface FollowedRequest {
    /** True if the request is stopped, wherever it is: servers end under it. */
    readonly isStopped: () => boolean;
    /** True if servers have ended under requests of its kind: it gets no second copy beside an overdue one. */
    readonly isSuspect: () => boolean;
    /** Waits until the request may go to a server. Never rejects. */
    readonly clearance: () => Promise<"go" | "refuse" | "callerLeft">;
    /** An attempt ended; whether its server did may still be asked. */
    readonly onAttemptEnded: (server: BackendServer, outcome: AttemptOutcome) => void;
    /** The request has its end. */
    readonly end: () => void;
}

/** The guard of one box. */
export interface DeadlyGuard {
    /** Begins to follow a request; `controller` ends its attempts. */
    readonly follow: (active: ActiveRequest, body: Buffer, controller: AbortController) => FollowedRequest;
    /** Another box told what it knows. */
    readonly onReports: (reports: readonly DeadlyReport[]) => void;
    /** What goes with gossip; undefined while there is nothing that all boxes have to know. */
    readonly gossipPart: () => readonly DeadlyReport[] | undefined;
    /** Tells again what ended here lately, and forgets what is over. Due with each round of gossip. */
    readonly round: () => void;
    /** Requests that are held now. */
    readonly heldCount: () => number;
}

/**
 * Reports of one datagram of gossip: up to 0.5 KB each, so that they stay below its 8 KB together with 2.6 KB of heartbeats and 1.8 KB of
 * reports on servers; a datagram that is too large would lose these too.
 */
const mostReports = 3;
/** Rounds of gossip in which an end is told again to those who collect it, since a datagram may be lost. */
const repeatedRounds = 3;
/** Milliseconds for which gossip tells of an end: as long as other boxes may take a lost one for running. */
const endNews = 5000;
/** Milliseconds for which gossip says that a request was answered: as long as it may take to reach every box of a fleet. */
const acquittalNews = 10_000;

interface Followed {
    readonly active: ActiveRequest;
    readonly body: Buffer;
    readonly controller: AbortController;
    /** Worked out once it is asked for. */
    fingerprint: RequestFingerprint | undefined;
    isStopped: boolean;
    /** Attempts that run, or of whose servers it isn't known yet what became of them. */
    underWay: number;
}

/** Creates the guard of a box that knows of no such request. */
export function createDeadlyGuard(options: DeadlyGuardOptions): DeadlyGuard {
    const { clock, log, self } = options;
    const deadly = createDeadlyRequests();
    const inProgress = new Set<Followed>();
    /** Called whenever a request that waits may go on. */
    const waiting = new Set<() => void>();
    /** Rounds in which the ends under a request are still told again. */
    const toRepeat = new Map<RequestFingerprint, number>();
    /** Until when gossip says of requests that they were answered. */
    const acquittedUntil = new Map<RequestFingerprint, Milliseconds>();
    let gossiped = 0;
    let answerCount = 0;

    return {
        follow(active, body, controller) {
            const followed: Followed = {
                active,
                body,
                controller,
                fingerprint: undefined,
                isStopped: false,
                underWay: 0,
            };
            inProgress.add(followed);
            return {
                isStopped: () => followed.isStopped,
                isSuspect: () => knownFingerprint(followed) !== undefined,
                clearance: () => clearance(followed),
                onAttemptEnded: (server, outcome) => void onAttemptEnded(followed, server, outcome),
                end() {
                    inProgress.delete(followed);
                    wakeWaiting();
                },
            };
        },
        onReports(reports) {
            const now = clock();
            for (const report of reports) {
                const record = readDeadlyReport(report, now);
                const change = deadly.onRecord(record);
                if (change !== undefined) {
                    apply(change, "told");
                }
                // A box that was cut off may still hold what was answered meanwhile.
                if (concernsAllBoxes(standingOf(record)) && deadly.standing(record.fingerprint) === "unsuspected") {
                    acquittedUntil.set(record.fingerprint, milliseconds(now + acquittalNews));
                }
            }
        },
        gossipPart() {
            const concerning = deadly.records().filter(isNews);
            if (concerning.length === 0) {
                return undefined;
            }
            // Each in turn, if they are more than one datagram holds.
            const first = gossiped % concerning.length;
            gossiped += mostReports;
            const inTurn = [...concerning.slice(first), ...concerning.slice(0, first)];
            return inTurn.slice(0, mostReports).map(record => writeDeadlyReport(record, clock()));
        },
        round() {
            for (const [fingerprint, rounds] of toRepeat) {
                const record = deadly.find(fingerprint);
                if (record !== undefined) {
                    send(collectors(record), record);
                }
                if (rounds > 1 && record !== undefined) {
                    toRepeat.set(fingerprint, rounds - 1);
                }
                else {
                    toRepeat.delete(fingerprint);
                }
            }
            const now = clock();
            deadly.sweep(now);
            [...acquittedUntil].filter(([, until]) => now >= until).forEach(([known]) => acquittedUntil.delete(known));
        },
        heldCount: () => deadly.records().filter(({ fingerprint }) => deadly.standing(fingerprint) === "held").length,
    };

    /** What all boxes have to know, and what has just ended: the boxes that collect it may both be lost. */
    function isNews(record: DeadlyRecord): boolean {
        const { fingerprint } = record;
        const lastEnd = endsThatCount(record).at(-1)?.at ?? -Infinity;
        return acquittedUntil.has(fingerprint) || concernsAllBoxes(deadly.standing(fingerprint))
            || clock() - lastEnd < endNews;
    }

    async function clearance(followed: Followed): Promise<"go" | "refuse" | "callerLeft"> {
        const { signal } = followed.controller;
        for (;;) {
            if (followed.isStopped) {
                return "refuse";
            }
            if (signal.aborted) {
                return "callerLeft";
            }
            const fingerprint = knownFingerprint(followed);
            const decided = fingerprint === undefined ? "go" : decide(fingerprint);
            if (decided !== "wait") {
                followed.underWay += decided === "go" ? 1 : 0;
                followed.active.fingerprint = fingerprint;
                return decided;
            }
            await nextChange(signal);
        }
    }

    function decide(fingerprint: RequestFingerprint): "go" | "wait" | "refuse" {
        const at = clock();
        deadly.onSeen(fingerprint, at);
        return deadly.decide(fingerprint, {
            at,
            isUnderWay: ofKind(fingerprint).some(({ underWay }) => underWay > 0),
            makesTrials: collectorsOf(fingerprint, options.advertised()).at(0)?.box === self,
        }).kind;
    }

    async function onAttemptEnded(followed: Followed, server: BackendServer, outcome: AttemptOutcome): Promise<void> {
        if (outcome.kind === "broken" && outcome.serverEnded !== undefined) {
            const endedAt = await outcome.serverEnded;
            if (endedAt !== undefined) {
                onServerEnded(followed, server, endedAt);
            }
        }
        if (outcome.kind === "answered" && isSuccessStatus(outcome.answer.status)) {
            onAnswered(followed);
        }
        followed.underWay = Math.max(0, followed.underWay - 1);
        wakeWaiting();
    }

    function onServerEnded(followed: Followed, server: BackendServer, endedAt: Milliseconds): void {
        const fingerprint = fullFingerprint(followed);
        const life = lifeOf(server);
        const change = deadly.onEnd(fingerprint, life, endedAt);
        log.info("server.endedUnder", {
            request: followed.active.requestId,
            route: followed.active.route.name,
            fingerprint,
            server: server.id,
            life,
            standing: change.now,
        });
        toRepeat.set(fingerprint, repeatedRounds);
        send(collectors(change.record), change.record);
        apply(change, "own");
    }

    /** The request can be run, so it is not what ends servers: boxes that have heard of it learn so. */
    function onAnswered(followed: Followed): void {
        const fingerprint = knownFingerprint(followed);
        if (fingerprint === undefined) {
            return;
        }
        answerCount += 1;
        const change = deadly.onAnswer(fingerprint, answerId(`${self}#${answerCount}`), clock());
        if (change !== undefined) {
            send(collectors(change.record), change.record);
            apply(change, "own");
        }
    }

    /** What all boxes have to know goes to them from those who collect it, and from the box that saw it. */
    function apply({ before, now, record }: DeadlyChange, source: "own" | "told"): void {
        if (before === now) {
            return;
        }
        const { fingerprint } = record;
        if (concernsAllBoxes(before) || concernsAllBoxes(now)) {
            log.info("deadlyRequest.changed", {
                fingerprint,
                before,
                now,
                source,
                lives: endsThatCount(record).map(({ id }) => id).join(",") || undefined,
            });
            if (source === "own" || collectors(record).some(({ box }) => box === self)) {
                send(options.reachable(), record);
            }
        }
        if (now === "held") {
            stop(fingerprint);
        }
        if (now === "unsuspected" && concernsAllBoxes(before)) {
            acquittedUntil.set(fingerprint, milliseconds(clock() + acquittalNews));
        }
        wakeWaiting();
    }

    /** Requests of the kind that are at servers leave them: one that waits there for a slot has not begun to run. */
    function stop(fingerprint: RequestFingerprint): void {
        for (const followed of ofKind(fingerprint)) {
            followed.isStopped = true;
            followed.active.fingerprint = fingerprint;
            followed.controller.abort();
        }
    }

    function ofKind(fingerprint: RequestFingerprint): readonly Followed[] {
        const head = headOfFingerprint(fingerprint);
        return [...inProgress].filter(followed =>
            fingerprintOfHead(followed.active) === head && fullFingerprint(followed) === fingerprint
        );
    }

    /** The fingerprint of a request that is known; nothing is worked out while none is. */
    function knownFingerprint(followed: Followed): RequestFingerprint | undefined {
        if (deadly.isEmpty() || followed.fingerprint === undefined && !isHeadKnown(followed.active)) {
            return undefined;
        }
        const fingerprint = fullFingerprint(followed);
        return deadly.standing(fingerprint) === "unsuspected" ? undefined : fingerprint;
    }

    function isHeadKnown(active: ActiveRequest): boolean {
        const head = fingerprintOfHead(active);
        for (const fingerprint of deadly.fingerprints()) {
            if (headOfFingerprint(fingerprint) === head) {
                return true;
            }
        }
        return false;
    }

    function fullFingerprint(followed: Followed): RequestFingerprint {
        return followed.fingerprint ??= fingerprintOf(followed.active, followed.body);
    }

    function collectors({ fingerprint }: DeadlyRecord): readonly MemberRecord[] {
        return collectorsOf(fingerprint, options.advertised());
    }

    function send(boxes: readonly MemberRecord[], record: DeadlyRecord): void {
        const reports = [writeDeadlyReport(record, clock())];
        boxes.filter(({ box }) => box !== self).forEach(box => options.send(box, reports));
    }

    function nextChange(signal: AbortSignal): Promise<void> {
        return new Promise(resolve => {
            const wake = () => {
                waiting.delete(wake);
                signal.removeEventListener("abort", wake);
                resolve();
            };
            waiting.add(wake);
            signal.addEventListener("abort", wake, { once: true });
        });
    }

    function wakeWaiting(): void {
        [...waiting].forEach(wake => wake());
    }
}

function lifeOf({ id, state }: BackendServer): ServerLife {
    const { bornAt } = state.record();
    return serverLife(bornAt === undefined ? id : `${id}@${bornAt}`);
}

/**
 * State of one backend server as a box sees it: its record, its load, its speed,
 * and the reason why it may not take a request.
 *
 * Owns the estimates and limits that it is made of, each with its own rules; relies
 * only on answers, updates from other boxes and discovery. Times are passed in.
 */

import { type Milliseconds, milliseconds } from "@chalkdale/kernel";
import type { SharedRate } from "../limits/shared-rate.js";
import { type ColdPeriod, type ColdSource, createColdness } from "./coldness.js";
import { createEjection, type FailureKind } from "./ejection.js";
import type { KnownLimit } from "./limit-share.js";
import { createServerLoad, type LoadReport } from "./load-estimate.js";
import { createOutlierDetection } from "./outlier-detection.js";
import { createServerRateLimit, type LimitUpdate } from "./server-rate-limit.js";
import type { BackendServerRecord } from "./server-record.js";
import { createServerSpeed } from "./server-speed.js";

/** Reason why a server may not take a request now. */
type ExclusionReason =
    | "draining"
    | "leaving"
    | "replaced"
    | "unlisted"
    | "doubted"
    | "backedOff"
    | "limited"
    | "ejected"
    | "cold";

/** State of one incarnation of a server as this box sees it. */
export interface ServerState {
    readonly record: () => BackendServerRecord;
    /** Applies a newer record of the same incarnation. */
    readonly applyRecord: (record: BackendServerRecord, at: Milliseconds) => void;
    /**
     * Called with true if discovery has a record of an earlier incarnation, which may be a delayed write, and with
     * false once its record is of this incarnation again.
     */
    readonly setIncarnationUncertain: (isUncertain: boolean) => void;
    /**
     * The server announced in an answer that it is leaving. Holds for the rest of the incarnation, since the record may
     * follow seconds later or never.
     */
    readonly onLeaving: () => void;
    /**
     * The server asked this box to send nothing for `duration`, `maxBackoff` at most. Of two back-offs the one that
     * ends later counts.
     */
    readonly onBackoff: (at: Milliseconds, duration: Milliseconds) => void;
    /** End of the requested back-off; in the past if there is none. */
    readonly backoffUntil: () => Milliseconds;
    /** Time of the latest request for back-off; minus infinity if there was none. */
    readonly backoffRequestedAt: () => Milliseconds;
    /** Discovery no longer lists the server. */
    readonly onUnlisted: () => void;
    /** True while discovery lists the server. */
    readonly isListed: () => boolean;
    /**
     * The server was chosen for a request. Its rate limit and slow start count the request at once and not when its
     * connection is open, so that no others are admitted meanwhile.
     *
     * @returns a function to call if the request is not sent after all.
     */
    readonly onChosen: (at: Milliseconds) => () => void;
    /** A request was sent to the server. */
    readonly onSent: () => void;
    /** A request ended, with an answer or without; `report` if the answer carried one. */
    readonly onEnded: (at: Milliseconds, report?: LoadReport) => void;
    /** An answer took `ratio` times as long as expected. */
    readonly onAnswerTime: (at: Milliseconds, ratio: number) => void;
    /** The server accepted no connection, or broke off an answer. Counts as a failed result as well. */
    readonly onFailure: (at: Milliseconds, kind: FailureKind) => void;
    /** A request got a good answer, or failed at the server for a reason other than its load. */
    readonly onResult: (at: Milliseconds, isGood: boolean) => void;
    /** The server rejected a request without running it because it is full. */
    readonly onFull: (at: Milliseconds) => void;
    /** An answer or a successful health check shows that the server works. */
    readonly onHealthy: () => void;
    /** Another server has taken over the address. */
    readonly onReplaced: () => void;
    /** The server counts as cold for `duration`, by default because it announced that in a health check. */
    readonly onCold: (at: Milliseconds, duration: Milliseconds, source?: ColdSource) => void;
    /**
     * Applies an update of the rate limit from the server or another box; returns true if it must be sent on. See
     * `ServerRateLimit`.
     */
    readonly onLimitUpdate: (update: LimitUpdate) => boolean;
    /** The latest update of the rate limit; undefined if the server never stated one. */
    readonly limit: () => LimitUpdate | undefined;
    /**
     * Reason why the server may not take a request now, or undefined if it may. Doesn't cover outliers: see `severity`.
     */
    readonly exclusionReason: (at: Milliseconds) => ExclusionReason | undefined;
    /**
     * True if the server must get no requests: it drains, is leaving or unlisted, has lost its address, or its
     * incarnation is uncertain.
     */
    readonly isOutOfService: () => boolean;
    /** True while the server is in slow start. */
    readonly isCold: (at: Milliseconds) => boolean;
    /** The latest time in which the server was cold; undefined if it never was. */
    readonly coldPeriod: () => ColdPeriod | undefined;
    /** Requests a second that this box may send to the server while it is cold. */
    readonly slowStartRate: () => number;
    /** Estimated requests at the server from all boxes, running and waiting. */
    readonly load: (at: Milliseconds) => number;
    /** 1 for a server of normal speed, more for a slow one. */
    readonly slowness: (at: Milliseconds) => number;
    /**
     * Severity of the server's failures and slowness: above 1 it has recently failed many requests, is slow or is
     * ejected, even if its health checks succeed.
     */
    readonly severity: (at: Milliseconds) => number;
    /** Requests of this box at the server. */
    readonly inFlight: () => number;
    /** When a health check is due, or undefined if none is needed. */
    readonly healthCheckDueAt: () => Milliseconds | undefined;
    /** A health check has ended. */
    readonly onHealthCheck: (at: Milliseconds, healthy: boolean) => void;
}

export interface ServerStateOptions {
    /** This box's share of the requests that the server gets while it is cold. */
    readonly slowStart: SharedRate;
    /**
     * Creates this box's share of the server's rate limit; `known` returns the limit as known at the time of the call.
     */
    readonly createLimitShare: (known: () => KnownLimit) => SharedRate;
    /** Added to the time for which a server stays cold by its record, since the record takes as long to arrive. */
    readonly recordPropagationDelay: Milliseconds;
}

/**
 * Longest back-off in milliseconds that one answer can request; the server may ask again. An erroneous duration must
 * not exclude the server for the rest of its incarnation.
 */
const maxBackoff = 300_000;

/** Severity of an ejected server, which serves nothing: above the 3.3 that failures reach at most. */
const ejectedSeverity = 4;

/** Creates the state of a newly listed server. */
export function createServerState(
    first: BackendServerRecord,
    at: Milliseconds,
    options: ServerStateOptions,
): ServerState {
    const { slowStart } = options;
    const load = createServerLoad();
    const speed = createServerSpeed(at);
    const outliers = createOutlierDetection(at);
    const ejection = createEjection();
    const limit = createServerRateLimit();
    /** This box's share of the rate limit; undefined while there is none. */
    let limitShare: SharedRate | undefined;
    let record = first;
    let unlisted = false;
    let replaced = false;
    let incarnationUncertain = false;
    let leaving = false;
    let backoffUntil = milliseconds(-Infinity);
    let lastBackoffRequestAt = milliseconds(-Infinity);
    const coldness = createColdness();
    onColdRecord(first, at);

    return {
        record: () => record,
        applyRecord(next, now) {
            // A server that turns cold again may write the same cold time as before.
            if (next.revision > record.revision || unlisted) {
                onColdRecord(next, now);
            }
            record = next;
            unlisted = false;
        },
        setIncarnationUncertain(isUncertain) {
            incarnationUncertain = isUncertain;
        },
        onLeaving() {
            leaving = true;
        },
        onBackoff(now, duration) {
            lastBackoffRequestAt = now;
            backoffUntil = milliseconds(Math.max(backoffUntil, now + Math.min(duration, maxBackoff)));
        },
        backoffUntil: () => backoffUntil,
        backoffRequestedAt: () => lastBackoffRequestAt,
        onUnlisted() {
            unlisted = true;
        },
        isListed: () => !unlisted,
        onChosen(now) {
            const isSlowStart = coldness.isCold(now);
            const shares = [limitShare, isSlowStart ? slowStart : undefined].filter(share => share !== undefined);
            shares.forEach(share => share.onSent(now));
            const uncount = isSlowStart ? coldness.onSent() : undefined;
            return () => {
                shares.forEach(share => share.onNotSent());
                uncount?.();
            };
        },
        onSent: load.onSent,
        onEnded: load.onEnded,
        onAnswerTime: speed.onAnswer,
        onFailure(now, kind) {
            outliers.onResult(now, false);
            ejection.onFailure(now, kind);
        },
        onResult: outliers.onResult,
        onFull: load.onFull,
        onHealthy: ejection.onHealthy,
        onReplaced() {
            replaced = true;
        },
        onCold(now, duration, source = "healthCheck") {
            coldness.onCold(now, milliseconds(now + duration), source);
        },
        onLimitUpdate(update) {
            const isReportable = limit.onUpdate(update);
            limitShare = limit.rate() === undefined
                ? undefined
                : limitShare ?? options.createLimitShare(knownLimit);
            return isReportable;
        },
        limit: limit.latestUpdate,
        exclusionReason,
        isOutOfService: () => outOfServiceReason() !== undefined,
        isCold: coldness.isCold,
        coldPeriod: coldness.period,
        slowStartRate: slowStart.ownRate,
        load: now => load.estimate(now, record.slots),
        slowness: speed.slowness,
        severity: now => ejection.isEjected() ? ejectedSeverity : Math.max(outliers.severity(now), speed.severity(now)),
        inFlight: load.inFlight,
        healthCheckDueAt,
        onHealthCheck(now, healthy) {
            if (healthy) {
                ejection.onHealthy();
                return;
            }
            ejection.onUnhealthy(now);
        },
    };

    function knownLimit(): KnownLimit {
        return { rate: limit.rate() ?? 0, updatedAt: limit.latestUpdate()?.at ?? at };
    }

    function outOfServiceReason(): "replaced" | "draining" | "leaving" | "unlisted" | "doubted" | undefined {
        if (replaced) {
            return "replaced";
        }
        if (record.draining) {
            return "draining";
        }
        if (leaving) {
            return "leaving";
        }
        if (unlisted) {
            return "unlisted";
        }
        return incarnationUncertain ? "doubted" : undefined;
    }

    function exclusionReason(now: Milliseconds): ExclusionReason | undefined {
        const outOfService = outOfServiceReason();
        if (outOfService !== undefined) {
            return outOfService;
        }
        if (now < backoffUntil) {
            return "backedOff";
        }
        // Checked before ejection: an ejected server may be tried as a last resort, and its rate limit and slow start apply
        // to that as well.
        if (limitShare?.allows(now) === false) {
            return "limited";
        }
        if (coldness.isCold(now) && !slowStart.allows(now)) {
            return "cold";
        }
        return ejection.isEjected() ? "ejected" : undefined;
    }

    /** A health check is a request to the server as well, so it is not due before the end of a back-off. */
    function healthCheckDueAt(): Milliseconds | undefined {
        const dueAt = ejection.healthCheckDueAt();
        if (dueAt === undefined || replaced || unlisted || leaving) {
            return undefined;
        }
        return milliseconds(Math.max(dueAt, backoffUntil));
    }

    function onColdRecord(source: BackendServerRecord, now: Milliseconds): void {
        if (source.coldFor > 0) {
            coldness.onCold(now, milliseconds(now + source.coldFor + options.recordPropagationDelay), "record");
        }
    }
}

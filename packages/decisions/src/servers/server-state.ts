/**
 * What a box believes about one backend server: its record, its load, its
 * speed, and why it may not take a request.
 *
 * Owns the parts below, each with its own rule; relies on answers and on
 * discovery alone. Times are passed in.
 */

import { type Milliseconds, milliseconds } from "@chalkdale/kernel";
import type { SharedRate } from "../limits/shared-rate.js";
import { createEjection, type FailureKind } from "./ejection.js";
import type { KnownLimit } from "./limit-share.js";
import { createServerLoad, type LoadReport } from "./load-estimate.js";
import { createOutlierDetection } from "./outlier-detection.js";
import { createServerRateLimit, type LimitUpdate } from "./server-rate-limit.js";
import type { BackendServerRecord } from "./server-record.js";
import { createServerSpeed } from "./server-speed.js";

/** Why a server may not take a request now. */
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

/** State of one life of a server as this box sees it. */
export interface ServerState {
    readonly record: () => BackendServerRecord;
    /** Takes a newer record of the same life. */
    readonly applyRecord: (record: BackendServerRecord, at: Milliseconds) => void;
    /** Discovery has a record of an earlier life, which may have been written late, or has one of this life again. */
    readonly setIncarnationUncertain: (isDoubted: boolean) => void;
    /**
     * The server says in an answer that it is leaving. Holds for the rest of its life, whatever its record says: that may be written
     * seconds later, or never.
     */
    readonly onLeaving: () => void;
    /** The server wants nothing from this box for so long, `longestBackoff` at most. Of two such words the one that ends later counts. */
    readonly onBackoff: (at: Milliseconds, duration: Milliseconds) => void;
    /** When the back-off that the server asked for is over; in the past if it asked for none. */
    readonly backoffUntil: () => Milliseconds;
    /** When it asked for back-off last; long ago if it never did. */
    readonly backoffRequestedAt: () => Milliseconds;
    /** Discovery no longer lists the server. */
    readonly onUnlisted: () => void;
    /** True while discovery lists the server. */
    readonly isListed: () => boolean;
    /**
     * The server is chosen for a request, whose connection may have to come up first: counted at once, so that others do not pass
     * meanwhile. Returns what to call if the request is not sent.
     */
    readonly onChosen: (at: Milliseconds) => () => void;
    readonly onSent: () => void;
    /** A request ended in any way; `report` if the answer had one. */
    readonly onEnded: (at: Milliseconds, report?: LoadReport) => void;
    /** An answer took `ratio` times as long as expected. */
    readonly onAnswerTime: (at: Milliseconds, ratio: number) => void;
    /** The server did not accept a connection, or broke off. Counts as a bad result too. */
    readonly onFailure: (at: Milliseconds, kind: FailureKind) => void;
    /** A request got a good answer, or failed at the server in a way that is not for its load. */
    readonly onResult: (at: Milliseconds, isGood: boolean) => void;
    /** The server refused a request unrun since it is full. */
    readonly onFull: (at: Milliseconds) => void;
    /** The server works: an answer or a good health check. */
    readonly onHealthy: () => void;
    /** Another server has the address. */
    readonly onReplaced: () => void;
    /** The server says that it stays cold for so long. */
    readonly onCold: (at: Milliseconds, duration: Milliseconds) => void;
    /** The server, or a box that heard it, says which rate it takes; true if others have to know. See `ServerRateLimit`. */
    readonly onLimitUpdate: (word: LimitUpdate) => boolean;
    /** The newest word of the rate that it takes; undefined if it never named one. */
    readonly limit: () => LimitUpdate | undefined;
    /** Why the server gets nothing now, or undefined if it may. Outliers are not among them: see `severity`. */
    readonly exclusionReason: (at: Milliseconds) => ExclusionReason | undefined;
    /** True if the server must get nothing more: it drains, says that it is leaving, is not listed, has lost its address, or its life is in doubt. */
    readonly isOutOfService: () => boolean;
    readonly isCold: (at: Milliseconds) => boolean;
    /** Requests at the server, running and waiting, as far as this box knows. */
    readonly load: (at: Milliseconds) => number;
    /** 1 for a server of ordinary speed, more for a slow one. */
    readonly slowness: (at: Milliseconds) => number;
    /** How badly the server does, whatever its health checks say: above 1 it lately failed many requests, is slow, or is ejected. */
    readonly severity: (at: Milliseconds) => number;
    readonly inFlight: () => number;
    /** When a health check is due, or undefined if none is wanted. */
    readonly healthCheckDueAt: () => Milliseconds | undefined;
    readonly onHealthCheck: (at: Milliseconds, healthy: boolean) => void;
}

export interface ServerStateOptions {
    readonly slowStart: SharedRate;
    /** Creates this box's part of the rate that the server names; `known` gives what is known of it now. */
    readonly createLimitShare: (known: () => KnownLimit) => SharedRate;
    /** Added to the time that a record says a server stays cold, for the record's way here. */
    readonly recordPropagationDelay: Milliseconds;
}

/**
 * Milliseconds for which a server is left alone by one word at most; it may ask again. A mistaken figure must not take it away
 * for the rest of its life.
 */
const longestBackoff = 300_000;

/** Severity of an ejected server, which serves nothing: above that of an outlier, whose most is 3.3 by failures. */
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
    /** This box's part of the limit; undefined while none holds. */
    let limitShare: SharedRate | undefined;
    let record = first;
    let unlisted = false;
    let replaced = false;
    let doubted = false;
    let leaving = false;
    let backoffUntil = milliseconds(-Infinity);
    let backoffAskedAt = milliseconds(-Infinity);
    let coldUntil = coldEnd(first, at);

    return {
        record: () => record,
        applyRecord(next, now) {
            if (next.coldFor > 0 && (next.coldFor !== record.coldFor || unlisted)) {
                coldUntil = Math.max(coldUntil, coldEnd(next, now));
            }
            record = next;
            unlisted = false;
        },
        setIncarnationUncertain(isDoubted) {
            doubted = isDoubted;
        },
        onLeaving() {
            leaving = true;
        },
        onBackoff(now, duration) {
            backoffAskedAt = now;
            backoffUntil = milliseconds(Math.max(backoffUntil, now + Math.min(duration, longestBackoff)));
        },
        backoffUntil: () => backoffUntil,
        backoffRequestedAt: () => backoffAskedAt,
        onUnlisted() {
            unlisted = true;
        },
        isListed: () => !unlisted,
        onChosen(now) {
            const shares = [limitShare, isCold(now) ? slowStart : undefined].filter(share => share !== undefined);
            shares.forEach(share => share.onSent(now));
            return () => shares.forEach(share => share.onNotSent());
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
        onCold(now, duration) {
            coldUntil = Math.max(coldUntil, now + duration);
        },
        onLimitUpdate(word) {
            const isNews = limit.onUpdate(word);
            limitShare = limit.rate() === undefined
                ? undefined
                : limitShare ?? options.createLimitShare(knownLimit);
            return isNews;
        },
        limit: limit.latestUpdate,
        exclusionReason: exclusion,
        isOutOfService: () => reasonOfLeaving() !== undefined,
        isCold,
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

    function reasonOfLeaving(): "replaced" | "draining" | "leaving" | "unlisted" | "doubted" | undefined {
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
        return doubted ? "doubted" : undefined;
    }

    function exclusion(now: Milliseconds): ExclusionReason | undefined {
        const leaving = reasonOfLeaving();
        if (leaving !== undefined) {
            return leaving;
        }
        if (now < backoffUntil) {
            return "backedOff";
        }
        // A server that is ejected may get a trial, which its limit bounds as well.
        if (limitShare?.allows(now) === false) {
            return "limited";
        }
        if (ejection.isEjected()) {
            return "ejected";
        }
        return isCold(now) && !slowStart.allows(now) ? "cold" : undefined;
    }

    /** A check is a request to the server as well, and waits until its back-off is over. */
    function healthCheckDueAt(): Milliseconds | undefined {
        const dueAt = ejection.healthCheckDueAt();
        if (dueAt === undefined || replaced || unlisted || leaving) {
            return undefined;
        }
        return milliseconds(Math.max(dueAt, backoffUntil));
    }

    function isCold(now: Milliseconds): boolean {
        return now < coldUntil;
    }

    function coldEnd(told: BackendServerRecord, now: Milliseconds): number {
        return told.coldFor > 0 ? milliseconds(now + told.coldFor + options.recordPropagationDelay) : 0;
    }
}

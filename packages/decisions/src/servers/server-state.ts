/**
 * What a box believes about one backend server: its load, its speed, whether
 * it may take work. All of it comes from answers and from discovery; times are
 * passed in.
 */

import { type Milliseconds } from "@chalkdale/kernel";
import type { BackendServerRecord } from "./server-record.js";
import type { SlowStart } from "./slow-start.js";

/** Load that a server told in an answer. */
export interface LoadReport {
    readonly running: number;
    readonly waiting: number;
    readonly slots: number;
}

/** Why a server may not take a request now. */
type ExclusionReason = "draining" | "replaced" | "unlisted" | "ejected" | "cold";

/** State of one server as this box sees it. */
export interface ServerState {
    readonly record: () => BackendServerRecord;
    /** Takes a newer record of the same server. */
    readonly applyRecord: (record: BackendServerRecord, at: Milliseconds) => void;
    /** Discovery no longer lists the server. */
    readonly onUnlisted: (at: Milliseconds) => void;
    readonly onSent: (at: Milliseconds) => void;
    /** A request ended in any way; `report` if the answer told the load. */
    readonly onEnded: (at: Milliseconds, report?: LoadReport) => void;
    /** An answer took `ratio` times as long as expected. */
    readonly onAnswerTime: (at: Milliseconds, ratio: number) => void;
    /** The server did not accept a connection, or broke off. */
    readonly onFailure: (at: Milliseconds, severity: FailureSeverity) => void;
    /** A request got a good answer, or failed at the server in a way that is not for its load. */
    readonly onResult: (at: Milliseconds, isGood: boolean) => void;
    /** The server refused a request unrun since it is full. */
    readonly onFull: (at: Milliseconds) => void;
    /** The server works: an answer or a good health check. */
    readonly onHealthy: (at: Milliseconds) => void;
    /** Another server has the address. */
    readonly onReplaced: () => void;
    /** The server tells that it stays cold for so long. */
    readonly onCold: (at: Milliseconds, duration: Milliseconds) => void;
    readonly exclusion: (at: Milliseconds) => ExclusionReason | undefined;
    readonly isCold: (at: Milliseconds) => boolean;
    /** Requests at the server, running and waiting, as far as this box can tell. */
    readonly load: (at: Milliseconds) => number;
    /** 1 for a server of ordinary speed, more for a slow one. */
    readonly slowness: (at: Milliseconds) => number;
    /** True for a server that lately failed many requests, whatever its health checks say. */
    readonly isOutlier: (at: Milliseconds) => boolean;
    readonly inFlight: () => number;
    readonly lastAnswerAt: () => Milliseconds | undefined;
    /** When a health check is due, or undefined if none is wanted. */
    readonly healthCheckDueAt: () => Milliseconds | undefined;
    readonly onHealthCheck: (at: Milliseconds, healthy: boolean) => void;
}

/** `unreachable`: no connection; `brokeOff`: a connection ended or spoiled an answer. */
type FailureSeverity = "unreachable" | "brokeOff";

/** A load report counts in full for this long, then fades. */
const reportLifetime = 1000;
/** Time for which a refusal as full keeps other requests away, in milliseconds. */
const fullPause = 60;
const firstEjection = 500;
const longestEjection = 8000;
/** Failures in a row after which a server is left out. */
const failuresBeforeEjection = 3;
const slownessSmoothing = 0.25;
/** Time after which half of a server's measured slowness is forgotten. */
const slownessHalfLife = 5000;
/** Weight of the newest result in the share of failures, and time after which half of that share is forgotten. */
const failureSmoothing = 0.25;
const failureHalfLife = 4000;
/** Share of failures from which a server is an outlier; one failure among good answers is none. */
const outlierFailureShare = 0.3;
const leastRatio = 0.25;
const greatestRatio = 20;

export interface ServerStateOptions {
    readonly cold: SlowStart;
    /** Added to the time that a record says a server stays cold, for the record's way here. */
    readonly coldMargin: Milliseconds;
}

/** Creates the state of a newly listed server. */
export function createServerState(
    first: BackendServerRecord,
    at: Milliseconds,
    options: ServerStateOptions,
): ServerState {
    let record = first;
    let unlisted = false;
    let replaced = false;
    let coldUntil = coldEnd(first, at);
    let inFlight = 0;
    let report: (LoadReport & { readonly at: Milliseconds; readonly inFlight: number; }) | undefined;
    let fullUntil = 0;
    let slow = 1;
    let slowAt: number = at;
    let failureShare = 0;
    let failureShareAt: number = at;
    let failures = 0;
    let ejection = firstEjection;
    let ejected = false;
    let healthCheckAt: number | undefined;
    let lastAnswerAt: Milliseconds | undefined;

    const state: ServerState = {
        record: () => record,
        applyRecord(next, now) {
            if (next.coldFor > 0 && (next.coldFor !== record.coldFor || unlisted)) {
                coldUntil = Math.max(coldUntil, coldEnd(next, now));
            }
            record = next;
            unlisted = false;
        },
        onUnlisted() {
            unlisted = true;
        },
        onSent(now) {
            inFlight += 1;
            if (state.isCold(now)) {
                options.cold.onSent(now);
            }
        },
        onEnded(now, told) {
            inFlight -= 1;
            if (told !== undefined) {
                report = { ...told, at: now, inFlight };
            }
        },
        onAnswerTime(now, ratio) {
            const bounded = Math.min(greatestRatio, Math.max(leastRatio, ratio));
            slow = state.slowness(now) * (1 - slownessSmoothing) + bounded * slownessSmoothing;
            slowAt = now;
        },
        onFailure(now, severity) {
            failures += 1;
            state.onResult(now, false);
            if (severity === "unreachable" || failures >= failuresBeforeEjection) {
                eject(now);
            }
        },
        onResult(now, isGood) {
            failureShare = currentFailureShare(now) * (1 - failureSmoothing) + (isGood ? 0 : failureSmoothing);
            failureShareAt = now;
        },
        onFull(now) {
            fullUntil = now + fullPause;
        },
        onHealthy(now) {
            failures = 0;
            ejected = false;
            healthCheckAt = undefined;
            ejection = firstEjection;
            lastAnswerAt = now;
        },
        onReplaced() {
            replaced = true;
        },
        onCold(now, duration) {
            coldUntil = Math.max(coldUntil, now + duration);
        },
        exclusion(now) {
            if (replaced) {
                return "replaced";
            }
            if (record.draining) {
                return "draining";
            }
            if (unlisted) {
                return "unlisted";
            }
            if (ejected) {
                return "ejected";
            }
            return state.isCold(now) && !options.cold.allows(now) ? "cold" : undefined;
        },
        isCold: now => now < coldUntil,
        load: estimateLoad,
        slowness(now) {
            return 1 + (slow - 1) * 0.5 ** ((now - slowAt) / slownessHalfLife);
        },
        isOutlier: now => currentFailureShare(now) > outlierFailureShare,
        inFlight: () => inFlight,
        lastAnswerAt: () => lastAnswerAt,
        healthCheckDueAt: () => replaced || unlisted ? undefined : healthCheckAt as Milliseconds | undefined,
        onHealthCheck(now, healthy) {
            if (healthy) {
                state.onHealthy(now);
                return;
            }
            eject(now);
        },
    };
    return state;

    function currentFailureShare(now: Milliseconds): number {
        return failureShare * 0.5 ** ((now - failureShareAt) / failureHalfLife);
    }

    function coldEnd(told: BackendServerRecord, now: Milliseconds): number {
        return told.coldFor > 0 ? now + told.coldFor + options.coldMargin : 0;
    }

    function eject(now: Milliseconds): void {
        if (ejected && healthCheckAt !== undefined && now < healthCheckAt) {
            return;
        }
        ejected = true;
        healthCheckAt = now + ejection;
        ejection = Math.min(longestEjection, ejection * 2);
    }

    function estimateLoad(now: Milliseconds): number {
        if (now < fullUntil) {
            return Math.max(inFlight, record.slots * 3);
        }
        if (report === undefined) {
            return inFlight;
        }
        const age = now - report.at;
        const weight = age < reportLifetime ? 1 : Math.max(0, 2 - age / reportLifetime);
        const others = Math.max(0, report.running + report.waiting - report.inFlight) * weight;
        return others + inFlight;
    }
}

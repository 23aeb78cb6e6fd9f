/**
 * What a run of the soak saw, and the breaches that checks find in it.
 *
 * Owns nothing; the run fills it in, and each check reads it.
 */

import type { ServerRun } from "../standins/backend-server.js";
import type { ClientAnswer } from "../standins/client.js";
import type { CallerKey } from "./soak-customers.js";

/** A promise that was not kept. */
export interface Breach {
    readonly promise:
        | "whole answers"
        | "at most once"
        | "refused unrun"
        | "route"
        | "customer"
        | "drain"
        | "evacuation"
        | "recovery"
        | "unread"
        | "planned stop"
        | "exposure"
        | "one outcome"
        | "roll-back"
        | "drain in touch"
        | "evacuation in touch"
        | "customer in touch"
        | "route in touch"
        | "quota"
        | "limit"
        | "leaving"
        | "rest"
        | "return";
    readonly at: number;
    readonly detail: string;
}

/** One attempt of a caller. */
export interface ObservedAttempt {
    readonly requestId: string;
    readonly idempotent: boolean;
    readonly at: number;
    readonly box: string;
    readonly answer: ClientAnswer;
    /** The key that it was made with. */
    readonly held: CallerKey;
    /** A pipelined request got no answer: one before it ended the connection, or the connection was lost. */
    readonly unanswered?: { readonly kind: "unread" | "lost"; readonly at: number; };
}

/** A signal that ended a box; `box` is where callers reach it. */
export interface BoxTermination {
    readonly box: string;
    readonly signal: NodeJS.Signals;
    readonly at: number;
}

/** What a box sent while no request waited for an answer. */
export interface UnsolicitedBytes {
    readonly at: number;
    readonly box: string;
    readonly bytes: string;
}

/** A run at a server, with when it began. */
export interface ObservedRun extends ServerRun {
    readonly at: number;
    readonly server: string;
    readonly service: string;
    readonly zone: string;
}

/** A time in which something must not get requests, or a configuration was in force. */
export interface Interval {
    readonly from: number;
    readonly to: number;
}

/** A rate that a server named, from when and until when; `to` is the end of its life if that came first. */
export interface ObservedLimit extends Interval {
    readonly server: string;
    /** Requests a second. */
    readonly rate: number;
}

/** A server that says in its answers that it is leaving, from when on. */
export interface ObservedLeaving {
    readonly server: string;
    readonly from: number;
}

/** Requests that came to a server which asks for rest. */
export interface ObservedBackoff {
    readonly server: string;
    /** Milliseconds of each rest. */
    readonly backoffMilliseconds: number;
    /** Those that it turned away and answered so, and all that came; which box sent them, and when. */
    readonly rejections: readonly ObservedArrival[];
    readonly arrivals: readonly ObservedArrival[];
}

/** A request that came to a server. */
export interface ObservedArrival {
    readonly boxAddress: string;
    readonly at: number;
}

/** An order to move a service onto servers of a version, and the states that were seen in the store. */
export interface ObservedRollout extends Interval {
    readonly service: string;
    readonly version: string;
    readonly isBad: boolean;
    /** Servers of the version. */
    readonly servers: ReadonlySet<string>;
    readonly states: { readonly state: string; readonly at: number; }[];
}

/** What must serve again once the faults of a run are over. */
export interface RecoveryProbe {
    /** Zones with servers that may have requests. */
    readonly zones: readonly string[];
    /** Boxes by the address where callers reach them, with the status of a request that was sent to each. */
    readonly boxes: readonly { readonly box: string; readonly status: number; }[];
}

/** All that a run of the soak saw. Times are milliseconds since its start. */
export interface Observations {
    readonly attempts: readonly ObservedAttempt[];
    readonly runs: readonly ObservedRun[];
    readonly boxTerminations: readonly BoxTermination[];
    readonly unsolicitedBytes: readonly UnsolicitedBytes[];
    /** By server: when it must not get requests. */
    readonly drained: ReadonlyMap<string, Interval>;
    /** By zone: when it must not get requests. */
    readonly zoneClosures: ReadonlyMap<string, readonly Interval[]>;
    /** Services that a path may go to, by time. */
    readonly destinations: readonly (Interval & { readonly path: string; readonly service: string; })[];
    /** From when on a key must not be honoured; undefined for one that stands. */
    readonly keyInvalidFrom: (key: string) => number | undefined;
    readonly rollouts: readonly ObservedRollout[];
    /** Limits that servers named; undefined where none was drawn. */
    readonly limits?: readonly ObservedLimit[];
    /** What servers said of themselves in their answers; undefined where none was drawn. */
    readonly leaving?: readonly ObservedLeaving[];
    readonly backoffs?: readonly ObservedBackoff[];
    /** From here on all faults are over, and enough time has passed to recover. */
    readonly recoveredFrom: number;
    /** True if no fault has struck the box of an address for a while; undefined where that was not noted. */
    readonly isConnected?: (host: string, at: number) => boolean;
    /** True if a fault has struck the box of an address itself lately; undefined where that was not noted. */
    readonly hadBoxFault?: (host: string, at: number) => boolean;
    /** What must serve once all faults are over; undefined where there were none. */
    readonly recoveryProbe?: RecoveryProbe;
}

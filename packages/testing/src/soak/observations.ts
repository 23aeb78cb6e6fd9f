/**
 * Types of what a soak run observed and of the breaches that the checks find in it.
 *
 * The run fills them in; each check reads them.
 */

import type { ServerRun } from "../standins/backend-server.js";
import type { ClientAnswer } from "../standins/client.js";
import type { PartitionKind } from "../standins/partition.js";
import type { CallerKey } from "./soak-customers.js";

/** A promise that was not kept, and when. */
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
        | "partition"
        | "return"
        | "retries"
        | "departed"
        | "status"
        | "own end"
        | "cold";
    /** Milliseconds since the start of the run. */
    readonly at: number;
    readonly detail: string;
}

/** One attempt of a caller; `at` is when it was sent. */
export interface ObservedAttempt {
    readonly requestId: string;
    readonly idempotent: boolean;
    readonly at: number;
    readonly box: string;
    readonly answer: ClientAnswer;
    /** Customer and key with which it was sent. */
    readonly held: CallerKey;
    /** Time from which the box has stated that it is ready; undefined if it does not or was not asked. */
    readonly readySince?: number;
    /**
     * Set if a pipelined request got no answer: an earlier answer ended the connection (`unread`), or the
     * connection was lost.
     */
    readonly unanswered?: { readonly kind: "unread" | "lost"; readonly at: number; };
}

/** A signal that ended a box; `box` is its address for callers. */
export interface BoxTermination {
    readonly box: string;
    readonly signal: NodeJS.Signals;
    readonly at: number;
}

/** Bytes that a box sent while no request waited for an answer. */
export interface UnsolicitedBytes {
    readonly at: number;
    readonly box: string;
    readonly bytes: string;
}

/** A request that ran at a server; `at` is when it began. */
export interface ObservedRun extends ServerRun {
    readonly at: number;
    readonly server: string;
    readonly service: string;
    readonly zone: string;
}

/** A request that arrived at a server; each further attempt of a request arrives with the same id. */
export interface ObservedRequestArrival {
    readonly requestId: string;
    /** Undefined if it was not recorded. */
    readonly server?: string;
    readonly at: number;
    /** True if the link of its server may have held it back since a time; undefined if that was not recorded. */
    readonly wasHeldBack?: (since: number) => boolean;
}

/** A request whose caller closed its connection without having an answer, and when. */
export interface ObservedDeparture {
    readonly requestId: string;
    readonly at: number;
}

/** Times between which something must not get requests, or a configuration was in force. */
export interface Interval {
    readonly from: number;
    readonly to: number;
}

/** A rate limit that a server announced, and when; `to` is the end of the server's incarnation if that came first. */
export interface ObservedLimit extends Interval {
    readonly server: string;
    /** Requests per second. */
    readonly rate: number;
}

/** A time in which a server was cold; `to` is the end of its incarnation if that came first. */
export interface ObservedColdPeriod extends Interval {
    readonly server: string;
}

/** A server that announces in its answers, since `from`, that it is leaving. */
export interface ObservedLeaving {
    readonly server: string;
    readonly from: number;
}

/** Requests that arrived at a server which asked for back-off. */
export interface ObservedBackoff {
    readonly server: string;
    /** Duration of each back-off. */
    readonly backoffMilliseconds: number;
    /** Requests that it rejected with that back-off. */
    readonly rejections: readonly ObservedArrival[];
    /** All requests that arrived. */
    readonly arrivals: readonly ObservedArrival[];
}

/** A request that arrived at a server: from which box, and when. */
export interface ObservedArrival {
    readonly boxAddress: string;
    readonly at: number;
}

/** An order to move a service onto servers of a version, and the states that the store showed. */
export interface ObservedRollout extends Interval {
    readonly service: string;
    readonly version: string;
    readonly isBad: boolean;
    /** Servers of the version. */
    readonly servers: ReadonlySet<string>;
    readonly states: { readonly state: string; readonly at: number; }[];
}

/** What must serve again once the faults of a run are over, and whether the boxes do. */
export interface RecoveryProbe {
    /** Availability zones with servers that may get requests. */
    readonly zones: readonly string[];
    /** Boxes by their address for callers, each with the status of a request that was sent to it. */
    readonly boxes: readonly { readonly box: string; readonly status: number; }[];
}

/** Boxes that were partitioned from all servers, and how. */
export interface ObservedPartition extends Interval {
    readonly hosts: ReadonlySet<string>;
    readonly kind: PartitionKind;
}

/** Everything that a soak run observed. Times are milliseconds since its start. */
export interface Observations {
    /** Boxes whose process ended with an error, and its exit code; undefined if that was not recorded. */
    readonly ownEnds?: readonly { readonly box: string; readonly code: number; }[];
    readonly attempts: readonly ObservedAttempt[];
    readonly runs: readonly ObservedRun[];
    /** All requests that arrived at servers, in order of time; undefined if that was not recorded. */
    readonly arrivals?: readonly ObservedRequestArrival[];
    /** Times of requests that are not among the attempts; undefined if there were none. */
    readonly otherRequestTimes?: readonly number[];
    /** Requests whose callers have left; undefined if that was not recorded. */
    readonly departures?: readonly ObservedDeparture[];
    readonly boxTerminations: readonly BoxTermination[];
    readonly unsolicitedBytes: readonly UnsolicitedBytes[];
    /** By server id: when it must not get requests. */
    readonly drained: ReadonlyMap<string, Interval>;
    /** By availability zone: when it must not get requests. */
    readonly zoneClosures: ReadonlyMap<string, readonly Interval[]>;
    /** Services that a path may go to, and when. */
    readonly destinations: readonly (Interval & { readonly path: string; readonly service: string; })[];
    /** Time from which a key must not be accepted; undefined for a valid key. */
    readonly keyInvalidFrom: (key: string) => number | undefined;
    readonly rollouts: readonly ObservedRollout[];
    /** Limits that servers announced; undefined if the faults include none. */
    readonly limits?: readonly ObservedLimit[];
    /** Times in which servers were cold; undefined if the faults include none. */
    readonly coldPeriods?: readonly ObservedColdPeriod[];
    /** Servers that announced that they are leaving; undefined if the faults include none. */
    readonly leaving?: readonly ObservedLeaving[];
    /** Back-offs that servers asked for; undefined if the faults include none. */
    readonly backoffs?: readonly ObservedBackoff[];
    /** Partitions of boxes from servers; undefined if the faults include none. */
    readonly partitions?: readonly ObservedPartition[];
    /** Time from which all faults are over and boxes must have recovered. */
    readonly recoveredFrom: number;
    /**
     * True if the box at an address was not affected by a fault for `connectedAfter`; undefined if that was not
     * recorded.
     */
    readonly isConnected?: (host: string, at: number) => boolean;
    /** True if the box at an address itself had a fault within `connectedAfter`; undefined if that was not recorded. */
    readonly hadBoxFault?: (host: string, at: number) => boolean;
    /** True if the box at an address was restarted or paused between two times; undefined if that was not recorded. */
    readonly hadBoxFaultBetween?: (host: string, from: number, to: number) => boolean;
    /** Milliseconds between two times for which the soak itself was held up; undefined if that was not recorded. */
    readonly ownDelayWithin?: (from: number, to: number) => number;
    /** Result of the probe once all faults are over; undefined if there were none. */
    readonly recoveryProbe?: RecoveryProbe;
}

/**
 * What boxes and the deciding box of a roll-out tell each other. Every count is
 * cumulative since the box's start, so a repeated, lost or late message changes
 * nothing.
 *
 * Owns nothing.
 */

import type { IncarnationId, Milliseconds } from "@chalkdale/kernel";
import type { RolloutId } from "./rollout-order.js";

/**
 * Answers of one group of servers on one route. `isTrial` false: servers of the proven version that the trial is compared with,
 * at the same time. Servers are grouped by hash, so that one bad server does not pass for a bad version.
 */
export interface EvidenceCell {
    readonly isTrial: boolean;
    /** From 0 to 7. */
    readonly group: number;
    /** Hash of the route's name; 0 for all routes beyond the most frequent ones. */
    readonly route: number;
    readonly answers: number;
    /** Of these, failures that are not for the load: the request ran or broke off without a success. */
    readonly failures: number;
    /** Sum of the natural logarithms of time needed over time expected, each within bounds, of the successes. */
    readonly slownessSum: number;
}

/** What one box did of a roll-out. */
export interface RolloutReport {
    readonly rollout: RolloutId;
    readonly incarnation: IncarnationId;
    /** Requests of the service that this box sent to any server, tries included. */
    readonly sent: number;
    /** Of these, to the version on trial. */
    readonly sentToTrial: number;
    /** Requests in progress at servers of other versions. */
    readonly inProgressOnOtherVersions: number;
    /** Greatest cap that this box was granted. */
    readonly cap: number;
    /** Greatest sum of all caps that this box heard of; undefined before the first grant. */
    readonly knownGrantedTotal: number | undefined;
    /** Time since the order, as far as this box knows. */
    readonly age: Milliseconds;
    readonly cells: readonly EvidenceCell[];
}

/** Stage of an order at the deciding box. */
export type RolloutStage = "watching" | "moving" | "completed" | "rolledBack";

/** What one box may send to the version on trial. */
export interface RolloutGrant {
    readonly rollout: RolloutId;
    readonly stage: RolloutStage;
    /** Requests that the box may have sent to the version on trial since its start. Never taken back. */
    readonly cap: number;
    /** Part of its requests that a box should spend on the trial, while its cap allows it. */
    readonly share: number;
    /** Servers of the target version among which the sample is concentrated. */
    readonly sampledServerCount: number;
    /** Sum of the caps of all boxes. */
    readonly grantedTotal: number;
    readonly age: Milliseconds;
}

/** A decision on its way: told before and besides the store. Nothing follows on a decision. */
export interface RolloutDecision {
    readonly rollout: RolloutId;
    readonly decision: "completed" | "rolledBack";
    /** What decided, for the logs. */
    readonly reason: string;
}

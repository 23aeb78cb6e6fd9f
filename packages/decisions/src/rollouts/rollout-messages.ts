/**
 * Messages between boxes and the deciding box of a roll-out. Every count is cumulative
 * since the box's start, so that lost, repeated and late messages do no harm.
 */

import type { IncarnationId, Milliseconds } from "@chalkdale/kernel";
import type { RolloutId } from "./rollout-order.js";

/**
 * Sums over the answers of one server group on one route. With `isTrial` false the servers are of the proven
 * version, which the trial is compared with over the same time. Servers are grouped by hash so that one bad
 * server is not mistaken for a bad version.
 */
export interface EvidenceCell {
    readonly isTrial: boolean;
    /** From 0 to 7. */
    readonly group: number;
    /** Hash of the route's name; 0 stands for all routes beyond the most frequent ones. */
    readonly route: number;
    readonly answers: number;
    /** Of these, failures not caused by load: the request was processed or broken off without success. */
    readonly failures: number;
    /**
     * Sum over the successes of the natural logarithm of actual over expected time, each clamped (see
     * `trial-evidence`).
     */
    readonly slownessSum: number;
}

/** Counts and evidence of one box for a roll-out. */
export interface RolloutReport {
    readonly rollout: RolloutId;
    readonly incarnation: IncarnationId;
    /** Attempts of the service's requests that this box sent to any server. */
    readonly sent: number;
    /** Of these, attempts at the trial version. */
    readonly sentToTrial: number;
    /** Requests in progress at servers of other versions. */
    readonly inProgressOnOtherVersions: number;
    /** Greatest cap that this box was granted. */
    readonly cap: number;
    /** Greatest granted total (sum of all caps) that this box knows; undefined before the first grant. */
    readonly knownGrantedTotal: number | undefined;
    /** Time since the order as this box knows it. */
    readonly age: Milliseconds;
    readonly cells: readonly EvidenceCell[];
}

/** Stage of an order at the deciding box. */
export type RolloutStage = "watching" | "moving" | "completed" | "rolledBack";

/** What one box may send to the trial version. */
export interface RolloutGrant {
    readonly rollout: RolloutId;
    readonly stage: RolloutStage;
    /** Maximum number of requests that the box may have sent to the trial version since its start. Never lowered. */
    readonly cap: number;
    /** Share of its requests that the box should send to the trial version while its cap allows it, from 0 to 1. */
    readonly share: number;
    /** Number of the target version's servers that are sampled. */
    readonly sampledServerCount: number;
    /** Sum of all caps that were granted to boxes. */
    readonly grantedTotal: number;
    readonly age: Milliseconds;
}

/**
 * A final decision that the deciding box announces to all boxes, in addition to the store: `rolledBack` as soon as
 * it is taken, `completed` once the store has it.
 */
export interface RolloutDecision {
    readonly rollout: RolloutId;
    readonly decision: "completed" | "rolledBack";
    /** Why it was decided, for logs. */
    readonly reason: string;
}

/**
 * Inputs and results of a step of an order's decider.
 */

import type { BoxId, Milliseconds } from "@chalkdale/kernel";
import type { RolloutGrant, RolloutStage } from "./rollout-messages.js";
import type { RolloutId, RolloutOrder } from "./rollout-order.js";
import type { RolloutPlan } from "./rollout-plan.js";
import type { Verdict } from "./verdict.js";

/** The state that the deciding box has to write to the store, if any. */
export type RolloutAction =
    | { readonly kind: "none"; }
    | { readonly kind: "writeRunning"; }
    | { readonly kind: "writeCompleted"; readonly reason: string; }
    | { readonly kind: "writeRolledBack"; readonly reason: string; };

/** A grant to push to a box without waiting for its next report. */
export interface AddressedGrant {
    readonly box: BoxId;
    readonly grant: RolloutGrant;
}

/** The progress of an order, for logs and operators. */
export interface RolloutStatus {
    readonly rollout: RolloutId;
    readonly stage: RolloutStage;
    readonly age: Milliseconds;
    readonly plan: RolloutPlan;
    /** Requests of the service since the order. */
    readonly sent: number;
    /** Of these, requests to the target version. */
    readonly sentToTrial: number;
    /** Sum of all caps that were granted. */
    readonly grantedTotal: number;
    /** Upper bound of that sum. */
    readonly allowed: number;
    readonly verdict: Verdict;
    /** Why the order was decided as it was; undefined until then. */
    readonly reason: string | undefined;
}

/** Inputs of a step. */
export interface RolloutStepInputs {
    /** The newest state of the order that this box knows. */
    readonly order: RolloutOrder;
    /** The store answers this box. */
    readonly isStoreReachable: boolean;
    /** The target is already the proven version; see `ServedVersions`. */
    readonly isTargetProven: boolean;
}

/**
 * What the decider of an order is asked at each step, and what it answers.
 *
 * Owns nothing.
 */

import type { BoxId, Milliseconds } from "@chalkdale/kernel";
import type { RolloutGrant, RolloutStage } from "./rollout-messages.js";
import type { RolloutId, RolloutOrder } from "./rollout-order.js";
import type { RolloutPlan } from "./rollout-plan.js";
import type { Verdict } from "./verdict.js";

/** What the deciding box has to write. */
export type RolloutAction =
    | { readonly kind: "none"; }
    | { readonly kind: "writeRunning"; }
    | { readonly kind: "writeCompleted"; readonly reason: string; }
    | { readonly kind: "writeRolledBack"; readonly reason: string; };

/** A grant that a box is to have at once. */
export interface AddressedGrant {
    readonly box: BoxId;
    readonly grant: RolloutGrant;
}

/** Where an order stands, for logs and operators. */
export interface RolloutStatus {
    readonly rollout: RolloutId;
    readonly stage: RolloutStage;
    readonly age: Milliseconds;
    readonly plan: RolloutPlan;
    /** Requests of the service since the order, of these to the target, sum of caps, and what that sum may be. */
    readonly sent: number;
    readonly sentToTrial: number;
    readonly grantedTotal: number;
    readonly allowed: number;
    readonly verdict: Verdict;
    /** What decided; undefined before. */
    readonly reason: string | undefined;
}

/** What a step goes by. */
export interface RolloutStepInputs {
    /** The newest copy of the order. */
    readonly order: RolloutOrder;
    /** The store answers this box. */
    readonly isStoreReachable: boolean;
    /** The target is proven already; see `ServedVersions`. */
    readonly isTargetProven: boolean;
}

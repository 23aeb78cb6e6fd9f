/**
 * Selects the boxes that coordinate quotas and roll-outs, and the coordinator of each customer or service among them.
 * Both use rendezvous hashing, so boxes with the same view of the membership select the same ones.
 *
 * A box that suddenly sees less than half of the boxes that it saw before is more likely cut off than one of a few
 * survivors. It then selects no coordinators: its leases stay in use until they expire, and no quota is allocated
 * twice.
 *
 * Owns the peak number of running boxes over the last seconds; relies on the membership.
 */

import { type BoxId, type CustomerId, hashText, type Milliseconds, type ServiceId } from "@chalkdale/kernel";
import { rendezvousScore } from "../../choose/rendezvous.js";
import { leaseLifetime } from "./quota-messages.js";

/** A box's view of all boxes. */
interface KnownBoxes {
    /** Boxes that the directory returns to callers. */
    readonly advertised: readonly BoxId[];
    /**
     * Number of running boxes, whether the directory returns them or not. The number that it returns changes with the
     * load, so it can't show that this box is cut off.
     */
    readonly aliveCount: number;
}

/** The coordinators, as one box selects them. */
export interface CoordinatorSet {
    /** Selects the coordinators for the current view. To be called several times a second. */
    readonly update: (known: KnownBoxes, at: Milliseconds) => void;
    /** The coordinators; empty while this box may be cut off. */
    readonly current: () => readonly BoxId[];
    /**
     * Milliseconds for which the coordinators have been the same and two or more boxes known; 0 while this box knows
     * only itself.
     */
    readonly unchangedFor: (at: Milliseconds) => number;
    /** Number of boxes that may admit requests, whether this box reaches them or not; at least 1. */
    readonly boxCount: () => number;
}

/** Coordinators that allocate one customer's quota at the same time. */
const coordinatorsPerCustomer = 2;
/** Hash that ranks the boxes for the selection of coordinators. */
const coordinatorsHash = hashText("quota counters");
/**
 * Fraction of the peak number of boxes below which this box may be cut off. Losing one of three regions loses only a
 * third.
 */
const minKnownFraction = 0.5;

/** Creates the set of a box that knows no boxes yet. */
export function createCoordinatorSet(): CoordinatorSet {
    let peak = { count: 0, at: 0 };
    let coordinators: readonly BoxId[] = [];
    let advertisedCount = 1;
    let changedAt: Milliseconds | undefined;

    return {
        update({ aliveCount, advertised }, at) {
            if (aliveCount < peakCount(aliveCount, at) * minKnownFraction) {
                coordinators = [];
                return;
            }
            // With sqrt(N) coordinators for N boxes, each box sends at most sqrt(N) messages a round, and each
            // coordinator receives at most N.
            setCoordinators(
                rankBoxes(coordinatorsHash, advertised).slice(0, Math.ceil(Math.sqrt(advertised.length))),
                at,
            );
            advertisedCount = Math.max(1, advertised.length);
        },
        current: () => coordinators,
        unchangedFor: at => advertisedCount < 2 || changedAt === undefined ? 0 : at - changedAt,
        boxCount: () => advertisedCount,
    };

    function setCoordinators(next: readonly BoxId[], at: Milliseconds): void {
        if (changedAt === undefined || next.join() !== coordinators.join()) {
            changedAt = at;
        }
        coordinators = next;
    }

    /** Returns the peak number of running boxes over the lifetime of a lease. */
    function peakCount(count: number, at: Milliseconds): number {
        if (count >= peak.count || at - peak.at > leaseLifetime) {
            peak = { count, at };
        }
        return peak.count;
    }
}

/**
 * Returns the box that coordinates a customer's quota or a service's roll-outs; undefined if there are no coordinators.
 */
export function coordinatorFor(subject: CustomerId | ServiceId, coordinators: readonly BoxId[]): BoxId | undefined {
    return rankBoxes(hashText(subject), coordinators).at(0);
}

/**
 * Returns the coordinators of a customer, primary first. Both receive all reports, so the standby can take over without
 * delay while the primary's process is paused.
 */
export function coordinatorPairFor(customer: CustomerId, coordinators: readonly BoxId[]): readonly BoxId[] {
    return rankBoxes(hashText(customer), coordinators).slice(0, coordinatorsPerCustomer);
}

function rankBoxes(hash: number, boxes: readonly BoxId[]): readonly BoxId[] {
    const scores = new Map(boxes.map(box => [box, rendezvousScore(hash, hashText(box), 1)]));
    return [...boxes].sort((a, b) => scores.get(b)! - scores.get(a)!);
}

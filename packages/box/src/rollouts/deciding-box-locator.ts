/**
 * Which box decides on a service's roll-out, found without an election: by
 * rendezvous hashing among the boxes that count quotas, of which all boxes find the
 * same ones. One of the strong boxes, as it takes a report of each box each 300 ms.
 *
 * Owns no state; relies on the members.
 */

import { coordinatorFor, type CoordinatorSet, type Membership } from "@chalkdale/decisions";
import type { BoxId, Milliseconds, ServiceId } from "@chalkdale/kernel";

export interface DecidingBoxLocatorOptions {
    readonly self: BoxId;
    readonly membership: Pick<Membership, "find" | "ownRecord">;
    readonly coordinators: Pick<CoordinatorSet, "current">;
    /** The store has confirmed the copy of the orders since this box started. */
    readonly isCopyConfirmed: () => boolean;
    /** False once the box is stopping. */
    readonly isRunning: () => boolean;
    /** Time since this box started. */
    readonly uptime: () => Milliseconds;
}

/** The search for the deciding box. */
export interface DecidingBoxLocator {
    /** The box that decides on a service; undefined while none is found. */
    readonly of: (service: ServiceId) => BoxId | undefined;
    /** True while this box decides on a service. */
    readonly isSelf: (service: ServiceId) => boolean;
    /** The boxes that would be next. */
    readonly backupBoxes: (service: ServiceId) => readonly BoxId[];
}

/**
 * Milliseconds after the start in which a box does not decide: it may not know yet who else runs, and take itself for the only
 * one. Five rounds of gossip, as for quotas.
 */
const settleTime = 1500;
/** Part of the greatest capacity from which a box may decide: with 70 boxes some 0.15 MB/s of reports come in. Computed. */
const strongPart = 0.5;
/** Boxes that are asked to write what the deciding box can't. */
const deputyCount = 2;

/** Creates the search. */
export function createDecidingBoxLocator(options: DecidingBoxLocatorOptions): DecidingBoxLocator {
    const { coordinators: countingBoxes, membership, self } = options;

    return {
        of,
        /** A box that has just started, or whose copy is not confirmed, may know an order as it was long ago. */
        isSelf: service =>
            options.isRunning() && options.uptime() >= settleTime && options.isCopyConfirmed() && of(service) === self,
        backupBoxes(service) {
            const found: BoxId[] = [];
            let left = countingBoxes.current().filter(box => box !== of(service));
            while (left.length > 0 && found.length < deputyCount) {
                const next = coordinatorFor(service, left)!;
                found.push(next);
                left = left.filter(box => box !== next);
            }
            return found;
        },
    };

    function of(service: ServiceId): BoxId | undefined {
        const candidates = countingBoxes.current();
        const most = Math.max(0, ...candidates.map(capacityOf));
        return coordinatorFor(service, candidates.filter(box => capacityOf(box) >= most * strongPart));
    }

    function capacityOf(box: BoxId): number {
        const member = box === self ? membership.ownRecord() : membership.find(box);
        return member?.capacity ?? 0;
    }
}

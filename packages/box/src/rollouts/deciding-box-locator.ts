/**
 * Selects the deciding box of a service's roll-out without an election: by
 * rendezvous hashing among the quota coordinators, which all boxes select alike.
 * Only boxes of high capacity are eligible, since the deciding box receives a report
 * from each box every 300 ms.
 *
 * Owns no state; relies on membership.
 */

import { coordinatorFor, type CoordinatorSet, type Membership } from "@chalkdale/decisions";
import type { BoxId, Milliseconds, ServiceId } from "@chalkdale/kernel";

export interface DecidingBoxLocatorOptions {
    readonly self: BoxId;
    readonly membership: Pick<Membership, "find" | "ownRecord">;
    readonly coordinators: Pick<CoordinatorSet, "current">;
    /** True once the store has confirmed this box's copy of the orders since the box started. */
    readonly isCopyConfirmed: () => boolean;
    /** False once the box is stopping. */
    readonly isRunning: () => boolean;
    /** Time since this box started. */
    readonly uptime: () => Milliseconds;
}

/** Finds the deciding boxes of services, as this box sees them. */
export interface DecidingBoxLocator {
    /** The deciding box of a service; undefined while this box knows no coordinators. */
    readonly of: (service: ServiceId) => BoxId | undefined;
    /** True while this box is the deciding box of a service. */
    readonly isSelf: (service: ServiceId) => boolean;
    /** The next boxes in the ranking, which write states that the deciding box can't write. */
    readonly backupBoxes: (service: ServiceId) => readonly BoxId[];
}

/**
 * Milliseconds after its start during which a box does not decide: it may not have heard of the other boxes yet and
 * would act as the only one. Five gossip rounds, as for quotas.
 */
const settleTime = 1500;
/**
 * Fraction of the greatest capacity from which a box is eligible: with 70 boxes it receives about 0.15 MB/s of reports.
 */
const eligibleCapacityFraction = 0.5;
/** Boxes that are asked to write states that the deciding box can't write. */
const backupBoxCount = 2;

/** Creates the locator of one box. */
export function createDecidingBoxLocator(options: DecidingBoxLocatorOptions): DecidingBoxLocator {
    const { coordinators, membership, self } = options;

    return {
        of,
        /** A box that has just started, or whose copy is not confirmed, may know an outdated state of an order. */
        isSelf: service =>
            options.isRunning() && options.uptime() >= settleTime && options.isCopyConfirmed() && of(service) === self,
        backupBoxes(service) {
            const found: BoxId[] = [];
            let left = coordinators.current().filter(box => box !== of(service));
            while (left.length > 0 && found.length < backupBoxCount) {
                const next = coordinatorFor(service, left)!;
                found.push(next);
                left = left.filter(box => box !== next);
            }
            return found;
        },
    };

    function of(service: ServiceId): BoxId | undefined {
        const candidates = coordinators.current();
        const maxCapacity = Math.max(0, ...candidates.map(capacityOf));
        return coordinatorFor(
            service,
            candidates.filter(box => capacityOf(box) >= maxCapacity * eligibleCapacityFraction),
        );
    }

    function capacityOf(box: BoxId): number {
        const member = box === self ? membership.ownRecord() : membership.find(box);
        return member?.capacity ?? 0;
    }
}

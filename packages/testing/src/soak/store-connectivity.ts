/**
 * Which boxes are connected to the store: the users' bounds on changes hold for these. A box
 * that had a fault, or whose store or links had one, gets more time.
 *
 * Owns the times of all faults that affect a box, its links or the store; the faults report them.
 */

import { connectedAfter } from "./soak-bounds.js";

/** A fault that affects one box, or all boxes if `host` is undefined. */
interface FaultPeriod {
    readonly host: string | undefined;
    readonly from: number;
    to: number;
}

/** The faults of a run, and which boxes are connected to the store. */
export interface StoreConnectivity {
    /**
     * Records the beginning of a fault; returns the function that records its end. `host`: address of the
     * affected box, or undefined for all.
     */
    readonly beginFault: (host?: string) => () => void;
    /** True if no fault has affected the box at an address for `connectedAfter`. */
    readonly isConnected: (host: string, at: number) => boolean;
    /** True if the box itself had a fault within `connectedAfter`: a restart or a pause. */
    readonly hadBoxFault: (host: string, at: number) => boolean;
    /** True if the box itself was restarted or paused between two times, or is at either of them. */
    readonly hadBoxFaultBetween: (host: string, from: number, to: number) => boolean;
}

/** Creates the record of a run. `now`: milliseconds since its start. */
export function createStoreConnectivity(now: () => number): StoreConnectivity {
    const faults: FaultPeriod[] = [];

    return {
        beginFault(host) {
            const period: FaultPeriod = { host, from: now(), to: Infinity };
            faults.push(period);
            return () => {
                period.to = now();
            };
        },
        isConnected: (host, at) => !faults.some(fault => (fault.host ?? host) === host && isRecent(fault, at)),
        hadBoxFault: (host, at) => faults.some(fault => fault.host === host && isRecent(fault, at)),
        hadBoxFaultBetween: (host, from, to) =>
            faults.some(fault => fault.host === host && fault.from <= to && fault.to >= from),
    };
}

function isRecent({ from, to }: FaultPeriod, at: number): boolean {
    return from <= at && to >= at - connectedAfter;
}

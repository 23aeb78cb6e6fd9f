/**
 * Which boxes are in touch with the store: the users' bounds on changes hold for these, while
 * a box that was struck, or whose store was, has longer.
 *
 * Owns the times of all faults that strike a box, its links or the store; the
 * faults tell them.
 */

import { connectedAfter } from "./soak-bounds.js";

/** A fault of one box, or of all of them if `host` is undefined. */
interface Disturbance {
    readonly host: string | undefined;
    readonly from: number;
    to: number;
}

/** What has struck the boxes, and who is in touch. */
export interface StoreConnectivity {
    /** A fault begins; returns the function that ends it. `host`: the address of the box that is struck, or undefined for all. */
    readonly beginFault: (host?: string) => () => void;
    /** True if nothing has struck the box of an address for a while. */
    readonly isConnected: (host: string, at: number) => boolean;
    /** True if a fault has struck the box itself lately: a restart, a pause, or its own path to the store. */
    readonly hadBoxFault: (host: string, at: number) => boolean;
}

/** Creates the record of a run whose time is `now`. */
export function createStoreConnectivity(now: () => number): StoreConnectivity {
    const disturbances: Disturbance[] = [];

    return {
        beginFault(host) {
            const disturbance: Disturbance = { host, from: now(), to: Infinity };
            disturbances.push(disturbance);
            return () => {
                disturbance.to = now();
            };
        },
        isConnected: (host, at) => !disturbances.some(fault => (fault.host ?? host) === host && isRecent(fault, at)),
        hadBoxFault: (host, at) => disturbances.some(fault => fault.host === host && isRecent(fault, at)),
    };
}

function isRecent({ from, to }: Disturbance, at: number): boolean {
    return from <= at && to >= at - connectedAfter;
}

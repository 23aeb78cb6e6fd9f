/**
 * Load of each service as a whole, from the load that its servers report with their
 * answers. Shows whether other servers have free slots when the wait at one is long.
 *
 * Owns a smoothed load for each service; relies on the answers that this box received.
 */

import type { ServiceId } from "@chalkdale/kernel";
import type { LoadReport } from "../servers/load-estimate.js";

/** Load of each service. */
export interface ServiceLoad {
    /** A server of the service reported its load. */
    readonly onReport: (service: ServiceId, report: LoadReport) => void;
    /** Requests per slot at the service's servers, running and waiting; 0 before the first report. */
    readonly perSlot: (service: ServiceId) => number;
}

/** Weight of the newest report: the last twenty dominate, which one box receives in one to two seconds. */
const smoothing = 0.05;

/** Creates the loads; every service starts with 0. */
export function createServiceLoad(): ServiceLoad {
    const loads = new Map<ServiceId, number>();

    return {
        onReport(service, { running, slots, waiting }) {
            if (slots <= 0) {
                return;
            }
            const known = loads.get(service) ?? 0;
            loads.set(service, known + ((running + waiting) / slots - known) * smoothing);
        },
        perSlot: service => loads.get(service) ?? 0,
    };
}

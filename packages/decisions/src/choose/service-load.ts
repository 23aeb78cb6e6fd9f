/**
 * Load of each service as a whole, from what its servers report with their
 * answers: whether a long wait at one server means that others have room.
 *
 * Owns a smoothed load for each service; relies on answers that this box had.
 */

import type { ServiceId } from "@chalkdale/kernel";
import type { LoadReport } from "../servers/load-estimate.js";

/** Loads of the services. */
export interface ServiceLoad {
    readonly onReport: (service: ServiceId, report: LoadReport) => void;
    /** Requests at the service's servers for each of their slots, running and waiting; 0 before the first report. */
    readonly perSlot: (service: ServiceId) => number;
}

/** Weight of the newest report: the last twenty count most, a second or two of one box's answers. */
const smoothing = 0.05;

/** Creates the loads; nothing is known at first. */
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

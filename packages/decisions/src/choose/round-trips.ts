/**
 * Round-trip time to each availability zone, learned from the time that connections take to open.
 *
 * Owns one smoothed time for each zone; relies on this box's new connections.
 */

import { type AvailabilityZoneId, type Milliseconds, milliseconds, type RegionId } from "@chalkdale/kernel";

/** Round-trip times by availability zone. */
export interface RoundTrips {
    readonly estimate: (region: RegionId, zone: AvailabilityZoneId) => Milliseconds;
    readonly onConnected: (zone: AvailabilityZoneId, duration: Milliseconds) => void;
}

/**
 * Initial estimate in milliseconds for the box's own zone. Zones of one region are usually 1 to 3 ms apart, regions 20
 * to 70 ms.
 */
const sameZone = 1;
/** Initial estimate in milliseconds for other zones of the region. */
const sameRegion = 3;
/** Initial estimate in milliseconds for other regions. */
const otherRegion = 40;
/** Weight of the newest connection in the smoothed time. */
const smoothing = 0.2;

/** Creates the estimates of a box in the given region and zone. */
export function createRoundTrips(ownRegion: RegionId, ownZone: AvailabilityZoneId): RoundTrips {
    const learned = new Map<AvailabilityZoneId, number>();

    return {
        estimate: (region, zone) => milliseconds(learned.get(zone) ?? initialEstimate(region, zone)),
        onConnected(zone, duration) {
            const known = learned.get(zone);
            learned.set(zone, known === undefined ? duration : known + (duration - known) * smoothing);
        },
    };

    function initialEstimate(region: RegionId, zone: AvailabilityZoneId): number {
        if (zone === ownZone) {
            return sameZone;
        }
        return region === ownRegion ? sameRegion : otherRegion;
    }
}

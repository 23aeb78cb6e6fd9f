/**
 * Time to each availability zone and back, learned from how long connections take to open.
 *
 * Owns one smoothed time for each zone; relies on new connections.
 */

import { type AvailabilityZoneId, type Milliseconds, milliseconds, type RegionId } from "@chalkdale/kernel";

/** Times there and back by availability zone. */
export interface RoundTrips {
    readonly estimate: (region: RegionId, zone: AvailabilityZoneId) => Milliseconds;
    readonly onConnected: (zone: AvailabilityZoneId, duration: Milliseconds) => void;
}

/** First guesses in milliseconds, until a connection was opened: zones of one region are usually 1 to 3 ms apart, regions 20 to 70. */
const sameZone = 1;
/** Milliseconds within a region. */
const sameRegion = 3;
/** Milliseconds between regions. */
const otherRegion = 40;
/** Weight of the newest connection. */
const smoothing = 0.2;

/** Creates estimates for a box in a place. */
export function createRoundTrips(ownRegion: RegionId, ownZone: AvailabilityZoneId): RoundTrips {
    const learned = new Map<AvailabilityZoneId, number>();

    return {
        estimate: (region, zone) => milliseconds(learned.get(zone) ?? firstGuess(region, zone)),
        onConnected(zone, duration) {
            const known = learned.get(zone);
            learned.set(zone, known === undefined ? duration : known + (duration - known) * smoothing);
        },
    };

    function firstGuess(region: RegionId, zone: AvailabilityZoneId): number {
        if (zone === ownZone) {
            return sameZone;
        }
        return region === ownRegion ? sameRegion : otherRegion;
    }
}

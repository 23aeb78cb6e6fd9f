/**
 * The tree of settings of places: the root, regions, and zones.
 *
 * A zone inherits each value from its region and a region from the root unless
 * it says otherwise.
 *
 * Owns no state; relies on the copy of closed availability zones.
 */

import type { AvailabilityZoneId, RegionId } from "@chalkdale/kernel";

/** Values that a place may state. */
export interface PlaceValues {
    /** False: no requests go to servers of the place. */
    readonly admitsRequests: boolean;
}

/** What each place states for itself. */
export interface PlaceSettings {
    readonly root: PlaceValues;
    readonly regions: ReadonlyMap<RegionId, Partial<PlaceValues>>;
    readonly zones: ReadonlyMap<AvailabilityZoneId, Partial<PlaceValues>>;
}

/** Settings in which every place admits requests. */
export const openPlaces: PlaceSettings = {
    root: { admitsRequests: true },
    regions: new Map(),
    zones: new Map(),
};

/** Returns the values in force in a zone. */
export function resolvePlace(settings: PlaceSettings, region: RegionId, zone: AvailabilityZoneId): PlaceValues {
    return { ...settings.root, ...settings.regions.get(region), ...settings.zones.get(zone) };
}

/** Returns settings in which the given zones admit nothing and all else is inherited. */
export function closeZones(settings: PlaceSettings, zones: Iterable<AvailabilityZoneId>): PlaceSettings {
    const closed = new Map([...zones].map(zone => [zone, { admitsRequests: false }] as const));
    return { ...settings, zones: closed };
}

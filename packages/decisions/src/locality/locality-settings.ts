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
export interface LocalityValues {
    /** False: no requests go to servers of the place. */
    readonly admitsRequests: boolean;
}

/** What each place states for itself. */
export interface LocalitySettings {
    readonly root: LocalityValues;
    readonly regions: ReadonlyMap<RegionId, Partial<LocalityValues>>;
    readonly zones: ReadonlyMap<AvailabilityZoneId, Partial<LocalityValues>>;
}

/** Settings in which every place admits requests. */
export const defaultLocalitySettings: LocalitySettings = {
    root: { admitsRequests: true },
    regions: new Map(),
    zones: new Map(),
};

/** Returns the values in force in a zone. */
export function resolveLocality(
    settings: LocalitySettings,
    region: RegionId,
    zone: AvailabilityZoneId,
): LocalityValues {
    return { ...settings.root, ...settings.regions.get(region), ...settings.zones.get(zone) };
}

/** Returns settings in which the given zones admit nothing and all else is inherited. */
export function closeZones(settings: LocalitySettings, zones: Iterable<AvailabilityZoneId>): LocalitySettings {
    const closed = new Map([...zones].map(zone => [zone, { admitsRequests: false }] as const));
    return { ...settings, zones: closed };
}

/**
 * Settings by locality: a tree of the root, regions and availability zones. A zone inherits each value from its region,
 * and a region from the root, unless it overrides it.
 *
 * Owns no state; relies on the copy of the closed availability zones.
 */

import type { AvailabilityZoneId, RegionId } from "@chalkdale/kernel";

/** Values that can be set for a locality. */
export interface LocalityValues {
    /** False if no requests may be sent to servers of the locality. */
    readonly admitsRequests: boolean;
}

/** The values set at each level; regions and zones may set only some. */
export interface LocalitySettings {
    readonly root: LocalityValues;
    readonly regions: ReadonlyMap<RegionId, Partial<LocalityValues>>;
    readonly zones: ReadonlyMap<AvailabilityZoneId, Partial<LocalityValues>>;
}

/** Settings with which every locality admits requests. */
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

/** Returns settings in which the given zones admit no requests and all other zones inherit their values. */
export function closeZones(settings: LocalitySettings, zones: Iterable<AvailabilityZoneId>): LocalitySettings {
    const closed = new Map([...zones].map(zone => [zone, { admitsRequests: false }] as const));
    return { ...settings, zones: closed };
}

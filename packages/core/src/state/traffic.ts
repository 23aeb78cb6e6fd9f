/**
 * What boxes tell each other about traffic, and how a zone's boxes are
 * summed up so that messages grow with zones and not with boxes.
 */

import type { BoxId, IncarnationId, RegionId, ServiceId, ZoneId } from "../kernel/ids.js";

/** Traffic of one service from one region of origin through one or more boxes. */
export interface OriginTraffic {
    readonly service: ServiceId;
    readonly origin: RegionId;
    /** Requests per second, those refused included. */
    readonly rate: number;
    /** Share sent to each availability zone. */
    readonly shares: Readonly<Record<string, number>>;
}

/** Requests per second of one service that a zone's backend servers were sent. */
export interface ServedTraffic {
    readonly service: ServiceId;
    readonly zone: ZoneId;
    readonly rate: number;
}

/** How a box presents itself to others. */
export interface BoxPresence {
    readonly box: BoxId;
    readonly incarnation: IncarnationId;
    readonly region: RegionId;
    readonly zone: ZoneId;
    readonly address: string;
    readonly port: number;
    readonly peerPort: number;
    /** False until the box may send requests on. */
    readonly ready: boolean;
    readonly leaving: boolean;
    readonly inFlight: number;
}

/** What one box measures. */
export interface BoxStatus {
    readonly presence: BoxPresence;
    readonly traffic: readonly OriginTraffic[];
    readonly served: readonly ServedTraffic[];
    readonly settingsVersion: number;
}

/** What a relay says of all boxes of its availability zone. */
export interface ZoneSummary {
    readonly region: RegionId;
    readonly zone: ZoneId;
    readonly boxes: readonly BoxPresence[];
    readonly traffic: readonly OriginTraffic[];
    readonly served: readonly ServedTraffic[];
    /** Lowest settings version in force among the boxes; 0 without any. */
    readonly settingsVersion: number;
}

/** Sums up the statuses of one zone: rates add, shares are means weighted by rate. */
export function summariseZone(
    region: RegionId,
    zone: ZoneId,
    statuses: readonly BoxStatus[],
): ZoneSummary {
    return {
        region,
        zone,
        boxes: statuses.map(status => status.presence),
        traffic: sumUpTraffic(statuses.flatMap(status => status.traffic)),
        served: groupBy(statuses.flatMap(status => status.served), servedKey).map(sumServed),
        settingsVersion: statuses.length === 0 ? 0 : Math.min(...statuses.map(status => status.settingsVersion)),
    };
}

/** Joins traffic of the same service and origin. */
export function sumUpTraffic(traffic: readonly OriginTraffic[]): OriginTraffic[] {
    return groupBy(traffic, trafficKey).map(sumTraffic);
}

/** Identifies the service and origin of traffic. */
export function trafficKey(traffic: { readonly service: ServiceId; readonly origin: RegionId; }): string {
    return `${traffic.service} ${traffic.origin}`;
}

function servedKey(served: ServedTraffic): string {
    return `${served.service} ${served.zone}`;
}

function groupBy<Item>(items: readonly Item[], keyOf: (item: Item) => string): Item[][] {
    const groups = new Map<string, Item[]>();
    for (const item of items) {
        const key = keyOf(item);
        const group = groups.get(key);
        if (group === undefined) {
            groups.set(key, [item]);
        }
        else {
            group.push(item);
        }
    }
    return [...groups.values()];
}

/** Weight of a box without traffic, so that shares are known from the first second. */
const idleWeight = 1e-6;

function sumTraffic(group: readonly OriginTraffic[]): OriginTraffic {
    const rate = group.reduce((sum, traffic) => sum + traffic.rate, 0);
    const weights = rate + idleWeight * group.length;
    const shares: Record<string, number> = {};
    for (const traffic of group) {
        for (const [zone, share] of Object.entries(traffic.shares)) {
            shares[zone] = (shares[zone] ?? 0) + share * (traffic.rate + idleWeight) / weights;
        }
    }
    return { service: group[0].service, origin: group[0].origin, rate, shares };
}

function sumServed(group: readonly ServedTraffic[]): ServedTraffic {
    return { ...group[0], rate: group.reduce((sum, served) => sum + served.rate, 0) };
}

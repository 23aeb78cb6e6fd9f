/**
 * The plan of one box: for every service and region of origin the shares now
 * in force, the goal they move to, and the rates that were measured.
 */

import { type Milliseconds, milliseconds, type ServiceId, type ZoneId } from "../kernel/ids.js";
import type { CompiledRegion, CompiledService, CompiledSettings } from "../settings/compiled.js";
import { type OriginTraffic, type ServedTraffic, trafficKey, type ZoneSummary } from "../state/traffic.js";
import { computeGoals, type Demand, type ZoneObservation } from "./goal.js";
import { createRateMeter, type RateMeter } from "./rate-meter.js";
import { createServedMeasure } from "./served-traffic.js";
import { createShift, meanOfPeers, type Shift, timeToMove } from "./shift.js";
import { createSpread, type Spread } from "./spread.js";

/** Why a goal changed. */
export type PlanCause = "settings" | "servers" | "demand";

/** A goal that changed by more than a trifle. */
export interface PlanChange {
    readonly service: ServiceId;
    readonly origin: string;
    readonly cause: PlanCause;
    /** Wanted share by zone. */
    readonly goal: Readonly<Record<string, number>>;
}

/** What is known of a service in a zone, without its warmth. */
export type ObserveServers = (
    service: CompiledService,
    zone: number,
    at: Milliseconds,
) => Omit<ZoneObservation, "warmth">;

/** The traffic of one service from one region of origin through this box. */
export interface PlannedTraffic {
    /** Returns the index of the place for the next request; that after the last zone is no place. */
    readonly next: () => number;
    /** Notes that a request was sent to a zone. */
    readonly sent: (zone: number) => void;
    /** Returns the milliseconds until the share of a place can have moved elsewhere. */
    readonly timeToLeave: (place: number) => Milliseconds;
}

/** The plan of one box. */
export interface TrafficPlan {
    readonly applySettings: (settings: CompiledSettings, at: Milliseconds) => void;
    readonly applySummary: (summary: ZoneSummary, age: number, at: Milliseconds) => void;
    readonly applyLastShares: (traffic: readonly OriginTraffic[]) => void;
    /** Moves the shares, and now and then works the goals out anew. */
    readonly tick: (observe: ObserveServers, at: Milliseconds) => readonly PlanChange[];
    readonly trafficOf: (service: CompiledService, origin: CompiledRegion, at: Milliseconds) => PlannedTraffic;
    /** Returns the figures behind a service's traffic from an origin. */
    readonly inspect: (service: CompiledService, origin: CompiledRegion, at: Milliseconds) => TrafficInspection;
    readonly hasPeers: () => boolean;
    readonly version: () => number;
    readonly traffic: () => readonly OriginTraffic[];
    readonly served: () => readonly ServedTraffic[];
    /** Returns the cost units per second that this box means to send to each region, by index. */
    readonly ownUnitsByRegion: () => Float64Array;
}

/** The figures behind a service's traffic from an origin, by zone index. */
export interface TrafficInspection {
    readonly shares: ArrayLike<number>;
    readonly goal: ArrayLike<number>;
    readonly warmth: ArrayLike<number>;
    /** Requests per second that each zone was sent. */
    readonly served: ArrayLike<number>;
}

/** Milliseconds between two computations of the goals. */
const goalInterval = 1000;
/** A goal is replaced when a wanted share changes by more than this. */
const noticeableChange = 0.05;
/** Summaries older than this, in milliseconds, no longer count as a peer's shares. */
const summaryLifetime = 30_000;
/** Demand of a zone that fell silent is counted for this many milliseconds more. */
const demandMemory = 60_000;

/** Share of an origin's traffic that keeps a place warm. */
const warmShare = 0.25;

interface Entry extends PlannedTraffic {
    readonly service: CompiledService;
    readonly origin: CompiledRegion;
    readonly shift: Shift;
    readonly spread: Spread;
    readonly offered: RateMeter;
    goal: Float64Array;
}

interface HeardSummary {
    readonly summary: ZoneSummary;
    readonly madeAt: Milliseconds;
}

export interface TrafficPlanOptions {
    readonly startedAt: Milliseconds;
}

/** Creates an empty plan. */
export function createTrafficPlan({ startedAt }: TrafficPlanOptions): TrafficPlan {
    let entries = new Map<string, Entry>();
    /** The same entries by service and origin's index, for the way of each request. */
    const byService = new Map<ServiceId, (Entry | undefined)[]>();
    const summaries = new Map<ZoneId, HeardSummary>();
    const served = createServedMeasure(startedAt);
    let lastShares: readonly OriginTraffic[] = [];
    let settings: CompiledSettings | undefined;
    let version = 0;
    let lastGoals = milliseconds(-Infinity);
    let pendingCause: PlanCause = "demand";
    let lastUsable = "";

    return {
        applySettings,
        applySummary(summary, age, at) {
            const madeAt = milliseconds(at - age);
            const known = summaries.get(summary.zone);
            if (known === undefined || known.madeAt <= madeAt) {
                summaries.set(summary.zone, { summary, madeAt });
            }
        },
        applyLastShares(traffic) {
            lastShares = traffic;
        },
        tick,
        trafficOf,
        inspect(service, origin, at) {
            const entry = entryOf(service, origin, at);
            return {
                shares: entry.shift.shares,
                goal: entry.goal,
                warmth: warmthOf(service, at),
                served: served.rates(service, recentSummaries(at)),
            };
        },
        hasPeers: () => [...summaries.values()].some(heard => heard.summary.traffic.length > 0),
        version: () => version,
        traffic: () => [...entries.values()].map(describeEntry),
        served: served.own,
        ownUnitsByRegion,
    };

    function applySettings(next: CompiledSettings, at: Milliseconds): void {
        const previous = settings;
        const old = entries;
        settings = next;
        entries = new Map();
        byService.clear();
        pendingCause = "settings";
        lastGoals = milliseconds(-Infinity);
        if (previous !== undefined && !sameZones(previous, next)) {
            served.clear();
        }
        for (const entry of old.values()) {
            const service = next.services.get(entry.service.id);
            const origin = next.regions.find(region => region.id === entry.origin.id);
            if (service !== undefined && origin !== undefined) {
                addEntry(service, origin, sharesByName(describeEntry(entry).shares), at, entry);
            }
        }
    }

    /** Returns shares in the order of the zones; what belongs to no zone comes last. */
    function sharesByName(shares: Readonly<Record<string, number>>): Float64Array {
        const ordered = new Float64Array(settings!.zones.length + 1);
        let placed = 0;
        for (const zone of settings!.zones) {
            ordered[zone.index] = shares[zone.id] ?? 0;
            placed += ordered[zone.index];
        }
        ordered[settings!.zones.length] = Math.max(0, 1 - placed);
        return ordered;
    }

    function trafficOf(service: CompiledService, origin: CompiledRegion, at: Milliseconds): PlannedTraffic {
        return entryOf(service, origin, at);
    }

    function entryOf(service: CompiledService, origin: CompiledRegion, at: Milliseconds): Entry {
        const entry = byService.get(service.id)?.[origin.index];
        return entry ?? addEntry(service, origin, startingShares(service, origin, at), at);
    }

    /** What peers do; without peers what was last written down; without either the origin's own zones. */
    function startingShares(service: CompiledService, origin: CompiledRegion, at: Milliseconds): Float64Array {
        const wanted = trafficKey({ service: service.id, origin: origin.id });
        const peers = [...summaries.values()]
            .filter(heard => at - heard.madeAt <= summaryLifetime)
            .flatMap(heard => heard.summary.traffic)
            .filter(traffic => trafficKey(traffic) === wanted)
            .map(traffic => ({ shares: sharesByName(traffic.shares), rate: traffic.rate }));
        const mean = meanOfPeers(peers);
        if (mean !== undefined) {
            return mean;
        }
        const last = lastShares.find(traffic => trafficKey(traffic) === wanted);
        return last === undefined ? homeShares(service, origin) : sharesByName(last.shares);
    }

    function homeShares(service: CompiledService, origin: CompiledRegion): Float64Array {
        const open = service.zones.filter(place => !place.drain);
        const home = open.filter(place => place.zone.region.id === origin.id);
        const chosen = home.length > 0 ? home : open;
        const shares = new Float64Array(settings!.zones.length + 1);
        for (const place of chosen) {
            shares[place.zone.index] = 1 / chosen.length;
        }
        return shares;
    }

    function addEntry(
        service: CompiledService,
        origin: CompiledRegion,
        shares: Float64Array,
        at: Milliseconds,
        previous?: Entry,
    ): Entry {
        const shift = createShift(shares, at);
        const spread = createSpread(shares.length);
        const offered = previous?.offered ?? createRateMeter(at);
        const entry: Entry = {
            service,
            origin,
            shift,
            spread,
            offered,
            goal: Float64Array.from(shift.shares),
            next() {
                offered.add(1);
                return spread.next(shift.shares);
            },
            sent: zone => served.sent(service, zone),
            timeToLeave: place => timeToMove(shift.shares[place], capOf(service, place)),
        };
        entries.set(trafficKey({ service: service.id, origin: origin.id }), entry);
        const ofService = byService.get(service.id) ?? [];
        ofService[origin.index] = entry;
        byService.set(service.id, ofService);
        return entry;
    }

    function capOf(service: CompiledService, place: number): number {
        return service.zones[place]?.values.shiftCap ?? service.values.shiftCap;
    }

    function tick(observe: ObserveServers, at: Milliseconds): readonly PlanChange[] {
        if (settings === undefined) {
            return [];
        }
        addMissingEntries(at);
        const changes = at - lastGoals >= goalInterval ? renewGoals(settings, observe, at) : [];
        const regionOfZone = regionIndexes(settings);
        for (const entry of entries.values()) {
            entry.shift.advance({
                at,
                goal: entry.goal,
                capPerMinute: entry.service.values.shiftCap,
                warmth: warmthOf(entry.service, at),
                regionOfZone,
            });
        }
        return changes;
    }

    /** Makes shares known for every service and origin, so that peers can start from them. */
    function addMissingEntries(at: Milliseconds): void {
        for (const service of settings!.services.values()) {
            for (const origin of settings!.regions) {
                trafficOf(service, origin, at);
            }
        }
    }

    function renewGoals(
        current: CompiledSettings,
        observe: ObserveServers,
        at: Milliseconds,
    ): readonly PlanChange[] {
        lastGoals = at;
        measure(at);
        const withWarmth = (service: CompiledService, zone: number): ZoneObservation => ({
            ...observe(service, zone, at),
            warmth: warmthOf(service, at)[zone],
        });
        const cause = causeNow(current, observe, at);
        const goals = computeGoals({ settings: current, demands: demandsAt(at), observe: withWarmth });
        const changes: PlanChange[] = [];
        for (const { demand, shares } of goals) {
            const entry = entries.get(trafficKey({ service: demand.service.id, origin: demand.origin.id }))!;
            if (largestDifference(entry.goal, shares) <= noticeableChange) {
                continue;
            }
            entry.goal = shares;
            changes.push({
                service: demand.service.id,
                origin: demand.origin.id,
                cause,
                goal: namedShares(shares),
            });
        }
        version += changes.length > 0 ? 1 : 0;
        return changes;
    }

    function causeNow(current: CompiledSettings, observe: ObserveServers, at: Milliseconds): PlanCause {
        const usable = [...current.services.values()]
            .map(service => current.zones.map(zone => observe(service, zone.index, at).usableServers).join(","))
            .join(";");
        const cause = pendingCause === "settings" ? "settings" : usable === lastUsable ? "demand" : "servers";
        lastUsable = usable;
        pendingCause = "demand";
        return cause;
    }

    function measure(at: Milliseconds): void {
        for (const entry of entries.values()) {
            entry.offered.sample(at);
        }
        served.sample(settings!, recentSummaries(at), at);
    }

    /** Demand over all boxes: the summaries of all zones, or this box's own where none is heard. */
    function demandsAt(at: Milliseconds): Demand[] {
        return [...entries.values()].map(entry => {
            const heard = heardTraffic(entry, at);
            const rate = heard.reduce((sum, { traffic }) => sum + traffic.rate, 0);
            const age = heard.reduce((oldest, { age: own }) => Math.max(oldest, own), 0);
            return {
                service: entry.service,
                origin: entry.origin,
                rate: Math.max(rate, entry.offered.rate()),
                age,
                shares: entry.shift.shares,
            };
        });
    }

    function heardTraffic(entry: Entry, at: Milliseconds) {
        const wanted = trafficKey({ service: entry.service.id, origin: entry.origin.id });
        const recent = [...summaries.values()].filter(({ madeAt }) => at - madeAt <= demandMemory);
        return recent.flatMap(({ summary, madeAt }) =>
            summary.traffic
                .filter(traffic => trafficKey(traffic) === wanted)
                .map(traffic => ({ traffic, age: at - madeAt }))
        );
    }

    function recentSummaries(at: Milliseconds): ZoneSummary[] {
        return [...summaries.values()]
            .filter(({ madeAt }) => at - madeAt <= summaryLifetime)
            .map(({ summary }) => summary);
    }

    function warmthOf(service: CompiledService, at: Milliseconds): Float64Array {
        return served.warmth(service, () => firstWarmth(service), at);
    }

    /** A place with a quarter of some origin's traffic counts as warm. */
    function firstWarmth(service: CompiledService): Float64Array {
        const warmth = new Float64Array(settings!.zones.length + 1);
        for (const entry of byService.get(service.id) ?? []) {
            entry?.shift.shares.forEach((share, zone) => {
                warmth[zone] = Math.max(warmth[zone], Math.min(1, share / warmShare));
            });
        }
        return warmth;
    }

    function ownUnitsByRegion(): Float64Array {
        const units = new Float64Array(settings?.regions.length ?? 0);
        for (const entry of entries.values()) {
            for (const { zone } of entry.service.zones) {
                const share = Math.max(entry.shift.shares[zone.index], entry.goal[zone.index] ?? 0);
                units[zone.region.index] += entry.offered.rate() * share * entry.service.values.requestCost;
            }
        }
        return units;
    }

    function describeEntry(entry: Entry): OriginTraffic {
        return {
            service: entry.service.id,
            origin: entry.origin.id,
            rate: entry.offered.rate(),
            shares: namedShares(entry.shift.shares, entry.service),
        };
    }

    function namedShares(shares: Float64Array, service?: CompiledService): Record<string, number> {
        const zones = service === undefined ? settings!.zones : service.zones.map(place => place.zone);
        return Object.fromEntries(
            zones.filter(zone => shares[zone.index] > 0).map(zone => [zone.id, shares[zone.index]]),
        );
    }
}

function sameZones(a: CompiledSettings, b: CompiledSettings): boolean {
    return a.zones.map(zone => zone.id).join() === b.zones.map(zone => zone.id).join();
}

/** Region index of each zone; the place after the last zone counts as a region of its own. */
function regionIndexes(settings: CompiledSettings): Uint16Array {
    const indexes = settings.zones.map(zone => zone.region.index);
    return Uint16Array.from([...indexes, settings.regions.length]);
}

function largestDifference(a: Float64Array, b: Float64Array): number {
    return a.reduce((largest, value, index) => Math.max(largest, Math.abs(value - b[index])), 0);
}

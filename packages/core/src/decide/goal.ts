/**
 * Where traffic should go: the share of each availability zone for every
 * service and region of origin, worked out from prices.
 *
 * Demand is placed in small portions, dearest constraint first: each portion
 * goes to the zone whose price is least after what was placed before it. The
 * price adds latency, load near capacity and cold caches, each times the
 * weight that the settings give it. This is greedy water-filling of a convex
 * cost; with more portions it comes as near to the optimum as one likes.
 */

import type { CompiledRegion, CompiledService, CompiledServiceZone, CompiledSettings } from "../settings/compiled.js";

/** What is known of one service in one zone. */
export interface ZoneObservation {
    /** Backend servers that can take work. */
    readonly usableServers: number;
    /** Age in milliseconds of the newest evidence about them. */
    readonly evidenceAge: number;
    /** Warmth of the caches, from 0 to 1. */
    readonly warmth: number;
}

/** Traffic of one service from one region of origin. */
export interface Demand {
    readonly service: CompiledService;
    readonly origin: CompiledRegion;
    /** Requests per second over all boxes. */
    readonly rate: number;
    /** Age in milliseconds of the measurement. */
    readonly age: number;
    /** Current share of each zone; places beyond the zones of the settings get no goal. */
    readonly shares: ArrayLike<number>;
}

/** Everything that the goal is worked out from. */
export interface GoalInput {
    readonly settings: CompiledSettings;
    readonly demands: readonly Demand[];
    /** What is known of a service in the zone with an index. */
    readonly observe: (service: CompiledService, zone: number) => ZoneObservation;
}

/** Wanted shares for one demand; sums to 1. */
export interface Goal {
    readonly demand: Demand;
    readonly shares: Float64Array;
}

/** Portions that each demand is split into. */
const portionCount = 40;
/** A measurement this old, in milliseconds, counts as half as much again. */
const demandAgeScale = 10_000;
/** Old demand is taken for at most this many times its measured rate. */
const greatestDemandFactor = 3;
/** Evidence up to this age, in milliseconds, is taken as it is. */
const freshEvidence = 3000;
/** Beyond that age, usable capacity halves in this many milliseconds. */
const evidenceHalfLife = 5000;
/** Utilisation from which a zone costs as much as one that is full. */
const fullUtilisation = 0.98;
/** Price, in the same unit as the others, of a unit of load beyond capacity. */
const beyondCapacityPrice = 1e6;
/** A place is not left for one that is cheaper by less than this part. */
const stayAdvantage = 0.05;

/** Returns the goal of each demand, in the order of the demands. */
export function computeGoals(input: GoalInput): Goal[] {
    const loads = createZoneLoads(input);
    const goals = input.demands.map(demand => ({
        demand,
        shares: new Float64Array(demand.shares.length),
        options: optionsOf(input, demand),
    }));
    for (let portion = 0; portion < portionCount; portion++) {
        for (const goal of goals) {
            placePortion(goal, loads);
        }
    }
    return goals.map(({ demand, shares }) => ({ demand, shares: orCurrent(demand, shares) }));
}

/** The part of a zone's price that does not depend on load. */
interface ZoneOption {
    readonly zone: number;
    readonly region: number;
    readonly fixedPrice: number;
    readonly headroomPrice: number;
}

interface ZoneLoads {
    /** Units per second placed in each service's zone. */
    readonly unitsOf: (service: CompiledService) => Float64Array;
    /** Units per second that each zone can serve of a service. */
    readonly capacityOf: (service: CompiledService) => Float64Array;
    readonly regionUnits: Float64Array;
    readonly regionCapacity: Float64Array;
}

function createZoneLoads(input: GoalInput): ZoneLoads {
    const units = new Map<string, Float64Array>();
    const capacities = new Map<string, Float64Array>();
    const services = [...input.settings.services.values()];
    const serverUnits = unitsPerServer(input);
    for (const service of services) {
        units.set(service.id, new Float64Array(input.settings.zones.length));
        capacities.set(
            service.id,
            Float64Array.from(
                input.settings.zones,
                zone => believedServers(input, service, zone.index) * serverUnits[zone.region.index],
            ),
        );
    }
    return {
        unitsOf: service => units.get(service.id)!,
        capacityOf: service => capacities.get(service.id)!,
        regionUnits: new Float64Array(input.settings.regions.length),
        regionCapacity: Float64Array.from(input.settings.regions, region => region.values.capacity),
    };
}

/** Returns, by region, the capacity that each of its backend servers stands for when all are well. */
function unitsPerServer(input: GoalInput): number[] {
    return input.settings.regions.map(region => {
        let servers = 0;
        for (const service of input.settings.services.values()) {
            for (const zone of input.settings.zones) {
                servers += zone.region === region ? input.observe(service, zone.index).usableServers : 0;
            }
        }
        return servers === 0 ? 0 : region.values.capacity / servers;
    });
}

/** Usable servers, fewer the older the evidence: silence is not taken for health. */
function believedServers(input: GoalInput, service: CompiledService, zone: number): number {
    const { usableServers, evidenceAge } = input.observe(service, zone);
    if (service.zones[zone].drain || usableServers === 0) {
        return 0;
    }
    const stale = Math.max(0, evidenceAge - freshEvidence);
    return usableServers * 0.5 ** (stale / evidenceHalfLife);
}

function optionsOf(input: GoalInput, demand: Demand): ZoneOption[] {
    const { service, origin } = demand;
    return service.zones
        .filter(option => !option.drain)
        .filter(option => input.observe(service, option.zone.index).usableServers > 0)
        .map(option => {
            const { values, zone } = option;
            const stays = demand.shares[zone.index] > 0 ? 1 - stayAdvantage : 1;
            const prices = zonePrices(origin, option, input.observe(service, zone.index).warmth, 0, 1);
            return {
                zone: zone.index,
                region: zone.region.index,
                fixedPrice: (prices.latency + prices.cold) * stays,
                headroomPrice: values.headroomPrice,
            };
        });
}

/** The parts of a zone's price. */
export interface ZonePrices {
    readonly latency: number;
    readonly cold: number;
    readonly load: number;
}

/** Returns a zone's price for an origin, with so many units per second placed of so many that it can serve. */
export function zonePrices(
    origin: CompiledRegion,
    { values, zone }: CompiledServiceZone,
    warmth: number,
    units: number,
    capacity: number,
): ZonePrices {
    return {
        latency: values.latencyPrice * 2 * latencyBetween(origin, zone.region),
        cold: values.coldPrice * (1 - warmth),
        load: loadPrice(units, capacity, values.headroomPrice),
    };
}

/** One-way milliseconds between two regions; within one, that between its zones. */
export function latencyBetween(from: CompiledRegion, to: CompiledRegion): number {
    if (from.id === to.id) {
        return from.values.zoneLatency;
    }
    return from.values.latencyTo[to.id] ?? to.values.latencyTo[from.id] ?? unknownLatency;
}

/** Assumed between regions whose latency the settings do not state. */
const unknownLatency = 100;

/** Idle traffic is placed as if it were this many requests per second, so that places of equal price share it. */
const leastRate = 1;

/** An old rate counts for more, since silence may hide a rise. */
function pessimisticRate(demand: Demand): number {
    const factor = Math.min(greatestDemandFactor, 1 + 0.5 * demand.age / demandAgeScale);
    return Math.max(leastRate, demand.rate * factor);
}

function placePortion(
    goal: { demand: Demand; shares: Float64Array; options: ZoneOption[]; },
    loads: ZoneLoads,
): void {
    const { demand, shares, options } = goal;
    const units = pessimisticRate(demand) * demand.service.values.requestCost / portionCount;
    const placed = loads.unitsOf(demand.service);
    const capacity = loads.capacityOf(demand.service);
    let best: ZoneOption | undefined;
    let least = Infinity;
    for (const option of options) {
        const zonePrice = loadPrice(placed[option.zone] + units, capacity[option.zone], option.headroomPrice);
        const regionPrice = loadPrice(
            loads.regionUnits[option.region] + units,
            loads.regionCapacity[option.region],
            option.headroomPrice,
        );
        const price = option.fixedPrice + zonePrice + regionPrice;
        if (price < least) {
            least = price;
            best = option;
        }
    }
    if (best === undefined) {
        return;
    }
    shares[best.zone] += 1 / portionCount;
    placed[best.zone] += units;
    loads.regionUnits[best.region] += units;
}

/** Rises as 1 / (1 - utilisation), the shape of queueing delay, and steeply beyond capacity. */
function loadPrice(units: number, capacity: number, price: number): number {
    const utilisation = capacity > 0 ? units / capacity : Infinity;
    if (utilisation < fullUtilisation) {
        return price * utilisation / (1 - utilisation);
    }
    const excess = capacity > 0 ? units - capacity * fullUtilisation : units + 1;
    return price * fullUtilisation / (1 - fullUtilisation) + beyondCapacityPrice * excess;
}

/** A demand that can be placed nowhere keeps its shares. */
function orCurrent(demand: Demand, shares: Float64Array): Float64Array {
    const sum = shares.reduce((total, share) => total + share, 0);
    return sum > 0 ? shares : Float64Array.from(demand.shares);
}

/**
 * Why a caller's requests go where they go: the figures behind each zone.
 */

import type { RegionId, ServiceId, ZoneId } from "../kernel/ids.js";
import type { CompiledRegion, CompiledService, CompiledServiceZone } from "../settings/compiled.js";
import { type ZoneObservation, zonePrices } from "./goal.js";

/** The figures of one zone for one caller. */
export interface ZoneExplanation {
    readonly zone: ZoneId;
    readonly region: RegionId;
    /** Share of the origin's traffic that goes there now, and that should. */
    readonly share: number;
    readonly goal: number;
    /** What placing one more request there would cost, and its parts. */
    readonly price: number;
    readonly latencyPrice: number;
    readonly loadPrice: number;
    readonly coldPrice: number;
    readonly usableServers: number;
    /** Milliseconds; absent when there is no evidence at all. */
    readonly evidenceAge?: number;
    /** Units per second that this box may send to the region. */
    readonly capacityHere: number;
    readonly verdict: ZoneVerdict;
}

/** What became of a zone in the decision. */
export type ZoneVerdict = "in use" | "filling" | "emptying" | "dearer" | "drained" | "no usable server";

/** Every step of a decision. */
export interface RouteExplanation {
    readonly service: ServiceId;
    readonly origin: RegionId;
    readonly originFrom: "client block" | "region of the box";
    readonly settingsVersion: number;
    readonly planVersion: number;
    readonly zones: readonly ZoneExplanation[];
}

/** What a zone's row is worked out from. */
export interface ZoneFacts {
    readonly place: CompiledServiceZone;
    readonly service: CompiledService;
    readonly origin: CompiledRegion;
    readonly share: number;
    readonly goal: number;
    readonly observation: ZoneObservation;
    readonly capacityHere: number;
    /** Units per second that the zone serves now, and could serve. */
    readonly units: number;
    readonly capacity: number;
}

/** Works out one zone's row. */
export function explainZone(facts: ZoneFacts): ZoneExplanation {
    const { place, observation, share, goal } = facts;
    const prices = zonePrices(facts.origin, place, observation.warmth, facts.units, facts.capacity);
    return {
        zone: place.zone.id,
        region: place.zone.region.id,
        share,
        goal,
        price: prices.latency + prices.load + prices.cold,
        latencyPrice: prices.latency,
        loadPrice: prices.load,
        coldPrice: prices.cold,
        usableServers: observation.usableServers,
        ...(Number.isFinite(observation.evidenceAge) ? { evidenceAge: observation.evidenceAge } : {}),
        capacityHere: facts.capacityHere,
        verdict: verdictOf(facts),
    };
}

const sameShare = 0.01;

function verdictOf({ place, observation, share, goal }: ZoneFacts): ZoneVerdict {
    if (place.drain) {
        return "drained";
    }
    if (observation.usableServers === 0) {
        return "no usable server";
    }
    if (Math.abs(share - goal) <= sameShare) {
        return share > 0 ? "in use" : "dearer";
    }
    return share < goal ? "filling" : "emptying";
}

/**
 * What an emulated deployment consists of: places, services and their servers,
 * kinds of requests, and distances.
 */

import type { RouteKind } from "@chalkdale/decisions";
import type { Milliseconds } from "@chalkdale/kernel";

/** A kind of request and how often it comes from each zone. */
export interface RequestClass {
    readonly name: string;
    readonly service: string;
    readonly kind: RouteKind;
    readonly requestsPerSecond: number;
    readonly work: number;
    readonly goal: number;
    readonly deadline: number;
    readonly worth: number;
    readonly lateWorth: number;
    /** Bytes that a request and its answer move; by its kind if not given. */
    readonly bytes?: number;
    /** Objects that the requests are about. */
    readonly keys: number;
}

/** A service and its servers by zone. */
export interface EmulatedService {
    readonly name: string;
    readonly servers: Readonly<Record<string, number>>;
    readonly slots: number;
    readonly queueLength: number;
    readonly rememberedKeys: number;
}

/** A deployment. */
export interface EmulatedDeployment {
    readonly name: string;
    /** Region of each zone. */
    readonly zones: Readonly<Record<string, string>>;
    readonly boxesPerZone: Readonly<Record<string, number>>;
    readonly services: readonly EmulatedService[];
    readonly classes: readonly RequestClass[];
    readonly warmSaving: number;
    /** Part by which a zone's load swings, and the time of a swing. */
    readonly loadAmplitude: number;
    readonly loadPeriod: Milliseconds;
    /** One way, in milliseconds. */
    readonly crossZoneLatency: number;
    readonly crossRegionLatency: number;
    readonly callerLatency: number;
}

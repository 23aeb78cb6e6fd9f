/**
 * Types that describe an emulated deployment: its availability zones and regions, the services and their
 * backend servers, the classes of requests, and the latencies between them.
 */

import type { RouteKind } from "@chalkdale/decisions";
import type { Milliseconds } from "@chalkdale/kernel";

/** A class of requests to one service, and the rate at which each availability zone's callers send it. */
export interface RequestClass {
    readonly name: string;
    readonly service: string;
    readonly kind: RouteKind;
    /** Mean rate of each zone. */
    readonly requestsPerSecond: number;
    /** Mean processing time in milliseconds at a server that has not cached the key. */
    readonly work: number;
    /** Latency objective of an answer, in milliseconds. */
    readonly goal: number;
    /** Milliseconds after which the caller has no more use for an answer. */
    readonly deadline: number;
    /** Credit for an answer within the goal. */
    readonly worth: number;
    /** Credit for a later answer within the deadline. */
    readonly lateWorth: number;
    /** Bytes of a request and its answer together; boxes assume the default of the route's kind if undefined. */
    readonly bytes?: number;
    /** Number of distinct affinity keys that each zone's callers use. */
    readonly keys: number;
}

/** A service and its backend servers. */
export interface EmulatedService {
    readonly name: string;
    /** Number of servers by zone. */
    readonly servers: Readonly<Record<string, number>>;
    /** Requests that one server runs at a time. */
    readonly slots: number;
    /** Requests that may wait for a slot of one server. */
    readonly queueCapacity: number;
    /** Keys that one server caches; the least recently used one is evicted. */
    readonly keyCacheSize: number;
}

/** A deployment as the emulator runs it. */
export interface EmulatedDeployment {
    readonly name: string;
    /** Region of each zone. */
    readonly zones: Readonly<Record<string, string>>;
    /** Number of boxes by zone. */
    readonly boxesPerZone: Readonly<Record<string, number>>;
    readonly services: readonly EmulatedService[];
    readonly classes: readonly RequestClass[];
    /** Fraction of the work that a server saves when it has cached the key. */
    readonly warmSaving: number;
    /** Amplitude of the sine wave that each zone's load follows, as a fraction of its mean. */
    readonly loadAmplitude: number;
    /** Period of that wave. */
    readonly loadPeriod: Milliseconds;
    /** One-way latency in milliseconds between two zones of a region. */
    readonly crossZoneLatency: number;
    /** One-way latency in milliseconds between two regions. */
    readonly crossRegionLatency: number;
    /** One-way latency in milliseconds between a caller and a box. */
    readonly callerLatency: number;
}

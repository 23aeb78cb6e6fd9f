/**
 * Emulates the shares of a fleet in the rate of cold or limited servers: boxes that see all others, some or none, are
 * killed and start again, with and without the store. Counts what the servers get from all boxes together.
 */

import {
    createSharedLimits,
    type MemberRecord,
    type Membership,
    type MemberStatus,
    type ServerCatalog,
    type SharedLimits,
} from "@chalkdale/decisions";
import { availabilityZoneId, createSeededRandom, milliseconds, regionId } from "@chalkdale/kernel";
import { createBoxServerCatalog } from "../src/servers/box-server-catalog.js";
import type { BoxSettings } from "../src/settings.js";
import { sampleMember } from "./sample-member.js";
import { createSampleRecord } from "./sample-server.js";

/** Which boxes see each other during a partition. */
type Partition = "none" | "everyBox" | "zones" | "regions" | "oneZone";

/** What happens to the boxes of a fleet; times are in milliseconds. */
export interface ColdFleetOptions {
    readonly boxes: number;
    /** Servers of the service, spread over the regions. */
    readonly servers: number;
    /** Requests a second that a cold server bears. */
    readonly rate: number;
    /** What bounds the rate: slow start, or a rate limit that the servers report. */
    readonly bound: "cold" | "limited";
    /** Lasts from `partitionFrom` on. */
    readonly partition?: Partition;
    /** Milliseconds between two kills of half of the boxes. */
    readonly killInterval?: number;
    /** True if the store answers no box from `partitionFrom` on. */
    readonly isStoreAway?: boolean;
    /** Fraction of the boxes of which the store returns records to a box, drawn anew for each life. */
    readonly recordedFraction?: number;
}

/** What the servers got. */
export interface ColdFleetResult {
    /** Largest number of requests that one server got in a second. */
    readonly mostInASecond: number;
    /** The same in 4 s. */
    readonly mostInFourSeconds: number;
    /** Requests that all servers got, as a fraction of what they bear. */
    readonly usedFraction: number;
}

interface EmulatedLife {
    readonly limits: SharedLimits;
    readonly catalog: ServerCatalog;
    readonly startedAt: number;
    readonly recorded: readonly MemberRecord[];
    hasReadRecords: boolean;
    knowsServers: boolean;
}

/** Milliseconds between two steps. */
const step = 10;
/** When the partition begins, and the servers become cold or limited. */
const partitionFrom = 3000;
const coldFrom = 8000;
/** Milliseconds for which servers are cold or limited. */
const duration = 5000;
/** Longest time in milliseconds in which a box learns of it. */
const maxLag = 100;
/** Milliseconds for which a killed box is down, then until it hears from others, and until it has read the records. */
const downTime = 500;
const joinTime = 300;
const recordsReadTime = 400;
/** Milliseconds without an answer after which a box counts as failed. */
const failureTimeout = 2100;
const second = 1000;
/** Requests a second of all callers, as a multiple of what all servers bear and for each box; the greater one counts. */
const minRequestsPerServer = 3;
const minRequestsPerBox = 10;
const regions = ["north", "east", "south"];
const zonesPerRegion = 2;

/** Runs the fleet. The same options give the same result. */
export function runColdFleet(options: ColdFleetOptions): ColdFleetResult {
    const random = createSeededRandom(options.boxes * 31 + Math.round(options.rate * 10));
    let now = 0;
    const records = Array.from({ length: options.boxes }, (_, index) => {
        const region = regions[index % regions.length];
        const zone = Math.floor(index / regions.length) % zonesPerRegion;
        return {
            ...sampleMember(`box-${index}`),
            region: regionId(region),
            zone: availabilityZoneId(`${region}-${zone}`),
        };
    });
    const servers = Array.from({ length: options.servers }, (_, index) => ({
        ...createSampleRecord(`s-${index}`),
        region: regionId(regions[index % regions.length]),
    }));
    const requestsPerSecond = Math.max(
        minRequestsPerServer * options.rate * servers.length,
        minRequestsPerBox * records.length,
    );
    const lags = records.map(() => random() * maxLag);
    const downUntil = records.map(() => 0);
    const diedAt = records.map(() => -Infinity);
    const arrivals = servers.map((): number[] => []);
    let visibleAt: { readonly now: number; readonly members: readonly MemberStatus[]; } = { now: -1, members: [] };
    const lives = records.map((_, index) => startLife(index));
    let nextKillAt = options.killInterval === undefined ? Infinity : partitionFrom;
    let due = 0;
    for (; now < coldFrom + duration; now += step) {
        if (now >= nextKillAt) {
            nextKillAt += options.killInterval!;
            kill();
        }
        records.forEach((_, index) => advance(index));
        due += now < coldFrom + maxLag ? 0 : requestsPerSecond * step / second;
        for (; due >= 1; due--) {
            sendRequest(Math.floor(random() * records.length));
        }
    }
    const total = arrivals.reduce((sum, times) => sum + times.length, 0);
    return {
        mostInASecond: Math.max(...arrivals.map(times => mostWithin(times, second))),
        mostInFourSeconds: Math.max(...arrivals.map(times => mostWithin(times, 4 * second))),
        usedFraction: total / (servers.length * options.rate * (duration - maxLag) / second),
    };

    /** Sends a request to any server that the box may send to, its own region's first. */
    function sendRequest(index: number): void {
        const { catalog, knowsServers } = lives[index];
        if (now < downUntil[index] || !knowsServers) {
            return;
        }
        const first = Math.floor(random() * servers.length);
        const order = [...servers.slice(first), ...servers.slice(0, first)];
        const ofOwnRegion = order.filter(({ region }) => region === records[index].region);
        const at = milliseconds(now);
        const chosen = [...ofOwnRegion, ...order].find(({ id }) =>
            catalog.get(id)!.state.exclusionReason(at) === undefined
        );
        if (chosen !== undefined) {
            catalog.get(chosen.id)!.state.onChosen(at);
            arrivals[servers.indexOf(chosen)].push(now);
        }
    }

    function kill(): void {
        for (const index of records.keys()) {
            if (random() < 0.5) {
                diedAt[index] = now;
                downUntil[index] = now + downTime;
            }
        }
    }

    /** Restarts a box that is due, and lets it read the records of boxes and learn of the servers. */
    function advance(index: number): void {
        if (diedAt[index] > lives[index].startedAt && now >= downUntil[index]) {
            lives[index] = startLife(index);
        }
        const life = lives[index];
        const isStoreAway = options.isStoreAway === true && now >= partitionFrom;
        if (!life.hasReadRecords && !isStoreAway && now >= life.startedAt + recordsReadTime) {
            life.hasReadRecords = true;
            life.limits.onBoxesRecorded(life.recorded.map(({ box }) => box));
        }
        if (!life.knowsServers && now >= coldFrom + lags[index] && now >= life.startedAt + lags[index]) {
            life.knowsServers = true;
            learnOfServers(life.catalog);
        }
    }

    function learnOfServers(catalog: ServerCatalog): void {
        const coldFor = milliseconds(options.bound === "cold" ? duration : 0);
        catalog.applyList(servers.map(server => ({ ...server, coldFor })), milliseconds(now));
        if (options.bound === "limited") {
            const update = { kind: "named", rate: options.rate, at: milliseconds(now) } as const;
            servers.forEach(({ id }) => catalog.get(id)!.state.onLimitUpdate(update));
        }
    }

    function startLife(index: number): EmulatedLife {
        const startedAt = now;
        const self = records[index].box;
        const limits = createSharedLimits({
            clock: () => milliseconds(now),
            self,
            membership: membershipOf(index, startedAt),
            retries: { ratio: 0.2, window: milliseconds(10_000), allowance: 58 },
            random,
            serverConnectionLimit: () => undefined,
            onAdvertisedChanged: () => undefined,
        });
        const recorded = records.filter(() => random() < (options.recordedFraction ?? 1));
        const catalog = createBoxServerCatalog({ box: self } as BoxSettings, limits, () => options.rate);
        return { limits, catalog, startedAt, recorded, hasReadRecords: false, knowsServers: false };
    }

    /** What a life of a box knows of the others. */
    function membershipOf(index: number, startedAt: number): Membership {
        const own = records[index];
        const others = () => {
            if (startedAt > 0 && now < startedAt + joinTime) {
                return [];
            }
            return visible().filter(({ record }) => record !== own && sees(own, record, startedAt));
        };
        const alive = () => [own, ...others().map(({ record }) => record)];
        return { alive, inService: alive, known: others, ownRecord: () => own } as Partial<Membership> as Membership;
    }

    function sees(own: MemberRecord, other: MemberRecord, startedAt: number): boolean {
        if (now < partitionFrom + failureTimeout && startedAt < partitionFrom) {
            return true;
        }
        const cutOffZone = availabilityZoneId(`${regions[0]}-0`);
        switch (options.partition ?? "none") {
            case "none":
                return true;
            case "everyBox":
                return false;
            case "zones":
                return own.zone === other.zone;
            case "regions":
                return own.region === other.region;
            case "oneZone":
                return (own.zone === cutOffZone) === (other.zone === cutOffZone);
        }
    }

    /** Boxes that count as alive at those that hear from others; computed once per step. */
    function visible(): readonly MemberStatus[] {
        if (visibleAt.now !== now) {
            const isSeen = (index: number) => now >= downUntil[index] || now < diedAt[index] + failureTimeout;
            const seen = records.filter((_, index) => isSeen(index));
            visibleAt = { now, members: seen.map(record => ({ record, heardAgo: 0, suspectedFor: undefined })) };
        }
        return visibleAt.members;
    }
}

/** Largest number of times, which are in order, within a span. */
function mostWithin(times: readonly number[], span: number): number {
    let first = 0;
    let most = 0;
    times.forEach((time, index) => {
        while (times[first] <= time - span) {
            first += 1;
        }
        most = Math.max(most, index - first + 1);
    });
    return most;
}

/**
 * What callers of an emulated day got, by availability zone.
 */

import type { Milliseconds } from "@chalkdale/kernel";
import type { RequestClass } from "./deployment.js";

/** Counts of one availability zone. */
interface ZoneTally {
    asked: number;
    inGoal: number;
    late: number;
    refused: number;
    earned: number;
    owed: number;
}

/** The sums over all zones, and the worst zone. */
export interface TallySummary {
    readonly requestCount: number;
    readonly withinGoal: number;
    readonly late: number;
    readonly refused: number;
    /** Credit earned by credit owed. */
    readonly worth: number;
    readonly worstZoneWorth: number;
    /** Megabytes between boxes, callers and servers of two zones of a region, and of two regions. */
    readonly crossZoneMegabytes: number;
    readonly crossRegionMegabytes: number;
}

/** The tally of a day. */
export interface Tally {
    readonly onRequest: (zone: string, requestClass: RequestClass) => void;
    readonly onAnswered: (zone: string, requestClass: RequestClass, latency: Milliseconds) => void;
    readonly onRefused: (zone: string) => void;
    readonly onTransferred: (reach: "zone" | "region", bytes: number) => void;
    readonly summarize: () => TallySummary;
}

const bytesOfMegabyte = 1_000_000;

/** Creates a tally at zero. */
export function createTally(): Tally {
    const byZone = new Map<string, ZoneTally>();
    const moved = { zone: 0, region: 0 };

    return {
        onRequest(zone, requestClass) {
            of(zone).asked += 1;
            of(zone).owed += requestClass.worth;
        },
        onAnswered(zone, requestClass, latency) {
            const tally = of(zone);
            const isInGoal = latency <= requestClass.goal;
            tally.inGoal += isInGoal ? 1 : 0;
            tally.late += isInGoal ? 0 : 1;
            tally.earned += isInGoal ? requestClass.worth : requestClass.lateWorth;
        },
        onRefused(zone) {
            of(zone).refused += 1;
        },
        onTransferred(reach, bytes) {
            moved[reach] += bytes / bytesOfMegabyte;
        },
        summarize() {
            const all = [...byZone.values()];
            const sum = (key: keyof ZoneTally) => all.reduce((total, tally) => total + tally[key], 0);
            return {
                requestCount: sum("asked"),
                withinGoal: sum("inGoal"),
                late: sum("late"),
                refused: sum("refused"),
                worth: sum("earned") / sum("owed"),
                crossZoneMegabytes: moved.zone,
                crossRegionMegabytes: moved.region,
                worstZoneWorth: Math.min(...all.map(tally => tally.earned / tally.owed)),
            };
        },
    };

    function of(zone: string): ZoneTally {
        let tally = byZone.get(zone);
        if (tally === undefined) {
            tally = { asked: 0, inGoal: 0, late: 0, refused: 0, earned: 0, owed: 0 };
            byZone.set(zone, tally);
        }
        return tally;
    }
}

/**
 * Outcomes of the requests of an emulation by the callers' availability zone, and the bytes transferred.
 */

import type { Milliseconds } from "@chalkdale/kernel";
import type { RequestClass } from "./deployment.js";

/** Counts of one availability zone. */
interface ZoneTally {
    requestCount: number;
    withinGoal: number;
    late: number;
    refused: number;
    /** Credit earned by the answers. */
    earnedCredit: number;
    /** Credit if every answer were within its goal. */
    maxCredit: number;
}

/** Sums over all zones, and the worst zone's worth. */
export interface TallySummary {
    /** Requests that callers sent; a caller's retry is not counted again. */
    readonly requestCount: number;
    readonly withinGoal: number;
    /** Answers after the goal. */
    readonly late: number;
    /** Requests that were refused or timed out. */
    readonly refused: number;
    /** Credit earned, as a fraction of the credit if every answer were within its goal. */
    readonly worth: number;
    /** The same ratio of the zone where it is lowest. */
    readonly worstZoneWorth: number;
    /** Megabytes between callers, boxes and servers in different zones of one region. */
    readonly crossZoneMegabytes: number;
    /** Megabytes between callers, boxes and servers in different regions. */
    readonly crossRegionMegabytes: number;
}

/** The tally of one emulation. */
export interface Tally {
    readonly onRequest: (zone: string, requestClass: RequestClass) => void;
    readonly onAnswered: (zone: string, requestClass: RequestClass, latency: Milliseconds) => void;
    /** Called when a request was refused or timed out for good. */
    readonly onRefused: (zone: string) => void;
    /** Adds bytes that crossed a zone boundary within a region, or a region boundary. */
    readonly onTransferred: (boundary: "zone" | "region", bytes: number) => void;
    readonly summarize: () => TallySummary;
}

const bytesPerMegabyte = 1_000_000;

/** Creates an empty tally. */
export function createTally(): Tally {
    const byZone = new Map<string, ZoneTally>();
    const megabytes = { zone: 0, region: 0 };

    return {
        onRequest(zone, requestClass) {
            tallyOf(zone).requestCount += 1;
            tallyOf(zone).maxCredit += requestClass.worth;
        },
        onAnswered(zone, requestClass, latency) {
            const tally = tallyOf(zone);
            const isWithinGoal = latency <= requestClass.goal;
            tally.withinGoal += isWithinGoal ? 1 : 0;
            tally.late += isWithinGoal ? 0 : 1;
            tally.earnedCredit += isWithinGoal ? requestClass.worth : requestClass.lateWorth;
        },
        onRefused(zone) {
            tallyOf(zone).refused += 1;
        },
        onTransferred(boundary, bytes) {
            megabytes[boundary] += bytes / bytesPerMegabyte;
        },
        summarize() {
            const all = [...byZone.values()];
            const sum = (key: keyof ZoneTally) => all.reduce((total, tally) => total + tally[key], 0);
            return {
                requestCount: sum("requestCount"),
                withinGoal: sum("withinGoal"),
                late: sum("late"),
                refused: sum("refused"),
                worth: sum("earnedCredit") / sum("maxCredit"),
                crossZoneMegabytes: megabytes.zone,
                crossRegionMegabytes: megabytes.region,
                worstZoneWorth: Math.min(...all.map(tally => tally.earnedCredit / tally.maxCredit)),
            };
        },
    };

    function tallyOf(zone: string): ZoneTally {
        let tally = byZone.get(zone);
        if (tally === undefined) {
            tally = { requestCount: 0, withinGoal: 0, late: 0, refused: 0, earnedCredit: 0, maxCredit: 0 };
            byZone.set(zone, tally);
        }
        return tally;
    }
}

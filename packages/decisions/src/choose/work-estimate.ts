/**
 * Learns how long servers work on the requests of each route: warm if they have worked
 * on the same object recently, cold if not.
 *
 * Owns two smoothed times for each route and the mean warm work of the requests to each
 * service; relies on the requests that this box sent and the answers that it received.
 */

import { type Milliseconds, milliseconds, type ServiceId } from "@chalkdale/kernel";
import type { Route } from "../shared-state/configuration.js";

/** Times at the server, without the round trip and, unless stated otherwise, without the wait for a slot. */
export interface WorkEstimate {
    /** Expected time of warm or cold work. */
    readonly expected: (route: Route, warm: boolean) => Milliseconds;
    /** Lower bound of the expected time; 0 before the first measurement. */
    readonly minExpected: (route: Route) => Milliseconds;
    /** Upper bound of the expected time; 0 before the first measurement, since nothing is known then. */
    readonly maxExpected: (route: Route) => Milliseconds;
    /**
     * Learns from an answer. If this box has not sent the key to the server, the server may still be warm for it from
     * other boxes' requests; the duration decides which of the two times it counts for.
     *
     * @returns the ratio of the duration to the expected one.
     */
    readonly onMeasured: (route: Route, known: boolean, duration: Milliseconds) => number;
    /** A request of the route was sent to a server of the service. */
    readonly onSent: (service: ServiceId, route: Route) => void;
    /**
     * Mean warm work of the requests to a service, over all routes: a queued request waits for these. The work of
     * `route` is returned before the first request.
     */
    readonly expectedOfQueued: (service: ServiceId, route: Route) => Milliseconds;
    /**
     * Compares a duration with the expected one without learning from it; `wait` is the expected wait for a slot. If
     * this box has not sent the key to the server, both warm and cold work are possible, and any duration between them
     * counts as normal.
     *
     * @returns the ratio of the duration to the expected one.
     */
    readonly slownessOf: (route: Route, known: boolean, duration: Milliseconds, wait: Milliseconds) => number;
    /** Duration from which on `slownessOf` returns at least `slowness`. */
    readonly durationAtSlowness: (route: Route, known: boolean, slowness: number, wait: Milliseconds) => Milliseconds;
}

/** Weight of the newest answer; the last ten make up two thirds of the smoothed time. */
const smoothing = 0.1;
/**
 * Initial estimate of warm work as a fraction of the route's goal; warm work takes about 0.3 of the time of cold work.
 */
const initialWarmFraction = 0.35;
/** Initial estimate of cold work as a fraction of the route's goal; cold work takes 1.2 to 1.6 of the goal. */
const initialColdFraction = 1.2;
/**
 * Lower bound of the expected time as a fraction of warm work. A request is refused as too late by this bound alone, so
 * it must not be too high; servers of one service differ in speed.
 */
const minWarmFraction = 0.5;
/** Weight of the newest request in a service's mean warm work: the last twenty dominate. */
const mixSmoothing = 0.05;

/** Smoothed times of a route's work in milliseconds; `isMeasured` once an answer has counted. */
interface LearnedWork {
    warm: number;
    cold: number;
    isMeasured: boolean;
}

/** Creates an estimate that derives the times from the goals of routes until answers are measured. */
export function createWorkEstimate(): WorkEstimate {
    const learned = new Map<string, LearnedWork>();
    const meanWarmWork = new Map<ServiceId, number>();

    return {
        expected: (route, warm) => milliseconds(warm ? learnedOf(route).warm : learnedOf(route).cold),
        minExpected: route => milliseconds(learnedOf(route).isMeasured ? learnedOf(route).warm * minWarmFraction : 0),
        maxExpected(route) {
            const { cold, isMeasured, warm } = learnedOf(route);
            return milliseconds(isMeasured ? Math.max(warm, cold) : 0);
        },
        onMeasured(route, known, duration) {
            const estimate = learnedOf(route);
            const middle = (estimate.warm + estimate.cold) / 2;
            const isQuick = !route.sticky || duration < middle;
            const key = isQuick ? "warm" : "cold";
            // If a known key took long, the server had forgotten it or is slow. Which of the two is unknown, so the
            // time does not count as that of cold work.
            if (isQuick || !known) {
                estimate.isMeasured = true;
                estimate[key] += (duration - estimate[key]) * smoothing;
            }
            return duration / Math.max(1, known ? estimate.warm : estimate[key]);
        },
        onSent(service, route) {
            const { warm } = learnedOf(route);
            const before = meanWarmWork.get(service) ?? warm;
            meanWarmWork.set(service, before + (warm - before) * mixSmoothing);
        },
        expectedOfQueued: (service, route) => milliseconds(meanWarmWork.get(service) ?? learnedOf(route).warm),
        slownessOf(route, known, duration, wait) {
            const { lower, upper } = normalTimes(route, known, wait);
            return duration > upper ? duration / upper : Math.min(1, duration / lower);
        },
        durationAtSlowness: (route, known, slowness, wait) =>
            milliseconds(normalTimes(route, known, wait).upper * slowness),
    };

    /** Range of durations that count as normal, in milliseconds. */
    function normalTimes(route: Route, known: boolean, wait: Milliseconds) {
        const { cold, warm } = learnedOf(route);
        const lower = Math.max(1, warm + wait);
        return { lower, upper: known || !route.sticky ? lower : Math.max(lower, cold + wait) };
    }

    function learnedOf(route: Route): LearnedWork {
        let estimate = learned.get(route.name);
        if (estimate === undefined) {
            estimate = {
                warm: route.goal * initialWarmFraction,
                cold: route.goal * (route.sticky ? initialColdFraction : initialWarmFraction),
                isMeasured: false,
            };
            learned.set(route.name, estimate);
        }
        return estimate;
    }
}

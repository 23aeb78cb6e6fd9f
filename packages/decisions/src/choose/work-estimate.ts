/**
 * Learns how long servers work on the requests of each route, when they have
 * worked on the same object recently (warm) and when not (cold).
 *
 * Owns two smoothed times for each route, and the mix of routes at each service;
 * relies on the requests and answers that this box had.
 */

import { type Milliseconds, milliseconds, type ServiceId } from "@chalkdale/kernel";
import type { Route } from "../shared-state/configuration.js";

/** Times at the server, without the way there and back. */
export interface WorkEstimate {
    readonly expected: (route: Route, warm: boolean) => Milliseconds;
    /** Less than this no answer is expected to take; 0 as long as nothing was measured. */
    readonly minExpected: (route: Route) => Milliseconds;
    /**
     * Learns from an answer. A key that this box did not know at the server may have been known to it all the same,
     * from other boxes' requests: the time itself shows which.
     *
     * @returns how many times as long as expected the answer took.
     */
    readonly onMeasured: (route: Route, known: boolean, duration: Milliseconds) => number;
    /** A request went to a server of a service. */
    readonly onSent: (service: ServiceId, route: Route) => void;
    /**
     * Warm work of the requests that go to a service, whatever their routes: one that waits in a queue waits for these. `route` is
     * taken as long as none was sent.
     */
    readonly expectedOfQueued: (service: ServiceId, route: Route) => Milliseconds;
    /**
     * Compares an answer with what is expected, without learning from it; `wait` is the time that it was expected to wait for a
     * slot. Whether a server knew a key that this box had not sent there is unknown: between warm and cold work nothing is out of the ordinary.
     *
     * @returns how many times as long as expected the answer took.
     */
    readonly slownessOf: (route: Route, known: boolean, duration: Milliseconds, wait: Milliseconds) => number;
    /** Time after which `compare` gives `slowness` for an answer that has not come. */
    readonly durationAtSlowness: (route: Route, known: boolean, slowness: number, wait: Milliseconds) => Milliseconds;
}

/** Weight of the newest answer; ten answers count for two thirds. */
const smoothing = 0.1;
/** First guesses, as parts of the route's goal: cold work was seen to take 1.2 to 1.6 of the goal, and warm work 0.3 of that. */
const firstWarmPart = 0.35;
/** First guess of cold work, as a part of the route's goal. */
const firstColdPart = 1.2;
/**
 * The least time expected, as a part of the time of warm work. A request is refused as too late by it alone, so it must not be
 * too long; servers of one service differ in speed.
 */
const leastPartOfWarm = 0.5;
/** Weight of the newest request in the mix of a service's routes: the last twenty count most. */
const mixSmoothing = 0.05;

interface Learned {
    warm: number;
    cold: number;
    isMeasured: boolean;
}

/** Creates an estimate that knows nothing yet. */
export function createWorkEstimate(): WorkEstimate {
    const learned = new Map<string, Learned>();
    const queued = new Map<ServiceId, number>();

    return {
        expected: (route, warm) => milliseconds(warm ? of(route).warm : of(route).cold),
        minExpected: route => milliseconds(of(route).isMeasured ? of(route).warm * leastPartOfWarm : 0),
        onMeasured(route, known, duration) {
            const estimate = of(route);
            const middle = (estimate.warm + estimate.cold) / 2;
            const isQuick = !route.sticky || duration < middle;
            const key = isQuick ? "warm" : "cold";
            // A known key that took long was forgotten, or the server is slow: neither says anything about cold work.
            if (isQuick || !known) {
                estimate.isMeasured = true;
                estimate[key] += (duration - estimate[key]) * smoothing;
            }
            return duration / Math.max(1, known ? estimate.warm : estimate[key]);
        },
        onSent(service, route) {
            const { warm } = of(route);
            const before = queued.get(service) ?? warm;
            queued.set(service, before + (warm - before) * mixSmoothing);
        },
        expectedOfQueued: (service, route) => milliseconds(queued.get(service) ?? of(route).warm),
        slownessOf(route, known, duration, wait) {
            const { least, most } = ordinaryTimes(route, known, wait);
            return duration > most ? duration / most : Math.min(1, duration / least);
        },
        durationAtSlowness: (route, known, slowness, wait) =>
            milliseconds(ordinaryTimes(route, known, wait).most * slowness),
    };

    function ordinaryTimes(route: Route, known: boolean, wait: Milliseconds) {
        const { cold, warm } = of(route);
        const least = Math.max(1, warm + wait);
        return { least, most: known || !route.sticky ? least : Math.max(least, cold + wait) };
    }

    function of(route: Route): Learned {
        let estimate = learned.get(route.name);
        if (estimate === undefined) {
            estimate = {
                warm: route.goal * firstWarmPart,
                cold: route.goal * (route.sticky ? firstColdPart : firstWarmPart),
                isMeasured: false,
            };
            learned.set(route.name, estimate);
        }
        return estimate;
    }
}

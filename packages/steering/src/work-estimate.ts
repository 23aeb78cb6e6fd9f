/**
 * Learns how long servers work on the requests of each route, when they have
 * worked on the same object recently (warm) and when not (cold).
 */

import { type Milliseconds, milliseconds } from "@chalkdale/core";
import type { Route } from "./configuration.js";

/** Times at the server, without the way there and back. */
export interface WorkEstimate {
    readonly expected: (route: Route, warm: boolean) => Milliseconds;
    readonly onMeasured: (route: Route, warm: boolean, duration: Milliseconds) => void;
}

const smoothing = 0.1;
/** First guesses, as parts of the route's goal. */
const firstWarmPart = 0.35;
const firstColdPart = 1.2;

interface Learned {
    warm: number;
    cold: number;
}

/** Creates an estimate that knows nothing yet. */
export function createWorkEstimate(): WorkEstimate {
    const learned = new Map<string, Learned>();

    return {
        expected: (route, warm) => milliseconds(warm ? of(route).warm : of(route).cold),
        onMeasured(route, warm, duration) {
            const estimate = of(route);
            const key = warm ? "warm" : "cold";
            estimate[key] += (duration - estimate[key]) * smoothing;
        },
    };

    function of(route: Route): Learned {
        let estimate = learned.get(route.name);
        if (estimate === undefined) {
            estimate = {
                warm: route.goal * firstWarmPart,
                cold: route.goal * (route.sticky ? firstColdPart : firstWarmPart),
            };
            learned.set(route.name, estimate);
        }
        return estimate;
    }
}

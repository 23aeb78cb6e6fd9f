/**
 * Learns how many bytes the requests of each route move, body and answer together,
 * and tells by what step of size a route's servers are ranked.
 *
 * Steps are few and change late: all boxes of a region must rank alike for a key to stay with its servers. They begin by
 * the kind of the route, alike on all boxes, and leave that step only when the sizes seen are clearly of another one. So
 * boxes disagree only while a new route is being learned; a key is then known to two servers instead of one.
 *
 * Owns one smoothed size and one step for each route; relies on answers that this box had.
 */

import type { Route, RouteKind } from "../shared-state/configuration.js";

/** Steps of size: what hardly moves more than a page, what uploads move, and what downloads move. */
export type SizeClass = "small" | "large" | "bulk";

/** Sizes by route. */
export interface TransferSizes {
    /** Bytes of a request and its answer. */
    readonly expected: (route: Route) => number;
    readonly sizeClass: (route: Route) => SizeClass;
    readonly onTransferred: (route: Route, bytes: number) => void;
}

/** Bytes that are taken for granted until requests were seen: what sheets of deployments name for each kind. */
const firstGuess: Readonly<Record<RouteKind, number>> = {
    safe: 500,
    unsafe: 500,
    download: 90_000,
    upload: 60_000,
};
/**
 * Weight of the newest request: fifty count for two thirds, so sizes that differ by two thirds of their mean leave the smoothed
 * one within 7% of it.
 */
const smoothing = 0.02;
/** Bytes from which a step begins. Deployments move 1 and 5 KB, 60 and 90 KB: from each the nearest edge is a fifth away or more. */
const steps: readonly { readonly step: SizeClass; readonly from: number; }[] = [
    { step: "small", from: 0 },
    { step: "large", from: 20_000 },
    { step: "bulk", from: 73_000 },
];
/** A route leaves its step only for sizes so many times beyond the edge, seven deviations of the smoothed size. */
const hysteresis = 1.5;

interface Learned {
    bytes: number;
    step: number;
}

/** Creates sizes that go by the kinds of routes. */
export function createTransferSizes(): TransferSizes {
    const learned = new Map<string, Learned>();

    return {
        expected: route => of(route).bytes,
        sizeClass: route => steps[of(route).step].step,
        onTransferred(route, bytes) {
            const sizes = of(route);
            sizes.bytes += (bytes - sizes.bytes) * smoothing;
            sizes.step = nextStep(sizes);
        },
    };

    function of(route: Route): Learned {
        let sizes = learned.get(route.name);
        if (sizes === undefined) {
            const bytes = firstGuess[route.kind];
            sizes = { bytes, step: steps.findLastIndex(({ from }) => bytes >= from) };
            learned.set(route.name, sizes);
        }
        return sizes;
    }
}

function nextStep({ bytes, step }: Learned): number {
    if (step + 1 < steps.length && bytes > steps[step + 1].from * hysteresis) {
        return step + 1;
    }
    return bytes < steps[step].from / hysteresis ? step - 1 : step;
}

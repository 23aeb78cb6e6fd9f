/**
 * Learns how many bytes the requests of each route transfer, request body and answer
 * together, and assigns the route a size class, by which its servers are ranked.
 *
 * Classes are few and change with hysteresis: all boxes of a region must rank servers in
 * the same order for a key to stay with its servers. A route starts with the class of its
 * kind, which is the same on all boxes, and leaves it only when the observed sizes clearly
 * belong to another one. Boxes disagree only while they learn a new route; two servers are
 * then warm for a key instead of one.
 *
 * Owns one smoothed size and one class for each route; relies on the answers that this box received.
 */

import type { Route, RouteKind } from "../shared-state/configuration.js";

/** Size class of a route's transfers: up to about a page, as uploads, and as downloads. */
export type SizeClass = "small" | "large" | "bulk";

/** Transfer sizes by route. */
export interface TransferSizes {
    /** Expected bytes of a request and its answer. */
    readonly expected: (route: Route) => number;
    readonly sizeClass: (route: Route) => SizeClass;
    /** A request and its answer transferred so many bytes. */
    readonly onTransferred: (route: Route, bytes: number) => void;
}

/** Bytes assumed before the first request, as deployment sheets state them for each kind of route. */
const initialBytes: Readonly<Record<RouteKind, number>> = {
    safe: 500,
    unsafe: 500,
    download: 90_000,
    upload: 60_000,
};
/**
 * Weight of the newest request. The last fifty make up two thirds of the smoothed size, so sizes that deviate by two
 * thirds of their mean keep it within 7% of the mean.
 */
const smoothing = 0.02;
/**
 * Smallest size of each class in bytes. Deployments transfer 1, 5, 60 and 90 KB; the nearest edge is about a fifth away
 * or more.
 */
const sizeClasses: readonly { readonly sizeClass: SizeClass; readonly from: number; }[] = [
    { sizeClass: "small", from: 0 },
    { sizeClass: "large", from: 20_000 },
    { sizeClass: "bulk", from: 73_000 },
];
/**
 * Factor by which the size must pass an edge for a route to change its class; seven standard deviations of the smoothed
 * size.
 */
const hysteresis = 1.5;

/** Smoothed size of a route's transfers and index of its size class. */
interface LearnedSize {
    bytes: number;
    classIndex: number;
}

/** Creates sizes that start with the initial bytes of each route's kind. */
export function createTransferSizes(): TransferSizes {
    const learned = new Map<string, LearnedSize>();

    return {
        expected: route => learnedOf(route).bytes,
        sizeClass: route => sizeClasses[learnedOf(route).classIndex].sizeClass,
        onTransferred(route, bytes) {
            const size = learnedOf(route);
            size.bytes += (bytes - size.bytes) * smoothing;
            size.classIndex = nextClassIndex(size);
        },
    };

    function learnedOf(route: Route): LearnedSize {
        let size = learned.get(route.name);
        if (size === undefined) {
            const bytes = initialBytes[route.kind];
            size = { bytes, classIndex: sizeClasses.findLastIndex(({ from }) => bytes >= from) };
            learned.set(route.name, size);
        }
        return size;
    }
}

function nextClassIndex({ bytes, classIndex }: LearnedSize): number {
    if (classIndex + 1 < sizeClasses.length && bytes > sizeClasses[classIndex + 1].from * hysteresis) {
        return classIndex + 1;
    }
    return bytes < sizeClasses[classIndex].from / hysteresis ? classIndex - 1 : classIndex;
}

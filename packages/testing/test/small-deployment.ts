/**
 * A small deployment for sessions of failures: three regions of one zone,
 * three boxes, short times.
 */

import type { NodeValues, SettingsDocument } from "@chalkdale/core";
import { createSession, type Session, type SessionOptions } from "../src/session/session.js";

/** Regions of the small deployment, each with a zone `REGION-a` and a box `REGION-1`. */
export const smallRegions = ["east", "north", "west"] as const;

/** Returns the tree, with values on top at the root and at every region. */
export function smallTree(root: NodeValues = {}, region: NodeValues = {}): SettingsDocument {
    const nodes: Record<string, NodeValues> = {
        "/": { isolationTime: 4, leaseTime: 3, shiftCap: 0.6, slots: 50, slowStart: 1, warmUp: 20, ...root },
        "/services/search": {},
    };
    smallRegions.forEach((name, index) => {
        const others = smallRegions.filter(other => other !== name);
        nodes[`/regions/${name}`] = {
            capacity: 300,
            clientBlocks: [`10.${index + 1}.0.0/16`],
            latencyTo: Object.fromEntries(others.map(other => [other, 20])),
            ...region,
        };
        nodes[`/regions/${name}/${name}-a`] = { boxes: [`${name}-1`] };
    });
    return { deployment: "small", nodes };
}

/** Starts a session of the small deployment with six servers of one service. */
export function smallSession(document = smallTree(), options: Partial<SessionOptions> = {}): Session {
    return createSession({ document, fleets: [{ service: "search", count: 6 }], ...options });
}

/** Address of a caller in a region. */
export function callerIn(region: (typeof smallRegions)[number]): string {
    return `10.${smallRegions.indexOf(region) + 1}.0.1`;
}

/** One stream of requests from each region to its own box, in requests per second. */
export function smallStreams(rate: number) {
    return smallRegions.map(region => ({
        service: "search",
        caller: callerIn(region),
        boxes: [`${region}-1`],
        rate: () => rate,
    }));
}

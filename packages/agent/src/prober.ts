/**
 * Probes the backend servers that fall to this box and records what it finds.
 */

import {
    type Clock,
    isProber,
    type MemberList,
    type Milliseconds,
    type ProbeResult,
    type ServerMember,
} from "@chalkdale/core";
import type { ReachableBox } from "./topology.js";

/** Answers what a backend server says of itself; never rejects. */
export type ProbeServer = (server: ServerMember, signal: AbortSignal) => Promise<ProbeResult>;

/** Returns the servers that a box probes: those of its zone, or of zones without a box, by hashing. */
export function serversToProbe(
    self: ReachableBox,
    boxes: readonly ReachableBox[],
    lists: readonly MemberList[],
): ServerMember[] {
    return lists.flatMap(list => {
        const near = boxes.filter(box => box.zone === list.zone);
        const probers = (near.length > 0 ? near : boxes).map(box => box.box);
        if (near.length > 0 && self.zone !== list.zone) {
            return [];
        }
        return list.servers.filter(server => isProber(self.box, server.id, probers));
    });
}

/** Probes all servers at once and returns the results with their ages. */
export async function probeAll(
    servers: readonly ServerMember[],
    probe: ProbeServer,
    clock: Clock,
    signal: AbortSignal,
): Promise<ProbeResult[]> {
    const results = await Promise.all(servers.map(async server => {
        const sentAt = clock();
        return { result: await probe(server, signal), sentAt };
    }));
    return results.map(({ result, sentAt }) => ({ ...result, age: ageOf(sentAt, clock()) }));
}

function ageOf(sentAt: Milliseconds, now: Milliseconds): number {
    return now - sentAt;
}

/**
 * Counts the messages and bytes that a box sends and takes, by what they are
 * for and how far they go: what control costs, and which part of it grows with
 * the number of boxes or servers. Entries of the store that made no sense are
 * counted too, by kind.
 *
 * Owns the counts since the start; relies on whoever sends and reads to tell.
 */

import type { AvailabilityZoneId, RegionId } from "@chalkdale/kernel";
import type { LogFields } from "@chalkdale/runtime";

/** What messages are for. The names stand in metrics and log lines. */
export type TrafficPurpose =
    /** Heartbeats to one box. */
    | "gossip"
    /** What a box that follows the store says to its region. */
    | "digest"
    /** Changes of shared state that are passed on. */
    | "update"
    /** Reports and leases of customers' quotas. */
    | "quota"
    /** Requests that end servers. */
    | "deadly"
    /** Limits that servers name. */
    | "limits"
    /** Reports, grants and news of roll-outs. */
    | "rollout"
    /** Members that are read from another box. */
    | "members"
    /** A copy of shared state, or what was missing of it, from another box. */
    | "snapshot"
    | "storeList"
    | "storeWatch"
    | "storeWrite"
    /** Requests of callers on their way to servers, and the answers. */
    | "request";

/** How far a message goes; a box does not know where the store stands. */
export type TrafficReach = "zone" | "region" | "otherRegion" | "store";

/** Where one end of a message is. */
export interface TrafficLocality {
    readonly region: RegionId;
    readonly zone: AvailabilityZoneId;
}

/** Counts of one box. */
export interface TrafficMeter {
    /** Notes one message, or one call with its answer, of so many bytes without the heads of lower layers. */
    readonly add: (purpose: TrafficPurpose, reach: TrafficReach, bytes: number) => void;
    /** An entry of the store could not be understood; `kind` as the store spells it. */
    readonly onUnreadable: (kind: string) => void;
    /** All counts, as lines of the metrics. */
    readonly metricLines: () => readonly string[];
    /** All counts, as fields of a log line: `gossip.zone="messages/bytes"`. */
    readonly logFields: () => LogFields;
}

interface Count {
    readonly purpose: TrafficPurpose;
    readonly reach: TrafficReach;
    messages: number;
    bytes: number;
}

/** Creates a meter at zero. */
export function createTrafficMeter(): TrafficMeter {
    const counts = new Map<string, Count>();
    const unreadable = new Map<string, number>();

    return {
        add(purpose, reach, bytes) {
            const key = `${purpose}.${reach}`;
            let count = counts.get(key);
            if (count === undefined) {
                count = { purpose, reach, messages: 0, bytes: 0 };
                counts.set(key, count);
            }
            count.messages += 1;
            count.bytes += bytes;
        },
        onUnreadable: kind => void unreadable.set(kind, (unreadable.get(kind) ?? 0) + 1),
        metricLines: () => [
            ...[...counts.values()].flatMap(({ bytes, messages, purpose, reach }) => [
                `chalkdale_messages_total{purpose="${purpose}",reach="${reach}"} ${messages}`,
                `chalkdale_message_bytes_total{purpose="${purpose}",reach="${reach}"} ${bytes}`,
            ]),
            ...[...unreadable].map(([kind, count]) => `chalkdale_unreadable_objects_total{kind="${kind}"} ${count}`),
        ],
        logFields: () =>
            Object.fromEntries([...counts].map(([key, { bytes, messages }]) => [key, `${messages}/${bytes}`])),
    };
}

/** Returns how far it is between two places. */
export function reachBetween(from: TrafficLocality, to: TrafficLocality): TrafficReach {
    if (from.region !== to.region) {
        return "otherRegion";
    }
    return from.zone === to.zone ? "zone" : "region";
}

/**
 * Counts the messages and bytes that a box sends and receives, by purpose and
 * distance. The counts show what the control plane costs, and which part of it
 * grows with the number of boxes or servers. Unreadable entries of the store are
 * counted too, by kind.
 *
 * Owns the counts since the start; relies on senders and readers to report each
 * message.
 */

import type { AvailabilityZoneId, RegionId } from "@chalkdale/kernel";
import type { LogFields } from "@chalkdale/runtime";

/** Purpose of a message. The names appear in metrics and log lines. */
export type TrafficPurpose =
    /** Heartbeats to one box. */
    | "gossip"
    /** Digests that a box that follows the store sends to its region. */
    | "digest"
    /** Forwarded changes of shared state. */
    | "update"
    /** Reports and leases of customer quotas. */
    | "quota"
    /** Reports of poison requests. */
    | "deadly"
    /** Rate limits that servers report. */
    | "limits"
    /** Servers that a health check has found to be cold. */
    | "cold"
    /** Reports, grants, write requests and decisions of roll-outs. */
    | "rollout"
    /** Members read from another box. */
    | "members"
    /** A snapshot of shared state, or the changes since a revision, read from another box. */
    | "snapshot"
    | "storeList"
    | "storeWatch"
    | "storeWrite"
    /** Requests that the box forwards to servers, and their answers. */
    | "request"
    /** Requests that pass through another box on the way to a server, and their answers, counted at both boxes. */
    | "forwarded";

/** How far a message travels; a box does not know where the store is located. */
export type TrafficReach = "zone" | "region" | "otherRegion" | "store";

/** Where one end of a message is. */
export interface TrafficLocality {
    readonly region: RegionId;
    readonly zone: AvailabilityZoneId;
}

/** Traffic counts of one box. */
export interface TrafficMeter {
    /** Counts one message, or one call with its answer; `bytes` leaves out the headers of lower layers. */
    readonly add: (purpose: TrafficPurpose, reach: TrafficReach, bytes: number) => void;
    /** Counts an unreadable entry of the store; `kind` as the store spells it. */
    readonly onUnreadable: (kind: string) => void;
    /** All counts as lines of the metrics text. */
    readonly metricLines: () => readonly string[];
    /** All counts as fields of a log line: `gossip.zone="messages/bytes"`. */
    readonly logFields: () => LogFields;
}

interface Count {
    readonly purpose: TrafficPurpose;
    readonly reach: TrafficReach;
    messages: number;
    bytes: number;
}

/** Creates a meter with all counts at zero. */
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

/** Returns how far a message between two localities travels. */
export function reachBetween(from: TrafficLocality, to: TrafficLocality): TrafficReach {
    if (from.region !== to.region) {
        return "otherRegion";
    }
    return from.zone === to.zone ? "zone" : "region";
}

/**
 * What a record carries, in the types of the core, and its form on the wire.
 */

import { create } from "@bufbuild/protobuf";
import {
    assertNever,
    boxId,
    type BoxMember,
    type BoxPresence,
    type BoxStatus,
    incarnationId,
    type MemberList,
    type OriginTraffic,
    type ProbeResult,
    type RecordCopy,
    regionId,
    type ServedTraffic,
    serverId,
    type ServerMember,
    serviceId,
    zoneId,
    type ZoneSummary,
} from "@chalkdale/core";
import * as wire from "./generated/chalkdale/peer/v1/peer_pb.js";

/** The payload of a record. */
export type Payload =
    /** The settings tree as JSON text; the record's sequence is its version. */
    | { readonly kind: "settings"; readonly document: string; }
    | { readonly kind: "members"; readonly list: MemberList; }
    | { readonly kind: "status"; readonly status: BoxStatus; }
    | { readonly kind: "summary"; readonly summary: ZoneSummary; }
    | { readonly kind: "probes"; readonly results: readonly ProbeResult[]; }
    | { readonly kind: "lastShares"; readonly traffic: readonly OriginTraffic[]; };

/** A record with its payload. */
export type PeerRecord = RecordCopy<Payload>;

/** Keys of records. */
export const recordKeys = {
    settings: "settings",
    lastShares: "last-shares",
    membersPrefix: "members/",
    members: (zone: string) => `members/${zone}`,
    statusPrefix: "status/",
    status: (box: string, incarnation: string) => `status/${box}/${incarnation}`,
    summaryPrefix: "summary/",
    summary: (zone: string, relay: string) => `summary/${zone}/${relay}`,
    probesPrefix: "probes/",
    probes: (box: string, incarnation: string) => `probes/${box}/${incarnation}`,
} as const;

/** Turns a record into its wire form. */
export function recordToWire(record: PeerRecord): wire.Record {
    return create(wire.RecordSchema, {
        key: record.key,
        sequence: BigInt(record.sequence),
        age: Math.min(Math.round(record.age), largestAge),
        payload: payloadToWire(record.payload),
    });
}

const largestAge = 0xffffffff;

/** Turns a wire record back; undefined when its payload is of a kind that this version does not know. */
export function recordFromWire(record: wire.Record): PeerRecord | undefined {
    const payload = payloadFromWire(record.payload);
    return payload === undefined
        ? undefined
        : { key: record.key, sequence: Number(record.sequence), age: record.age, payload };
}

function payloadToWire(payload: Payload): wire.Record["payload"] {
    switch (payload.kind) {
        case "settings":
            return { case: "settings", value: create(wire.SettingsSchema, { document: payload.document }) };
        case "members":
            return { case: "members", value: membersToWire(payload.list) };
        case "status":
            return { case: "status", value: statusToWire(payload.status) };
        case "summary":
            return { case: "summary", value: summaryToWire(payload.summary) };
        case "probes":
            return {
                case: "probes",
                value: create(wire.ProbeReportSchema, { results: payload.results.map(probeToWire) }),
            };
        case "lastShares":
            return {
                case: "lastShares",
                value: create(wire.LastSharesSchema, { traffic: payload.traffic.map(trafficToWire) }),
            };
        default:
            return assertNever(payload);
    }
}

function payloadFromWire(payload: wire.Record["payload"]): Payload | undefined {
    switch (payload.case) {
        case "settings":
            return { kind: "settings", document: payload.value.document };
        case "members":
            return { kind: "members", list: membersFromWire(payload.value) };
        case "status":
            return { kind: "status", status: statusFromWire(payload.value) };
        case "summary":
            return { kind: "summary", summary: summaryFromWire(payload.value) };
        case "probes":
            return { kind: "probes", results: payload.value.results.map(probeFromWire) };
        case "lastShares":
            return { kind: "lastShares", traffic: payload.value.traffic.map(trafficFromWire) };
        case undefined:
            return undefined;
        default:
            return assertNever(payload);
    }
}

function membersToWire(list: MemberList): wire.Members {
    return create(wire.MembersSchema, {
        region: list.region,
        zone: list.zone,
        boxes: list.boxes.map(({ state, ...box }) => ({ ...box, leaving: state === "leaving" })),
        servers: list.servers.map(({ state, ...server }) => ({ ...server, leaving: state === "leaving" })),
    });
}

function membersFromWire(list: wire.Members): MemberList {
    return {
        region: regionId(list.region),
        zone: zoneId(list.zone),
        boxes: list.boxes.map((box): BoxMember => ({
            id: boxId(box.id),
            address: box.address,
            port: box.port,
            peerPort: box.peerPort,
            state: box.leaving ? "leaving" : "live",
        })),
        servers: list.servers.map((server): ServerMember => ({
            id: serverId(server.id),
            service: serviceId(server.service),
            address: server.address,
            port: server.port,
            state: server.leaving ? "leaving" : "live",
        })),
    };
}

function presenceToWire(presence: BoxPresence): wire.Presence {
    return create(wire.PresenceSchema, presence);
}

function presenceFromWire(presence: wire.Presence): BoxPresence {
    return {
        box: boxId(presence.box),
        incarnation: incarnationId(presence.incarnation),
        region: regionId(presence.region),
        zone: zoneId(presence.zone),
        address: presence.address,
        port: presence.port,
        peerPort: presence.peerPort,
        ready: presence.ready,
        leaving: presence.leaving,
        inFlight: presence.inFlight,
    };
}

function trafficToWire(traffic: OriginTraffic): wire.OriginTraffic {
    return create(wire.OriginTrafficSchema, traffic);
}

function trafficFromWire(traffic: wire.OriginTraffic): OriginTraffic {
    return {
        service: serviceId(traffic.service),
        origin: regionId(traffic.origin),
        rate: traffic.rate,
        shares: traffic.shares,
    };
}

function servedFromWire(served: wire.ServedTraffic): ServedTraffic {
    return { service: serviceId(served.service), zone: zoneId(served.zone), rate: served.rate };
}

function statusToWire(status: BoxStatus): wire.BoxStatus {
    return create(wire.BoxStatusSchema, {
        presence: presenceToWire(status.presence),
        traffic: status.traffic.map(trafficToWire),
        served: [...status.served],
        settingsVersion: BigInt(status.settingsVersion),
    });
}

function statusFromWire(status: wire.BoxStatus): BoxStatus {
    return {
        presence: presenceFromWire(status.presence ?? create(wire.PresenceSchema)),
        traffic: status.traffic.map(trafficFromWire),
        served: status.served.map(servedFromWire),
        settingsVersion: Number(status.settingsVersion),
    };
}

function summaryToWire(summary: ZoneSummary): wire.ZoneSummary {
    return create(wire.ZoneSummarySchema, {
        region: summary.region,
        zone: summary.zone,
        boxes: summary.boxes.map(presenceToWire),
        traffic: summary.traffic.map(trafficToWire),
        served: [...summary.served],
        settingsVersion: BigInt(summary.settingsVersion),
    });
}

function summaryFromWire(summary: wire.ZoneSummary): ZoneSummary {
    return {
        region: regionId(summary.region),
        zone: zoneId(summary.zone),
        boxes: summary.boxes.map(presenceFromWire),
        traffic: summary.traffic.map(trafficFromWire),
        served: summary.served.map(servedFromWire),
        settingsVersion: Number(summary.settingsVersion),
    };
}

function probeToWire(result: ProbeResult): wire.ProbeResult {
    return create(wire.ProbeResultSchema, { ...result, age: Math.round(result.age) });
}

function probeFromWire(result: wire.ProbeResult): ProbeResult {
    const { ready, leaving, inUse, queued, age } = result;
    return { server: serverId(result.server), ready, leaving, inUse, queued, age };
}

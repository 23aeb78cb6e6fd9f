/**
 * The servers and boxes of an emulated deployment.
 *
 * Owns the list of servers; each change reaches all boxes at once.
 */

import type { BackendServerRecord, MemberRecord } from "@chalkdale/decisions";
import {
    type AvailabilityZoneId,
    availabilityZoneId,
    backendServerId,
    type BoxId,
    boxId,
    incarnationId,
    milliseconds,
    type RandomSource,
    regionId,
    serviceId,
} from "@chalkdale/kernel";
import type { EmulatedDeployment, EmulatedService } from "./deployment.js";
import { createEmulatedBox, type EmulatedBox } from "./emulated-box.js";
import { createEmulatedServer, type EmulatedServer } from "./emulated-server.js";
import type { EventQueue } from "./event-queue.js";
import type { PolicyName } from "./policies.js";

/** Servers and boxes of one emulation. */
export interface Fleet {
    readonly servers: readonly EmulatedServer[];
    readonly boxes: readonly EmulatedBox[];
    /** Removes servers from the list permanently; they still run what they receive. */
    readonly removeServers: (servers: readonly EmulatedServer[]) => void;
    /** Sets the closed availability zones on all boxes. */
    readonly closeZones: (closed: ReadonlySet<AvailabilityZoneId>) => void;
    /** Sets the boxes that are partitioned from all servers; they replace those set before. */
    readonly partition: (boxes: ReadonlySet<BoxId>) => void;
}

export interface FleetOptions {
    readonly deployment: EmulatedDeployment;
    readonly policy: PolicyName;
    readonly random: RandomSource;
    /** Source of the choice among equal forwarding boxes. */
    readonly pathRandom: RandomSource;
    readonly events: EventQueue;
    readonly readsBeforeSending: boolean;
    /** Called for each attempt with the zones of the box and of the server, and the bytes transferred between them. */
    readonly onTransferred: (from: string, to: string, bytes: number) => void;
    /** Called for each attempt with its number within the request, from 1. */
    readonly onArrival: (count: number) => void;
    /** Called with each decision of a box as a line of text. */
    readonly onDecision: (line: string) => void;
}

/** One-way latency within an availability zone, in milliseconds. */
const sameZoneLatency = 0.2;
/** Requests a second that a cold server can serve, as the users' deployments configure it. */
const coldRate = 14;

/** Creates the fleet with all servers listed. */
export function createFleet(options: FleetOptions): Fleet {
    const { deployment } = options;
    const servers = new Map(
        deployment.services.flatMap(createServers).map(server => [server.id, server]),
    );
    let partitionedBoxes: ReadonlySet<BoxId> = new Set();
    const boxes = createBoxes();
    const removedServers = new Set<EmulatedServer>();

    publishServers();
    return {
        servers: [...servers.values()],
        boxes,
        removeServers(removed) {
            removed.forEach(server => removedServers.add(server));
            publishServers();
        },
        partition(partitioned) {
            partitionedBoxes = partitioned;
        },
        closeZones: closed => boxes.forEach(box => box.closeZones(closed)),
    };

    function publishServers(): void {
        const records = [...servers.values()].filter(server => !removedServers.has(server)).map(server =>
            server.record()
        );
        boxes.forEach(box => box.applyServers(records));
    }

    function createServers(service: EmulatedService): EmulatedServer[] {
        const { queueCapacity, keyCacheSize } = service;
        const positions = Object.entries(service.servers).flatMap(([zone, count]) =>
            Array.from({ length: count }, (_, index) => ({ zone, index }))
        );
        return positions.map(({ index, zone }) =>
            createEmulatedServer({
                record: recordOf(service, zone, index),
                queueCapacity,
                keyCacheSize,
                warmSaving: deployment.warmSaving,
                events: options.events,
            })
        );
    }

    function recordOf(service: EmulatedService, zone: string, index: number): BackendServerRecord {
        return {
            id: backendServerId(`${service.name}-${zone}-${index}`),
            service: serviceId(service.name),
            address: "192.0.2.1:80",
            zone: availabilityZoneId(zone),
            region: regionId(deployment.zones[zone]),
            slots: service.slots,
            draining: false,
            coldFor: milliseconds(0),
            revision: 1,
        };
    }

    function createBoxes(): EmulatedBox[] {
        const identities = Object.entries(deployment.boxesPerZone).flatMap(([zone, count]) =>
            Array.from({ length: count }, (_, index) => ({ zone, id: boxId(`box-${zone}-${index}`) }))
        );
        const ids = identities.map(identity => identity.id);
        const members = identities.map(({ id, zone }) => memberOf(id, zone));
        return identities.map(({ id, zone }, index) =>
            createEmulatedBox({
                id,
                zone: availabilityZoneId(zone),
                region: regionId(deployment.zones[zone]),
                boxes: ids,
                policy: options.policy,
                random: options.random,
                events: options.events,
                readsBeforeSending: options.readsBeforeSending,
                server: serverId => servers.get(serverId)!,
                roundTrip: serverZone => 2 * oneWayLatency(zone, serverZone),
                coldRate,
                links: {
                    random: options.pathRandom,
                    self: members[index],
                    members: () => members,
                    isPartitioned: box => partitionedBoxes.has(box),
                    roundTripToBox: box => 2 * oneWayLatency(zone, box.zone),
                },
                onTransferred: (serverZone, bytes) => options.onTransferred(zone, serverZone, bytes),
                onArrival: (_server, count) => options.onArrival(count),
                onDecision: options.onDecision,
            })
        );
    }

    function memberOf(id: BoxId, zone: string): MemberRecord {
        return {
            box: id,
            incarnation: incarnationId("1"),
            heartbeat: 1,
            leaving: false,
            ready: true,
            region: regionId(deployment.zones[zone]),
            zone: availabilityZoneId(zone),
            peerAddress: "192.0.2.2:81",
            callerAddress: "192.0.2.2:80",
            capacity: 1,
            load: 0,
        };
    }

    function oneWayLatency(from: string, to: string): number {
        if (from === to) {
            return sameZoneLatency;
        }
        return deployment.zones[from] === deployment.zones[to]
            ? deployment.crossZoneLatency
            : deployment.crossRegionLatency;
    }
}

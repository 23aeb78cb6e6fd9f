/**
 * The servers and boxes of an emulated deployment.
 *
 * Owns which servers are listed; each box learns it at once.
 */

import type { BackendServerRecord } from "@chalkdale/decisions";
import {
    type AvailabilityZoneId,
    availabilityZoneId,
    backendServerId,
    boxId,
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

/** Servers and boxes of one day. */
export interface Fleet {
    readonly servers: readonly EmulatedServer[];
    readonly boxes: readonly EmulatedBox[];
    /** Takes servers off the list for good. */
    readonly unlist: (servers: readonly EmulatedServer[]) => void;
    readonly closeZones: (closed: ReadonlySet<AvailabilityZoneId>) => void;
}

export interface FleetOptions {
    readonly deployment: EmulatedDeployment;
    readonly policy: PolicyName;
    readonly random: RandomSource;
    readonly events: EventQueue;
    /** Called with the bytes that move between two zones. */
    readonly onTransferred: (from: string, to: string, bytes: number) => void;
    /** Called for each arrival at a server, with its number for the request. */
    readonly onArrival: (count: number) => void;
    readonly onDecision: (line: string) => void;
}

/** One way within an availability zone, in milliseconds. */
const sameZone = 0.2;
/** Requests a second that a cold server can serve, as the users' sheets have it. */
const coldRate = 14;

/** Creates the fleet; all servers are listed. */
export function createFleet(options: FleetOptions): Fleet {
    const { deployment } = options;
    const servers = new Map(
        deployment.services.flatMap(serversOf).map(server => [server.id, server]),
    );
    const boxes = createBoxes();
    const unlisted = new Set<EmulatedServer>();

    publish();
    return {
        servers: [...servers.values()],
        boxes,
        unlist(gone) {
            gone.forEach(server => unlisted.add(server));
            publish();
        },
        closeZones: closed => boxes.forEach(box => box.closeZones(closed)),
    };

    function publish(): void {
        const records = [...servers.values()].filter(server => !unlisted.has(server)).map(server => server.record());
        boxes.forEach(box => box.applyServers(records));
    }

    function serversOf(service: EmulatedService): EmulatedServer[] {
        const { queueLength, rememberedKeys } = service;
        const places = Object.entries(service.servers).flatMap(([zone, count]) =>
            Array.from({ length: count }, (_, index) => ({ zone, index }))
        );
        return places.map(({ index, zone }) =>
            createEmulatedServer({
                record: recordOf(service, zone, index),
                queueLength,
                rememberedKeys,
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
        const places = Object.entries(deployment.boxesPerZone).flatMap(([zone, count]) =>
            Array.from({ length: count }, (_, index) => ({ zone, id: boxId(`box-${zone}-${index}`) }))
        );
        const ids = places.map(place => place.id);
        return places.map(({ id, zone }) =>
            createEmulatedBox({
                id,
                zone: availabilityZoneId(zone),
                region: regionId(deployment.zones[zone]),
                boxes: ids,
                policy: options.policy,
                random: options.random,
                events: options.events,
                server: found => servers.get(found)!,
                roundTrip: other => 2 * oneWay(zone, other),
                coldRate,
                onTransferred: (other, bytes) => options.onTransferred(zone, other, bytes),
                onArrival: (_server, count) => options.onArrival(count),
                onDecision: options.onDecision,
            })
        );
    }

    function oneWay(from: string, to: string): number {
        if (from === to) {
            return sameZone;
        }
        return deployment.zones[from] === deployment.zones[to]
            ? deployment.crossZoneLatency
            : deployment.crossRegionLatency;
    }
}

/**
 * One entry box for tests: the callers' interface over a real socket in front
 * of a router that knows some backend servers, its clock standing still.
 */

import {
    boxId,
    compileSettings,
    createManualClock,
    createRouter,
    createSeededRandom,
    createTicketBook,
    incarnationId,
    type ManualClock,
    milliseconds,
    objectVersion,
    regionId,
    type Router,
    serverId,
    serviceId,
    type SettingValues,
    zoneId,
} from "@chalkdale/core";
import { silentLog } from "@chalkdale/runtime";
import type { AddressInfo } from "node:net";
import { createMetrics, createServerConnections, type Metrics, serveCallers } from "../src/index.js";

/** A running box. */
export interface TestBox {
    readonly url: string;
    readonly port: number;
    readonly router: Router;
    readonly metrics: Metrics;
    readonly clock: ManualClock;
}

/** Starts a box whose service `profil-api` is served at some ports. */
export async function startTestBox(
    name: string,
    serverPorts: readonly number[],
    signal: AbortSignal,
    values: Partial<SettingValues> = {},
): Promise<TestBox> {
    const clock = createManualClock();
    const incarnation = incarnationId("one");
    const tickets = createTicketBook({ box: boxId(name), incarnation, key: Buffer.from(name), clock: clock.now });
    const place = { region: regionId("north"), zone: zoneId("north-a") };
    const presence = { box: boxId(name), incarnation, ...place, address: "127.0.0.1", port: 1, peerPort: 2 };
    const router = createRouter({ presence, clock: clock.now, random: createSeededRandom(1), tickets });
    router.applySettings(compileSettings(documentWith(name, values), objectVersion(1)));
    router.applyMembers({
        ...place,
        boxes: [{ id: boxId("other"), address: "127.0.0.1", port: 9, peerPort: 10, state: "live" }],
        servers: serverPorts.map((port, index) => ({
            id: serverId(`server-${index}`),
            service: serviceId("profil-api"),
            address: "127.0.0.1",
            port,
            state: "live",
        })),
    });
    router.applyRights({
        leased: { units: { north: 1e6 }, until: milliseconds(Infinity) },
        floorFrom: milliseconds(Infinity),
        floorUntil: milliseconds(0),
    });
    clock.advance(20_000);
    probeAll(router, serverPorts.length);
    const metrics = createMetrics();
    const server = await serveCallers({ address: "127.0.0.1", port: 0 }, {
        router,
        metrics,
        log: silentLog,
        clock: clock.now,
        connections: createServerConnections(signal),
        box: name,
        signal,
    });
    const { port } = server.address() as AddressInfo;
    return { url: `http://127.0.0.1:${port}`, port, router, metrics, clock };
}

function documentWith(name: string, values: Partial<SettingValues>) {
    return {
        deployment: "test",
        nodes: {
            "/": { slowStart: 0, retryRatio: 1, ...values },
            "/regions/north": { capacity: 1e6 },
            "/regions/north/north-a": { boxes: [name] },
            "/services/profil-api": {},
        },
    };
}

function probeAll(router: Router, count: number): void {
    for (let index = 0; index < count; index++) {
        const server = serverId(`server-${index}`);
        router.applyProbe({ server, ready: true, leaving: false, inUse: 0, queued: 0, age: 0 });
    }
}

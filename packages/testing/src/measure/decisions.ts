/**
 * Speed of the decision itself and of the client block table, at the sizes of
 * today and of the time to come.
 */

import {
    boxId,
    compileSettings,
    createClientBlockTable,
    createManualClock,
    createRouter,
    createSeededRandom,
    createTicketBook,
    incarnationId,
    milliseconds,
    type NodeValues,
    objectVersion,
    regionId,
    type Router,
    serverId,
    serviceId,
    type SettingsDocument,
    zoneId,
    type ZoneSummary,
} from "@chalkdale/core";
import { build } from "hdr-histogram-js";
import type { Report } from "./report.js";

/** A size of deployment. A site is one service's backend servers in one availability zone. */
interface Size {
    readonly name: string;
    readonly boxes: number;
    readonly zonesPerRegion: number;
    readonly services: number;
    readonly blocks: number;
}

const sizes: readonly Size[] = [
    { name: "today", boxes: 9, zonesPerRegion: 2, services: 2, blocks: 10_000 },
    { name: "blocks-1M", boxes: 9, zonesPerRegion: 2, services: 2, blocks: 1_000_000 },
    { name: "to-come", boxes: 740, zonesPerRegion: 10, services: 8, blocks: 1_000_000 },
];
const regions = ["north", "east", "south"];
const serversPerSite = 4;
const warmUpDecisions = 50_000;
const decisions = 200_000;
const tickEvery = 5000;

/** Measures each size. */
export function measureDecisions(report: Report): void {
    for (const size of sizes) {
        const { router, services, addresses, advance } = createSized(size);
        for (let count = 0; count < warmUpDecisions; count++) {
            decide(router, services, addresses, count);
        }
        const histogram = build({ useWebAssembly: false, numberOfSignificantValueDigits: 3 });
        const startedAt = process.hrtime.bigint();
        let ticks = 0n;
        let chosen = 0;
        for (let count = 0; count < decisions; count++) {
            if (count % tickEvery === 0) {
                const before = process.hrtime.bigint();
                advance();
                ticks += process.hrtime.bigint() - before;
            }
            const before = process.hrtime.bigint();
            chosen += decide(router, services, addresses, count);
            histogram.recordValue(Math.max(1, Number(process.hrtime.bigint() - before)));
        }
        const seconds = Number(process.hrtime.bigint() - startedAt - ticks) / 1e9;
        report(`decision.${size.name}.rate`, decisions / seconds, "decisions/s");
        report(`decision.${size.name}.p50`, histogram.getValueAtPercentile(50) / 1000, "us");
        report(`decision.${size.name}.p99`, histogram.getValueAtPercentile(99) / 1000, "us");
        report(`decision.${size.name}.chosen`, chosen / decisions, "share");
        report(`decision.${size.name}.tick`, Number(ticks) / 1e6 / (decisions / tickEvery), "ms");
    }
    for (const blocks of [10_000, 100_000, 1_000_000]) {
        measureTable(blocks, report);
    }
}

function decide(router: Router, services: readonly string[], addresses: readonly string[], count: number): number {
    const begun = router.begin({
        service: serviceId(services[count % services.length]),
        callerAddress: addresses[count % addresses.length],
        method: "GET",
    });
    if (begun.err) {
        return 0;
    }
    const assigned = begun.val.assign();
    if (assigned.ok) {
        begun.val.settle({ kind: "answered", latency: 5, serverError: false, leaving: false });
        begun.val.end({ kind: "answered", status: 200 });
        return 1;
    }
    begun.val.end({ kind: "refused" });
    return 0;
}

function createSized(size: Size) {
    const clock = createManualClock();
    const random = createSeededRandom(5);
    const services = Array.from({ length: size.services }, (_, index) => `service-${index}`);
    const { document, zones } = treeOf(size, services);
    const incarnation = incarnationId("one");
    const box = boxId("box-0");
    const tickets = createTicketBook({ box, incarnation, key: Buffer.from("key"), clock: clock.now });
    const place = { region: regionId(zones[0].region), zone: zoneId(zones[0].zone) };
    const router = createRouter({
        presence: { box, incarnation, ...place, address: "127.0.0.1", port: 1, peerPort: 2 },
        clock: clock.now,
        random,
        tickets,
    });
    router.applySettings(compileSettings(document, objectVersion(1)));
    const servers = zones.map(({ region, zone }, zoneIndex) => ({
        region: regionId(region),
        zone: zoneId(zone),
        boxes: [],
        servers: services.flatMap(service =>
            Array.from({ length: serversPerSite }, (_, index) => ({
                id: serverId(`${service}-${zoneIndex}-${index}`),
                service: serviceId(service),
                address: "127.0.0.1",
                port: 1,
                state: "live" as const,
            }))
        ),
    }));
    servers.forEach(list => router.applyMembers(list));
    router.applyRights({
        leased: { units: Object.fromEntries(regions.map(region => [region, 1e9])), until: milliseconds(Infinity) },
        floorFrom: milliseconds(Infinity),
        floorUntil: milliseconds(0),
    });
    clock.advance(20_000);
    const advance = () => {
        clock.advance(1000);
        for (const list of servers) {
            list.servers.forEach(({ id }) =>
                router.applyProbe({ server: id, ready: true, leaving: false, inUse: 0, queued: 0, age: 0 })
            );
            router.applySummary(summaryOf(list, services), 0);
        }
        router.tick();
    };
    advance();
    const addresses = Array.from({ length: 4096 }, () => addressOf(Math.floor(random() * size.blocks)));
    return { router, services, addresses, advance };
}

function summaryOf(
    list: { region: ReturnType<typeof regionId>; zone: ReturnType<typeof zoneId>; },
    services: readonly string[],
): ZoneSummary {
    return {
        region: list.region,
        zone: list.zone,
        boxes: [],
        traffic: services.flatMap(service =>
            regions.map(origin => ({
                service: serviceId(service),
                origin: regionId(origin),
                rate: 20,
                shares: { [list.zone]: 1 },
            }))
        ),
        served: [],
        settingsVersion: 1,
    };
}

function treeOf(size: Size, services: readonly string[]) {
    const nodes: Record<string, NodeValues> = {
        "/": { slots: 100_000, slowStart: 0, requestsInFlight: 1_000_000, linkLimit: 1e9 },
    };
    const zones: { region: string; zone: string; }[] = [];
    const perRegion = Math.ceil(size.blocks / regions.length);
    regions.forEach((region, index) => {
        const blocks = Array.from({ length: perRegion }, (_, count) => `${addressOf(index * perRegion + count)}/24`);
        nodes[`/regions/${region}`] = { capacity: 1e9, clientBlocks: blocks };
        for (let count = 0; count < size.zonesPerRegion; count++) {
            const zone = `${region}-${count}`;
            zones.push({ region, zone });
            const boxes = Math.ceil(size.boxes / regions.length / size.zonesPerRegion);
            nodes[`/regions/${region}/${zone}`] = {
                boxes: Array.from({ length: boxes }, (_, box) => `${zone}-box-${box}`),
            };
        }
    });
    services.forEach(service => {
        nodes[`/services/${service}`] = {};
    });
    const document: SettingsDocument = { deployment: "sized", nodes };
    return { document, zones };
}

/** Address of the first host of the n-th /24 block from 1.0.0.0. */
function addressOf(block: number): string {
    const value = block + 65_536;
    return `${value >>> 16}.${(value >>> 8) & 255}.${value & 255}.0`;
}

function measureTable(blocks: number, report: Report): void {
    const random = createSeededRandom(9);
    const table = createClientBlockTable(
        Array.from({ length: blocks }, (_, index) => ({ block: `${addressOf(index)}/24`, site: index % 250 })),
    );
    const addresses = Array.from({ length: 65_536 }, () => addressOf(Math.floor(random() * blocks)));
    const lookups = 2_000_000;
    let found = 0;
    const startedAt = performance.now();
    for (let count = 0; count < lookups; count++) {
        found += table.find(addresses[count & 65_535]) === undefined ? 0 : 1;
    }
    const seconds = (performance.now() - startedAt) / 1000;
    report(`blocks.${blocks}.bytes`, table.byteLength, "B");
    report(`blocks.${blocks}.rate`, lookups / seconds, "look-ups/s");
    report(`blocks.${blocks}.found`, found / lookups, "share");
}

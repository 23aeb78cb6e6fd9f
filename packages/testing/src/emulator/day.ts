/**
 * A day in the emulator: places, boxes, servers, callers in waves, troubles.
 */

import type { BackendServerRecord, Route, RouteKind } from "@chalkdale/decisions";
import {
    type AvailabilityZoneId,
    availabilityZoneId,
    backendServerId,
    boxId,
    createSeededRandom,
    type Milliseconds,
    milliseconds,
    type RandomSource,
    regionId,
    type ServiceId,
    serviceId,
} from "@chalkdale/kernel";
import { createEmulatedBox, type EmulatedBox } from "./emulated-box.js";
import { createEmulatedServer, type EmulatedServer } from "./emulated-server.js";
import { createEventQueue } from "./event-queue.js";
import type { PolicyName } from "./policies.js";

/** A kind of request and how often it comes from each zone. */
interface RequestClass {
    readonly name: string;
    readonly service: string;
    readonly kind: RouteKind;
    readonly perSecond: number;
    readonly work: number;
    readonly goal: number;
    readonly deadline: number;
    readonly worth: number;
    readonly lateWorth: number;
    /** Objects that the requests are about. */
    readonly keys: number;
}

/** A service and its servers by zone. */
interface EmulatedService {
    readonly name: string;
    readonly servers: Readonly<Record<string, number>>;
    readonly slots: number;
    readonly queueLength: number;
    readonly rememberedKeys: number;
}

/** A deployment. */
export interface EmulatedDeployment {
    readonly name: string;
    /** Region of each zone. */
    readonly zones: Readonly<Record<string, string>>;
    readonly boxesPerZone: Readonly<Record<string, number>>;
    readonly services: readonly EmulatedService[];
    readonly classes: readonly RequestClass[];
    readonly warmGain: number;
    /** Part by which a zone's load swings, and the time of a swing. */
    readonly swing: number;
    readonly period: Milliseconds;
    /** One way, in milliseconds. */
    readonly betweenZones: number;
    readonly betweenRegions: number;
    readonly toCallers: number;
}

/** What goes wrong. */
export type EmulatedTrouble =
    | {
        readonly kind: "slowServers";
        readonly at: number;
        readonly lasts: number;
        readonly share: number;
        readonly factor: number;
    }
    | { readonly kind: "closedZone"; readonly at: number; readonly lasts: number; readonly zone: string; }
    | { readonly kind: "lostServers"; readonly at: number; readonly share: number; }
    | { readonly kind: "burst"; readonly at: number; readonly lasts: number; readonly factor: number; };

export interface DayOptions {
    readonly deployment: EmulatedDeployment;
    readonly policy: PolicyName;
    readonly seed: number;
    readonly length: Milliseconds;
    /** 1 for the deployment's own rates. */
    readonly load: number;
    readonly troubles?: readonly EmulatedTrouble[];
    readonly onDecision?: (line: string) => void;
}

/** What came of a day. */
export interface DayResult {
    readonly asked: number;
    readonly inGoal: number;
    readonly late: number;
    readonly refused: number;
    /** Credit earned by credit owed. */
    readonly worth: number;
    readonly worstZone: number;
    readonly warmShare: number;
    /** Part of the requests at servers that found every slot and every place in the queue taken. */
    readonly turnedAwayShare: number;
    /** Arrivals beyond the first of each request. */
    readonly repeats: number;
}

interface Tally {
    asked: number;
    inGoal: number;
    late: number;
    refused: number;
    earned: number;
    owed: number;
}

/** Plays a day. The same options give the same result. */
export function playDay(options: DayOptions): DayResult {
    const { deployment } = options;
    const events = createEventQueue();
    const random = createSeededRandom(options.seed);
    const servers = createServers();
    const boxes = createBoxes();
    const tallies = new Map<string, Tally>();
    const gone = new Set<string>();
    let repeats = 0;
    let burst = 1;

    publishServers();
    options.troubles?.forEach(scheduleTrouble);
    const zones = Object.keys(deployment.zones);
    for (const zone of zones) {
        for (const requestClass of deployment.classes) {
            scheduleNext(zone, requestClass);
        }
    }
    events.runUntil(options.length);
    return summarize();

    function createServers(): Map<string, EmulatedServer> {
        const created = new Map<string, EmulatedServer>();
        for (const service of deployment.services) {
            for (const [zone, count] of Object.entries(service.servers)) {
                for (let index = 0; index < count; index++) {
                    const record = createRecord(service, zone, index);
                    const { queueLength, rememberedKeys } = service;
                    const { warmGain } = deployment;
                    const server = createEmulatedServer({ record, queueLength, rememberedKeys, warmGain, events });
                    created.set(record.id, server);
                }
            }
        }
        return created;
    }

    function createRecord(service: EmulatedService, zone: string, index: number): BackendServerRecord {
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
                random,
                events,
                server: found => servers.get(found)!,
                roundTrip: other => 2 * oneWay(zone, other),
                coldRate: 14,
                onArrival: (_server, count) => {
                    repeats += count > 1 ? 1 : 0;
                },
                onDecision: line => options.onDecision?.(`${events.now().toFixed(1)} ${line}`),
            })
        );
    }

    function oneWay(from: string, to: string): number {
        if (from === to) {
            return sameZone;
        }
        return deployment.zones[from] === deployment.zones[to] ? deployment.betweenZones : deployment.betweenRegions;
    }

    function publishServers(): void {
        const records = [...servers.values()].filter(server => !gone.has(server.id)).map(server => server.record());
        boxes.forEach(box => box.applyServers(records));
    }

    function scheduleNext(zone: string, requestClass: RequestClass): void {
        const rate = requestClass.perSecond * options.load * burst * waveOf(zone);
        events.after(-Math.log(1 - random()) / rate * 1000, () => {
            send(zone, requestClass);
            scheduleNext(zone, requestClass);
        });
    }

    function waveOf(zone: string): number {
        const regions = [...new Set(Object.values(deployment.zones))];
        const phase = regions.indexOf(deployment.zones[zone]) / regions.length;
        return 1 + deployment.swing * Math.sin(2 * Math.PI * (events.now() / deployment.period + phase));
    }

    function send(zone: string, requestClass: RequestClass): void {
        const near = boxes.filter(box => box.region === deployment.zones[zone]);
        const box = near[Math.floor(random() * near.length)];
        const startedAt = events.now();
        const tally = tallyOf(zone);
        tally.asked += 1;
        tally.owed += requestClass.worth;
        events.after(deployment.toCallers, () =>
            box.serve({
                route: routeOf(requestClass),
                service: serviceId(requestClass.service),
                key: `${zone}/${Math.floor(random() * requestClass.keys)}`,
                work: requestClass.work * (1 + workSpread * (random() + random() - 1)),
                deadline: milliseconds(requestClass.deadline),
            }, ending =>
                events.after(deployment.toCallers, () => {
                    if (ending !== "answered") {
                        tally.refused += 1;
                        return;
                    }
                    const inGoal = events.now() - startedAt <= requestClass.goal;
                    tally.inGoal += inGoal ? 1 : 0;
                    tally.late += inGoal ? 0 : 1;
                    tally.earned += inGoal ? requestClass.worth : requestClass.lateWorth;
                })));
    }

    function scheduleTrouble(trouble: EmulatedTrouble): void {
        events.after(trouble.at, () => begin(trouble));
        if ("lasts" in trouble) {
            events.after(trouble.at + trouble.lasts, () => end(trouble));
        }
    }

    function begin(trouble: EmulatedTrouble): void {
        switch (trouble.kind) {
            case "slowServers":
                partOf(trouble.share).forEach(server => server.setSlowness(trouble.factor));
                return;
            case "closedZone":
                setClosedZones(new Set([availabilityZoneId(trouble.zone)]));
                return;
            case "lostServers":
                partOf(trouble.share).forEach(server => gone.add(server.id));
                publishServers();
                return;
            case "burst":
                burst = trouble.factor;
                return;
        }
    }

    function end(trouble: EmulatedTrouble): void {
        servers.forEach(server => server.setSlowness(1));
        setClosedZones(new Set());
        burst = trouble.kind === "burst" ? 1 : burst;
    }

    function setClosedZones(closed: ReadonlySet<AvailabilityZoneId>): void {
        boxes.forEach(box => box.closeZones(closed));
    }

    function partOf(share: number): EmulatedServer[] {
        return pickPart([...servers.values()], share, random);
    }

    function tallyOf(zone: string): Tally {
        let tally = tallies.get(zone);
        if (tally === undefined) {
            tally = { asked: 0, inGoal: 0, late: 0, refused: 0, earned: 0, owed: 0 };
            tallies.set(zone, tally);
        }
        return tally;
    }

    function summarize(): DayResult {
        const all = [...tallies.values()];
        const sum = (key: keyof Tally) => all.reduce((total, tally) => total + tally[key], 0);
        const everyServer = [...servers.values()];
        const arrivals = everyServer.reduce((total, server) => total + server.arrivals(), 0);
        return {
            asked: sum("asked"),
            inGoal: sum("inGoal"),
            late: sum("late"),
            refused: sum("refused"),
            worth: sum("earned") / sum("owed"),
            worstZone: Math.min(...all.map(tally => tally.earned / tally.owed)),
            turnedAwayShare: everyServer.reduce((total, server) => total + server.turnedAway(), 0)
                / Math.max(1, arrivals),
            warmShare: everyServer.reduce((total, server) => total + server.warmRuns(), 0) / Math.max(1, arrivals),
            repeats,
        };
    }
}

const sameZone = 0.2;
const workSpread = 0.3;

const routes = new Map<RequestClass, Route>();

function routeOf(requestClass: RequestClass): Route {
    let route = routes.get(requestClass);
    if (route === undefined) {
        const service: ServiceId = serviceId(requestClass.service);
        route = {
            name: requestClass.name,
            host: "app.example",
            pathPrefix: `/${requestClass.name}/`,
            kind: requestClass.kind,
            destinations: [{ service, weight: 1 }],
            goal: milliseconds(requestClass.goal),
            timeout: milliseconds(requestClass.deadline),
            maxAttempts: 2,
            priority: 1,
            sticky: true,
            homeRegions: [],
        };
        routes.set(requestClass, route);
    }
    return route;
}

function pickPart<Item>(items: readonly Item[], share: number, random: RandomSource): Item[] {
    return items.filter(() => random() < share);
}

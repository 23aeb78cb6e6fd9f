/**
 * A day in the emulator: callers in waves, and troubles.
 */

import type { Route } from "@chalkdale/decisions";
import {
    availabilityZoneId,
    createSeededRandom,
    type Milliseconds,
    milliseconds,
    type RandomSource,
    type ServiceId,
    serviceId,
} from "@chalkdale/kernel";
import type { EmulatedDeployment, RequestClass } from "./deployment.js";
import type { EmulatedRequestOutcome } from "./emulated-attempts.js";
import type { EmulatedServer } from "./emulated-server.js";
import { createEventQueue } from "./event-queue.js";
import { createFleet } from "./fleet.js";
import type { PolicyName } from "./policies.js";
import { createTally, type TallySummary } from "./tally.js";

/** What goes wrong. */
export type EmulatedFault =
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

export interface EmulationOptions {
    readonly deployment: EmulatedDeployment;
    readonly policy: PolicyName;
    readonly seed: number;
    readonly duration: Milliseconds;
    /** Whether callers are named the boxes of their zone or of their region. */
    readonly lookupScope?: "zone" | "region";
    /** 1 for the deployment's own rates. */
    readonly load: number;
    readonly faults?: readonly EmulatedFault[];
    readonly onDecision?: (line: string) => void;
}

/** What came of a day. */
export interface EmulationResult extends TallySummary {
    readonly warmShare: number;
    /** Part of the requests at servers that found every slot and every place in the queue taken. */
    readonly turnedAwayShare: number;
    /** Arrivals beyond the first of each request. */
    readonly retries: number;
}

/** Plays a day. The same options give the same result. */
export function runEmulation(options: EmulationOptions): EmulationResult {
    const { deployment } = options;
    const events = createEventQueue();
    const random = createSeededRandom(options.seed);
    // What a policy draws, and how often its callers come back, must not change who asks or which servers are struck: days of one seed
    // would differ by more than their policies.
    const policyRandom = createSeededRandom(options.seed * seedSpread);
    const returnRandom = createSeededRandom(options.seed * seedSpread + 1);
    const troubleRandom = createSeededRandom(options.seed * seedSpread + 2);
    const tally = createTally();
    let retries = 0;
    let burst = 1;
    const fleet = createFleet({
        deployment,
        policy: options.policy,
        random: policyRandom,
        events,
        onTransferred: onMoved,
        onArrival: count => {
            retries += count > 1 ? 1 : 0;
        },
        onDecision: line => options.onDecision?.(`${events.now().toFixed(1)} ${line}`),
    });

    options.faults?.forEach(scheduleTrouble);
    for (const zone of Object.keys(deployment.zones)) {
        for (const requestClass of deployment.classes) {
            scheduleNext(zone, requestClass);
        }
    }
    events.runUntil(options.duration);
    return { ...tally.summarize(), ...summarizeServers(fleet.servers), retries };

    function scheduleNext(zone: string, requestClass: RequestClass): void {
        const rate = requestClass.requestsPerSecond * options.load * burst * waveOf(zone);
        events.after(-Math.log(1 - random()) / rate * 1000, () => {
            send(zone, requestClass);
            scheduleNext(zone, requestClass);
        });
    }

    /** Load of a zone as a part of its mean: regions swing one after the other. */
    function waveOf(zone: string): number {
        const regions = [...new Set(Object.values(deployment.zones))];
        const phase = regions.indexOf(deployment.zones[zone]) / regions.length;
        return 1 + deployment.loadAmplitude * Math.sin(2 * Math.PI * (events.now() / deployment.loadPeriod + phase));
    }

    function onMoved(from: string, to: string, bytes: number): void {
        if (from !== to) {
            tally.onTransferred(deployment.zones[from] === deployment.zones[to] ? "zone" : "region", bytes);
        }
    }

    function send(zone: string, requestClass: RequestClass): void {
        const near = fleet.boxes.filter(box =>
            options.lookupScope === "zone" ? box.zone === zone : box.region === deployment.zones[zone]
        );
        const startedAt = events.now();
        tally.onRequest(zone, requestClass);
        const request = {
            route: routeOf(requestClass),
            service: serviceId(requestClass.service),
            key: `${zone}/${Math.floor(random() * requestClass.keys)}`,
            bytes: requestClass.bytes,
            work: requestClass.work * (1 + workSpread * (random() + random() - 1)),
        };
        ask(false);

        /** Asks one box of the caller's region; a caller that is refused comes back once, as the refusal says. */
        function ask(isReturning: boolean): void {
            const drawn = isReturning ? returnRandom() : random();
            const box = near[Math.floor(drawn * near.length)];
            onMoved(zone, box.zone, requestClass.bytes ?? 0);
            const deadline = milliseconds(requestClass.deadline - (events.now() - startedAt));
            const onEnding = (ending: EmulatedRequestOutcome) => {
                if (ending === "answered") {
                    tally.onAnswered(zone, requestClass, milliseconds(events.now() - startedAt));
                    return;
                }
                const pause = Math.min(comeBackAfter, deadline * longestPausePart);
                if (ending === "refused" && !isReturning) {
                    events.after(pause, () => ask(true));
                    return;
                }
                tally.onRefused(zone);
            };
            events.after(deployment.callerLatency, () =>
                box.serve(
                    { ...request, deadline, isCallerRetry: isReturning },
                    ending => events.after(deployment.callerLatency, () => onEnding(ending)),
                ));
        }
    }

    function scheduleTrouble(trouble: EmulatedFault): void {
        events.after(trouble.at, () => begin(trouble));
        if ("lasts" in trouble) {
            events.after(trouble.at + trouble.lasts, () => end(trouble));
        }
    }

    function begin(trouble: EmulatedFault): void {
        switch (trouble.kind) {
            case "slowServers":
                pickPart(fleet.servers, trouble.share, troubleRandom).forEach(server =>
                    server.setSlowness(trouble.factor)
                );
                return;
            case "closedZone":
                fleet.closeZones(new Set([availabilityZoneId(trouble.zone)]));
                return;
            case "lostServers":
                fleet.unlist(pickPart(fleet.servers, trouble.share, troubleRandom));
                return;
            case "burst":
                burst = trouble.factor;
                return;
        }
    }

    function end(trouble: EmulatedFault): void {
        fleet.servers.forEach(server => server.setSlowness(1));
        fleet.closeZones(new Set());
        burst = trouble.kind === "burst" ? 1 : burst;
    }
}

function summarizeServers(servers: readonly EmulatedServer[]): Pick<EmulationResult, "warmShare" | "turnedAwayShare"> {
    const sum = (count: (server: EmulatedServer) => number) =>
        servers.reduce((total, server) => total + count(server), 0);
    const arrivals = Math.max(1, sum(server => server.arrivals()));
    return {
        warmShare: sum(server => server.warmRuns()) / arrivals,
        turnedAwayShare: sum(server => server.turnedAway()) / arrivals,
    };
}

/** Draws of seeds that follow on each other would begin alike. */
const seedSpread = 6151;
/** Milliseconds after which refused callers come back: the box's answer to overload. */
const comeBackAfter = 700;
/** Part of the time left that a caller waits at most before it comes back, as on the sites. */
const longestPausePart = 1 / 3;
/** Part by which the work of one request may differ from its kind's. */
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
            isPublic: false,
        };
        routes.set(requestClass, route);
    }
    return route;
}

function pickPart<Item>(items: readonly Item[], share: number, random: RandomSource): Item[] {
    return items.filter(() => random() < share);
}

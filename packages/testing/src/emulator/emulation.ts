/**
 * Emulates a deployment over some simulated time: callers whose load rises and falls, boxes with a policy that
 * chooses servers, and faults.
 *
 * Owns the callers, the schedule of the faults and all random draws; relies on `fleet` for boxes and servers.
 */

import type { Route } from "@chalkdale/decisions";
import {
    availabilityZoneId,
    type BoxId,
    createSeededRandom,
    type Milliseconds,
    milliseconds,
    type RandomSource,
    type ServiceId,
    serviceId,
} from "@chalkdale/kernel";
import type { EmulatedDeployment, RequestClass } from "./deployment.js";
import type { EmulatedRequest, EmulatedRequestOutcome } from "./emulated-attempts.js";
import type { EmulatedBox } from "./emulated-box.js";
import type { EmulatedConnection } from "./emulated-input.js";
import type { EmulatedServer } from "./emulated-server.js";
import { createEventQueue } from "./event-queue.js";
import { createFleet } from "./fleet.js";
import type { PolicyName } from "./policies.js";
import { createTally, type TallySummary } from "./tally.js";

/**
 * A fault, or a burst of load. `at` is the simulated time at which it begins, `duration` its length, both in
 * milliseconds. `share` is the probability that it hits a server. `factor` multiplies processing times or request
 * rates.
 */
export type EmulatedFault =
    | {
        readonly kind: "slowServers";
        readonly at: number;
        readonly duration: number;
        readonly share: number;
        readonly factor: number;
    }
    | { readonly kind: "closedZone"; readonly at: number; readonly duration: number; readonly zone: string; }
    | { readonly kind: "lostServers"; readonly at: number; readonly share: number; }
    /** Boxes lose their links to all servers: those of a zone, or without one each with the probability `share`. */
    | {
        readonly kind: "partition";
        readonly at: number;
        readonly duration: number;
        readonly zone?: string;
        readonly share?: number;
    }
    /** Box processes get no processor time, each with the probability `share`. Callers leave at their deadlines. */
    | { readonly kind: "pausedBoxes"; readonly at: number; readonly duration: number; readonly share: number; }
    | { readonly kind: "burst"; readonly at: number; readonly duration: number; readonly factor: number; };

export interface EmulationOptions {
    readonly deployment: EmulatedDeployment;
    readonly policy: PolicyName;
    readonly seed: number;
    readonly duration: Milliseconds;
    /** Whether a lookup returns the boxes of the caller's zone or of its region; the region if undefined. */
    readonly lookupScope?: "zone" | "region";
    /** Factor on the deployment's request rates. */
    readonly load: number;
    readonly faults?: readonly EmulatedFault[];
    /** Called with the boxes that a partition cuts off from all servers. */
    readonly onPartition?: (boxes: ReadonlySet<BoxId>) => void;
    /** Called when the first attempt of a request has ended. */
    readonly onFirstAttemptEnded?: (attempt: EmulatedFirstAttempt) => void;
    /** Called when an attempt reaches a server, with the milliseconds since its caller left; undefined if it stays. */
    readonly onReached?: (leftFor: number | undefined) => void;
    /** False for boxes that act on what they have read, whatever is unread; true if undefined. */
    readonly readsBeforeSending?: boolean;
    /** Called with each decision of a box, preceded by the simulated time. */
    readonly onDecision?: (line: string) => void;
}

/** The first attempt of a request; times in simulated milliseconds. */
export interface EmulatedFirstAttempt {
    readonly box: BoxId;
    readonly startedAt: number;
    readonly took: number;
    readonly outcome: EmulatedRequestOutcome;
}

/** Counts of an emulation. */
export interface EmulationResult extends TallySummary {
    /** Fraction of the attempts that ran at a server which had cached the key. */
    readonly warmShare: number;
    /** Fraction of the attempts that a server rejected because no slot and no place in its queue was free. */
    readonly rejectedShare: number;
    /** Attempts beyond the first of each request. */
    readonly retries: number;
}

/** Runs an emulation. The same options give the same result. */
export function runEmulation(options: EmulationOptions): EmulationResult {
    const { deployment } = options;
    const events = createEventQueue();
    const random = createSeededRandom(options.seed);
    // Separate sources: the draws of a policy and the retries of its callers must not change which requests are sent or
    // which servers a fault hits. Otherwise emulations of one seed would differ by more than their policies.
    const policyRandom = createSeededRandom(options.seed * seedStride);
    const callerRetryRandom = createSeededRandom(options.seed * seedStride + 1);
    const faultRandom = createSeededRandom(options.seed * seedStride + 2);
    const tally = createTally();
    const callersLeave = options.faults?.some(({ kind }) => kind === "pausedBoxes") === true;
    /** How many faults pause each box now. */
    const pauseCounts = new Map<BoxId, number>();
    let retries = 0;
    let burst = 1;
    const fleet = createFleet({
        deployment,
        policy: options.policy,
        random: policyRandom,
        pathRandom: createSeededRandom(options.seed * seedStride + 3),
        events,
        readsBeforeSending: options.readsBeforeSending ?? true,
        onTransferred: countTransfer,
        onArrival: count => {
            retries += count > 1 ? 1 : 0;
        },
        onDecision: line => options.onDecision?.(`${events.now().toFixed(1)} ${line}`),
    });

    options.faults?.forEach(scheduleFault);
    for (const zone of Object.keys(deployment.zones)) {
        for (const requestClass of deployment.classes) {
            scheduleNext(zone, requestClass);
        }
    }
    events.runUntil(options.duration);
    return { ...tally.summarize(), ...summarizeServers(fleet.servers), retries };

    function scheduleNext(zone: string, requestClass: RequestClass): void {
        const rate = requestClass.requestsPerSecond * options.load * burst * loadFactorOf(zone);
        events.after(-Math.log(1 - random()) / rate * 1000, () => {
            send(zone, requestClass);
            scheduleNext(zone, requestClass);
        });
    }

    /** Load of a zone relative to its mean. The sine waves of the regions are out of phase with each other. */
    function loadFactorOf(zone: string): number {
        const regions = [...new Set(Object.values(deployment.zones))];
        const phase = regions.indexOf(deployment.zones[zone]) / regions.length;
        return 1 + deployment.loadAmplitude * Math.sin(2 * Math.PI * (events.now() / deployment.loadPeriod + phase));
    }

    function countTransfer(from: string, to: string, bytes: number): void {
        if (from !== to) {
            tally.onTransferred(deployment.zones[from] === deployment.zones[to] ? "zone" : "region", bytes);
        }
    }

    function send(zone: string, requestClass: RequestClass): void {
        const reachableBoxes = fleet.boxes.filter(box =>
            options.lookupScope === "zone" ? box.zone === zone : box.region === deployment.zones[zone]
        );
        const startedAt = events.now();
        tally.onRequest(zone, requestClass);
        const request = {
            route: routeOf(requestClass),
            service: serviceId(requestClass.service),
            key: `${zone}/${Math.floor(random() * requestClass.keys)}`,
            bytes: requestClass.bytes,
            work: requestClass.work * (1 + workVariation * (random() + random() - 1)),
        };
        sendToBox(false);

        /** Sends the request to a random box that the lookup returned. A refused caller retries once, after a delay. */
        function sendToBox(isCallerRetry: boolean): void {
            const drawn = isCallerRetry ? callerRetryRandom() : random();
            const box = reachableBoxes[Math.floor(drawn * reachableBoxes.length)];
            countTransfer(zone, box.zone, requestClass.bytes ?? 0);
            const deadline = milliseconds(requestClass.deadline - (events.now() - startedAt));
            const connection: EmulatedConnection = { unread: [] };
            let leftAt: number | undefined;
            let isOver = false;
            let hasEnded = false;
            const onOutcome = (outcome: EmulatedRequestOutcome) => {
                if (isOver) {
                    return;
                }
                isOver = true;
                if (!isCallerRetry) {
                    const took = events.now() - startedAt;
                    options.onFirstAttemptEnded?.({ box: box.id, startedAt, took, outcome });
                }
                if (outcome === "answered") {
                    tally.onAnswered(zone, requestClass, milliseconds(events.now() - startedAt));
                    return;
                }
                const delay = Math.min(callerRetryDelay, deadline * maxRetryDelayFraction);
                if (outcome === "refused" && !isCallerRetry) {
                    events.after(delay, () => sendToBox(true));
                    return;
                }
                tally.onRefused(zone);
            };
            const arriving: EmulatedRequest = {
                ...request,
                deadline,
                isCallerRetry,
                connection,
                hasEnded: () => hasEnded,
                onReached: () => options.onReached?.(leftAt === undefined ? undefined : events.now() - leftAt),
            };
            const onEnded = (outcome: EmulatedRequestOutcome) =>
                events.after(deployment.callerLatency, () => onOutcome(outcome));
            events.after(
                deployment.callerLatency,
                () => box.input.receive(connection, () => box.serve(arriving, onEnded)),
            );
            if (callersLeave) {
                events.after(deadline, leave);
            }

            function leave(): void {
                if (isOver) {
                    return;
                }
                leftAt = events.now();
                onOutcome("callerLeft");
                events.after(deployment.callerLatency, () =>
                    box.input.receive(connection, () => {
                        hasEnded = true;
                    }));
            }
        }
    }

    function scheduleFault(fault: EmulatedFault): void {
        events.after(fault.at, () => beginFault(fault));
        if ("duration" in fault) {
            events.after(fault.at + fault.duration, () => endFault(fault));
        }
    }

    function beginFault(fault: EmulatedFault): void {
        switch (fault.kind) {
            case "slowServers":
                drawSample(fleet.servers, fault.share, faultRandom).forEach(server => server.setSlowness(fault.factor));
                return;
            case "closedZone":
                fleet.closeZones(new Set([availabilityZoneId(fault.zone)]));
                return;
            case "lostServers":
                fleet.removeServers(drawSample(fleet.servers, fault.share, faultRandom));
                return;
            case "partition":
                partition(new Set(boxesToPartition(fault).map(({ id }) => id)));
                return;
            case "pausedBoxes": {
                const paused = drawSample(fleet.boxes, fault.share, faultRandom);
                paused.forEach(box => countPause(box, 1));
                events.after(fault.duration, () => paused.forEach(box => countPause(box, -1)));
                return;
            }
            case "burst":
                burst = fault.factor;
                return;
        }
    }

    /** Pauses of one box may overlap. */
    function countPause(box: EmulatedBox, change: number): void {
        const count = (pauseCounts.get(box.id) ?? 0) + change;
        pauseCounts.set(box.id, count);
        box.input.setPaused(count > 0);
    }

    function partition(boxes: ReadonlySet<BoxId>): void {
        fleet.partition(boxes);
        options.onPartition?.(boxes);
    }

    function boxesToPartition({ share = 0, zone }: EmulatedFault & { readonly kind: "partition"; }) {
        if (zone !== undefined) {
            return fleet.boxes.filter(box => box.zone === zone);
        }
        // At least one box keeps its links: otherwise no box can serve.
        const [, ...others] = fleet.boxes;
        return drawSample(others, share, faultRandom);
    }

    function endFault(fault: EmulatedFault): void {
        if (fault.kind === "pausedBoxes") {
            return;
        }
        fleet.partition(new Set());
        fleet.servers.forEach(server => server.setSlowness(1));
        fleet.closeZones(new Set());
        burst = fault.kind === "burst" ? 1 : burst;
    }
}

function summarizeServers(servers: readonly EmulatedServer[]): Pick<EmulationResult, "warmShare" | "rejectedShare"> {
    const sum = (count: (server: EmulatedServer) => number) =>
        servers.reduce((total, server) => total + count(server), 0);
    const arrivals = Math.max(1, sum(server => server.arrivals()));
    return {
        warmShare: sum(server => server.warmRuns()) / arrivals,
        rejectedShare: sum(server => server.turnedAway()) / arrivals,
    };
}

/** Factor between a seed and those derived from it: random sources with consecutive seeds begin with similar draws. */
const seedStride = 6151;
/** Milliseconds after which a refused caller retries: the Retry-After of a box's answer to overload. */
const callerRetryDelay = 700;
/** Fraction of the time left that a caller waits at most before its retry, as callers of the users' deployments do. */
const maxRetryDelayFraction = 1 / 3;
/** Fraction by which the work of one request may differ from the mean of its class. */
const workVariation = 0.3;

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

function drawSample<Item>(items: readonly Item[], share: number, random: RandomSource): Item[] {
    return items.filter(() => random() < share);
}

/**
 * A box in the emulator: the product's own decisions with the emulator's
 * servers and links instead of sockets.
 */

import {
    type BackendServerRecord,
    type Choice,
    type ChoiceRequest,
    createRecentKeys,
    createRetryBudget,
    createServerCatalog,
    createServerState,
    createServiceLoad,
    createSlowStart,
    createWorkEstimate,
    decideRetry,
    hashKey,
    isIdempotent,
    recordDelay,
    type RetryBudget,
    type Route,
} from "@chalkdale/decisions";
import {
    type AvailabilityZoneId,
    type BackendServerId,
    type BoxId,
    type Milliseconds,
    milliseconds,
    type RandomSource,
    type RegionId,
    type ServiceId,
} from "@chalkdale/kernel";
import type { EmulatedServer, ServerEnding } from "./emulated-server.js";
import type { EventQueue } from "./event-queue.js";
import { createPolicy, type PolicyName } from "./policies.js";

/** How a request ended for its caller. */
export type RequestEnding = "answered" | "refused" | "timedOut";

/** A request as a caller sends it. */
interface EmulatedRequest {
    readonly route: Route;
    readonly service: ServiceId;
    readonly key: string;
    /** Work at a server that does not know the key. */
    readonly work: number;
    readonly deadline: Milliseconds;
    /** The caller was refused before. */
    readonly isReturning: boolean;
}

/** A box. */
export interface EmulatedBox {
    readonly id: BoxId;
    readonly region: RegionId;
    readonly applyServers: (records: readonly BackendServerRecord[]) => void;
    readonly closeZones: (zones: ReadonlySet<AvailabilityZoneId>) => void;
    readonly serve: (request: EmulatedRequest, done: (ending: RequestEnding) => void) => void;
}

export interface EmulatedBoxOptions {
    readonly id: BoxId;
    readonly region: RegionId;
    readonly zone: AvailabilityZoneId;
    readonly boxes: readonly BoxId[];
    readonly policy: PolicyName;
    readonly random: RandomSource;
    readonly events: EventQueue;
    readonly server: (id: BackendServerId) => EmulatedServer;
    readonly roundTrip: (zone: AvailabilityZoneId) => number;
    readonly coldRate: number;
    /** Called for each arrival at a server, with its number for the request. */
    readonly onArrival: (server: BackendServerId, count: number) => void;
    /** Called with each decision, for sessions that are kept as golden files. */
    readonly onDecision: (line: string) => void;
}

/** Creates a box that knows no servers yet. */
export function createEmulatedBox(options: EmulatedBoxOptions): EmulatedBox {
    const { events } = options;
    const catalog = createServerCatalog((record, at) =>
        createServerState(record, at, {
            recordDelay,
            slowStart: createSlowStart({
                self: options.id,
                server: record.id,
                boxes: () => options.boxes,
                rate: () => options.coldRate,
            }),
        })
    );
    const recentKeys = createRecentKeys();
    const serviceLoad = createServiceLoad();
    const work = createWorkEstimate();
    const budgets = new Map<ServiceId, RetryBudget>();
    let closed: ReadonlySet<AvailabilityZoneId> = new Set();
    const choose = createPolicy(options.policy, {
        region: options.region,
        zone: options.zone,
        catalog,
        recentKeys,
        work,
        roundTrip: (_region, zone) => milliseconds(options.roundTrip(zone)),
        loadPerSlot: serviceLoad.perSlot,
        severity: (server, at) => server.state.severity(at),
        admitsZone: zone => !closed.has(zone),
    }, options.random);

    return {
        id: options.id,
        region: options.region,
        applyServers: records => {
            catalog.applyList(records, events.now());
        },
        closeZones: zones => {
            closed = zones;
        },
        serve(request, done) {
            budgetOf(request.service).onRequest(events.now());
            attempt(request, new Set(), events.now() + request.deadline, done);
        },
    };

    function attempt(
        request: EmulatedRequest,
        tried: Set<BackendServerId>,
        endsAt: number,
        done: (ending: RequestEnding) => void,
    ): void {
        const choice = choose(choiceRequest(request, tried, endsAt));
        if (choice.kind !== "chosen") {
            options.onDecision(`${options.id} ${request.route.name} ${request.key} refused ${choice.kind}`);
            done("refused");
            return;
        }
        const { server } = choice;
        options.onDecision(`${options.id} ${request.route.name} ${request.key} to ${server.id} rank ${choice.rank}`);
        tried.add(server.id);
        const sentAt = events.now();
        const way = options.roundTrip(server.state.record().zone);
        server.state.onSent(sentAt);
        options.onArrival(server.id, tried.size);
        events.after(
            way / 2,
            () =>
                options.server(server.id).receive(
                    request.key,
                    request.work,
                    ending =>
                        events.after(way / 2, () => onEnding(request, choice, ending, sentAt, tried, endsAt, done)),
                ),
        );
    }

    function choiceRequest(
        request: EmulatedRequest,
        tried: ReadonlySet<BackendServerId>,
        endsAt: number,
    ): ChoiceRequest {
        const at = events.now();
        return {
            route: request.route,
            service: request.service,
            keyHash: hashKey(request.service, `${request.route.name} ${request.key}`),
            tried,
            timeLeft: milliseconds(endsAt - at),
            isReturning: request.isReturning,
            at,
        };
    }

    function onEnding(
        request: EmulatedRequest,
        choice: Choice & { readonly kind: "chosen"; },
        ending: ServerEnding,
        sentAt: Milliseconds,
        tried: Set<BackendServerId>,
        endsAt: number,
        done: (ending: RequestEnding) => void,
    ): void {
        const { state } = choice.server;
        const now = events.now();
        state.onEnded(now, ending.load);
        serviceLoad.onReport(request.service, ending.load);
        if (now > endsAt) {
            done("timedOut");
            return;
        }
        if (ending.kind === "answered") {
            learn(request, choice, now, sentAt);
            done("answered");
            return;
        }
        state.onFull(now);
        const decision = decideRetry({ kind: "notRun" }, {
            isIdempotent: isIdempotent(request.route),
            maxAttempts: request.route.maxAttempts,
            sent: tried.size,
            notSent: 0,
            timeLeft: milliseconds(endsAt - now),
            takeRetry: () => budgetOf(request.service).tryTake(now),
        });
        if (decision.kind === "giveUp") {
            options.onDecision(`${options.id} ${request.route.name} ${request.key} refused ${decision.refusal}`);
            done("refused");
            return;
        }
        attempt(request, tried, endsAt, done);
    }

    function learn(
        request: EmulatedRequest,
        choice: Choice & { readonly kind: "chosen"; },
        now: Milliseconds,
        sentAt: Milliseconds,
    ): void {
        const { server } = choice;
        const duration = now - sentAt - options.roundTrip(server.state.record().zone);
        server.state.onHealthy();
        server.state.onAnswerTime(now, work.onMeasured(request.route, choice.warm, milliseconds(duration)));
        recentKeys.add(server.id, hashKey(request.service, `${request.route.name} ${request.key}`), now);
    }

    function budgetOf(service: ServiceId): RetryBudget {
        let budget = budgets.get(service);
        if (budget === undefined) {
            const boxCount = () => options.boxes.length;
            budget = createRetryBudget({ ratio: 0.2, window: milliseconds(10_000), allowance: 58, boxCount });
            budgets.set(service, budget);
        }
        return budget;
    }
}

/**
 * The attempts of an emulated box: sends a request to one server after the other
 * until it is answered or given up, and learns from each answer.
 *
 * Owns the requests in progress and the retry budgets; relies on the product's
 * decisions for everything that is decided.
 */

import {
    type Choice,
    type ChoiceRequest,
    type ChosenServer,
    combinedPriority,
    createRetryBudget,
    decideRetry,
    hashKey,
    isIdempotent,
    type RecentKeys,
    type RetryBudget,
    type Route,
    type ServiceLoad,
    type TransferSizes,
    type WorkEstimate,
} from "@chalkdale/decisions";
import {
    type AvailabilityZoneId,
    type BackendServerId,
    type BoxId,
    type Milliseconds,
    milliseconds,
    type ServiceId,
} from "@chalkdale/kernel";
import type { EmulatedServer, ServerOutcome } from "./emulated-server.js";
import type { EventQueue } from "./event-queue.js";

/** How a request ended for its caller. */
export type EmulatedRequestOutcome = "answered" | "refused" | "timedOut";

/** A request as a caller sends it. */
export interface EmulatedRequest {
    readonly route: Route;
    readonly service: ServiceId;
    readonly key: string;
    /** Work at a server that does not know the key. */
    readonly work: number;
    readonly deadline: Milliseconds;
    /** Bytes that the request and its answer move, if the deployment tells. */
    readonly bytes: number | undefined;
    /** The caller was refused before. */
    readonly isCallerRetry: boolean;
}

export interface EmulatedAttemptsOptions {
    readonly id: BoxId;
    readonly boxes: readonly BoxId[];
    readonly events: EventQueue;
    readonly server: (id: BackendServerId) => EmulatedServer;
    readonly roundTrip: (zone: AvailabilityZoneId) => number;
    /** Called for each arrival at a server, with its number for the request. */
    readonly onArrival: (server: BackendServerId, count: number) => void;
    /** Called with the bytes that each attempt moves between the box and the server's zone. */
    readonly onTransferred: (zone: AvailabilityZoneId, bytes: number) => void;
    /** Called with each decision, for sessions that are kept as golden files. */
    readonly onDecision: (line: string) => void;
}

/** What the attempts go by and teach. */
export interface EmulatedAttemptsContext {
    readonly choose: (request: ChoiceRequest) => Choice;
    readonly recentKeys: RecentKeys;
    readonly serviceLoad: ServiceLoad;
    readonly workEstimate: WorkEstimate;
    readonly transferSizes: TransferSizes;
}

/** A request between its arrival and its end. */
interface RequestInProgress extends EmulatedRequest {
    readonly keyHash: number;
    readonly endsAt: number;
    readonly tried: Set<BackendServerId>;
    readonly done: (ending: EmulatedRequestOutcome) => void;
}

/** Retry bounds of the sites' sheets. */
const retryBounds = { ratio: 0.2, window: milliseconds(10_000), allowance: 58 };

/** Returns the function that serves a request. */
export function createEmulatedAttempts(
    options: EmulatedAttemptsOptions & EmulatedAttemptsContext,
): (request: EmulatedRequest, done: (ending: EmulatedRequestOutcome) => void) => void {
    const { events, transferSizes: movedBytes, recentKeys, workEstimate: work } = options;
    const budgets = new Map<ServiceId, RetryBudget>();

    return function serve(request, done) {
        budgetOf(request.service).onRequest(events.now());
        attempt({
            ...request,
            keyHash: hashKey(request.service, `${request.route.name} ${request.key}`),
            endsAt: events.now() + request.deadline,
            tried: new Set(),
            done,
        });
    };

    function attempt(request: RequestInProgress): void {
        const choice = options.choose(choiceRequest(request));
        if (choice.kind !== "chosen") {
            refuse(request, choice.kind);
            return;
        }
        const { server } = choice;
        noteDecision(request, `to ${server.id} rank ${choice.rank}`);
        request.tried.add(server.id);
        send(request, choice, events.now());
    }

    function send(request: RequestInProgress, choice: ChosenServer, sentAt: Milliseconds): void {
        const { server } = choice;
        const oneWay = options.roundTrip(server.state.record().zone) / 2;
        server.state.onChosen(sentAt);
        server.state.onSent();
        work.onSent(request.service, request.route);
        options.onArrival(server.id, request.tried.size);
        options.onTransferred(server.state.record().zone, movedBytes.expected(request.route));
        const onAnswer = (ending: ServerOutcome) =>
            events.after(oneWay, () => onEnding(request, choice, ending, sentAt));
        events.after(oneWay, () => options.server(server.id).receive(request.key, request.work, onAnswer));
    }

    function onEnding(
        request: RequestInProgress,
        choice: ChosenServer,
        ending: ServerOutcome,
        sentAt: Milliseconds,
    ): void {
        const { state } = choice.server;
        const now = events.now();
        state.onEnded(now, ending.load);
        options.serviceLoad.onReport(request.service, ending.load);
        if (now > request.endsAt) {
            request.done("timedOut");
            return;
        }
        if (ending.kind === "answered") {
            learn(request, choice, sentAt);
            request.done("answered");
            return;
        }
        state.onFull(now);
        retry(request);
    }

    function retry(request: RequestInProgress): void {
        const now = events.now();
        const decision = decideRetry({ kind: "notRun" }, {
            isIdempotent: isIdempotent(request.route),
            maxAttempts: request.route.maxAttempts,
            sent: request.tried.size,
            notSent: 0,
            timeLeft: milliseconds(request.endsAt - now),
            consumeRetry: () => budgetOf(request.service).tryConsume(now, combinedPriority(request.route, undefined)),
        });
        if (decision.kind === "giveUp") {
            refuse(request, decision.refusal);
            return;
        }
        attempt(request);
    }

    function learn(request: RequestInProgress, choice: ChosenServer, sentAt: Milliseconds): void {
        const { server } = choice;
        const now = events.now();
        const duration = milliseconds(now - sentAt - options.roundTrip(server.state.record().zone));
        server.state.onHealthy();
        server.state.onAnswerTime(now, work.onMeasured(request.route, choice.warm, duration));
        recentKeys.add(server.id, request.keyHash, now);
        if (request.bytes !== undefined) {
            movedBytes.onTransferred(request.route, request.bytes);
        }
    }

    function choiceRequest(request: RequestInProgress): ChoiceRequest {
        const { endsAt, isCallerRetry: isReturning, keyHash, route, service, tried } = request;
        const at = events.now();
        const timeLeft = milliseconds(endsAt - at);
        return {
            route,
            service,
            keyHash,
            allowedRegions: undefined,
            tried,
            isCallerRetry: isReturning,
            isTrial: false,
            timeLeft,
            at,
        };
    }

    function refuse(request: RequestInProgress, reason: string): void {
        noteDecision(request, `refused ${reason}`);
        request.done("refused");
    }

    function noteDecision({ key, route }: RequestInProgress, decision: string): void {
        options.onDecision(`${options.id} ${route.name} ${key} ${decision}`);
    }

    function budgetOf(service: ServiceId): RetryBudget {
        let budget = budgets.get(service);
        if (budget === undefined) {
            budget = createRetryBudget({ ...retryBounds, boxCount: () => options.boxes.length });
            budgets.set(service, budget);
        }
        return budget;
    }
}

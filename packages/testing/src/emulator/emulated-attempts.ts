/**
 * The attempts of an emulated box: sends a request to one server after another until it is answered, refused or
 * timed out, and updates the box's estimates with each answer.
 *
 * Owns the requests in progress and the retry budgets; relies on the decisions package for the choice of servers
 * and for retries.
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
    createSeededRandom,
    hashText,
    type Milliseconds,
    milliseconds,
    type ServiceId,
} from "@chalkdale/kernel";
import type { EmulatedConnection, EmulatedInput } from "./emulated-input.js";
import type { EmulatedPath, EmulatedPaths } from "./emulated-paths.js";
import type { EmulatedServer, ServerOutcome } from "./emulated-server.js";
import type { EventQueue } from "./event-queue.js";

/** How a request ended at a box. */
export type EmulatedRequestOutcome = "answered" | "refused" | "timedOut" | "callerLeft";

/** A request as a box receives it. */
export interface EmulatedRequest {
    readonly route: Route;
    readonly service: ServiceId;
    readonly key: string;
    /** Processing time in milliseconds at a server that has not cached the key. */
    readonly work: number;
    /** Time left until the deadline. */
    readonly deadline: Milliseconds;
    /** Bytes of the request and its answer together; undefined if the deployment does not specify them. */
    readonly bytes: number | undefined;
    /** The caller repeats a request that a box refused. */
    readonly isCallerRetry: boolean;
    /** The caller's connection. */
    readonly connection: EmulatedConnection;
    /** True once the box has read the end of the connection. */
    readonly hasEnded: () => boolean;
    /** Called when an attempt reaches a server. */
    readonly onReached: () => void;
}

export interface EmulatedAttemptsOptions {
    readonly id: BoxId;
    /** All boxes of the deployment, this one included. */
    readonly boxes: readonly BoxId[];
    readonly events: EventQueue;
    readonly server: (id: BackendServerId) => EmulatedServer;
    /** Milliseconds from this box to the servers of a zone and back. */
    readonly roundTrip: (zone: AvailabilityZoneId) => number;
    readonly paths: EmulatedPaths;
    readonly input: EmulatedInput;
    /** Called for each attempt, when it is sent, with its number within the request, from 1. */
    readonly onArrival: (server: BackendServerId, count: number) => void;
    /** Called for each attempt with the bytes that it is expected to transfer between the box and the server's zone. */
    readonly onTransferred: (zone: AvailabilityZoneId, bytes: number) => void;
    /** Called with each decision as a line of text, which golden files record. */
    readonly onDecision: (line: string) => void;
}

/** The box's choice of servers, and the estimates behind it that the attempts update. */
export interface EmulatedAttemptsContext {
    readonly choose: (request: ChoiceRequest) => Choice;
    readonly recentKeys: RecentKeys;
    readonly serviceLoad: ServiceLoad;
    readonly workEstimate: WorkEstimate;
    readonly transferSizes: TransferSizes;
}

/** A request between its arrival at the box and its outcome. */
interface RequestInProgress extends EmulatedRequest {
    readonly keyHash: number;
    /** Simulated time of the deadline. */
    readonly deadlineAt: number;
    /** Servers that the request was sent to. */
    readonly tried: Set<BackendServerId>;
    /** Attempts that reached no server. */
    notSent: number;
    readonly done: (outcome: EmulatedRequestOutcome) => void;
}

/** Bounds of each service's retry budget, as the users' deployments configure them. */
const retryBudgetBounds = { ratio: 0.2, window: milliseconds(10_000), allowance: 58 };

/** Returns the function that serves a request and reports its outcome to `done`. */
export function createEmulatedAttempts(
    options: EmulatedAttemptsOptions & EmulatedAttemptsContext,
): (request: EmulatedRequest, done: (outcome: EmulatedRequestOutcome) => void) => void {
    const { events, transferSizes, recentKeys, workEstimate } = options;
    const budgets = new Map<ServiceId, RetryBudget>();
    // A separate source: the draws of the budget must not change those of a policy.
    const budgetRandom = createSeededRandom(hashText(options.id));

    return function serve(request, done) {
        const inProgress: RequestInProgress = {
            ...request,
            keyHash: hashKey(request.service, `${request.route.name} ${request.key}`),
            deadlineAt: events.now() + request.deadline,
            tried: new Set(),
            notSent: 0,
            done,
        };
        ifCallerStays(inProgress, () => {
            budgetOf(request.service).onRequest(events.now());
            attempt(inProgress);
        });
    };

    /** Runs `action` if the caller is found to be there once everything that has arrived from it was read. */
    function ifCallerStays(request: RequestInProgress, action: () => void): void {
        options.input.confirm(request.connection, () => {
            if (request.hasEnded()) {
                request.done("callerLeft");
                return;
            }
            action();
        });
    }

    function attempt(request: RequestInProgress): void {
        if (options.paths.isIsolated()) {
            refuse(request, "noPath");
            return;
        }
        const choice = options.choose(choiceRequest(request));
        if (choice.kind !== "chosen") {
            refuse(request, choice.kind);
            return;
        }
        const { server } = choice;
        reportDecision(request, `to ${server.id} rank ${choice.rank}`);
        request.tried.add(server.id);
        options.paths.find(server, path => {
            if (path === undefined) {
                server.state.onFailure(events.now(), "unreachable");
                retry(request, "notSent");
                return;
            }
            if (path.via !== undefined) {
                reportDecision(request, `through ${path.via}`);
            }
            ifCallerStays(request, () => send(request, choice, events.now(), path));
        });
    }

    function send(
        request: RequestInProgress,
        choice: ChosenServer,
        sentAt: Milliseconds,
        { extraRoundTrip }: EmulatedPath,
    ): void {
        const { server } = choice;
        const oneWay = (options.roundTrip(server.state.record().zone) + extraRoundTrip) / 2;
        server.state.onChosen(sentAt);
        server.state.onSent();
        workEstimate.onSent(request.service, request.route);
        options.onArrival(server.id, request.tried.size);
        options.onTransferred(server.state.record().zone, transferSizes.expected(request.route));
        const connection: EmulatedConnection = { unread: [] };
        const onAnswer = (outcome: ServerOutcome) =>
            events.after(
                oneWay,
                () => options.input.receive(connection, () => onOutcome(request, choice, outcome, sentAt)),
            );
        events.after(oneWay, () => {
            request.onReached();
            options.server(server.id).receive(request.key, request.work, onAnswer);
        });
    }

    function onOutcome(
        request: RequestInProgress,
        choice: ChosenServer,
        outcome: ServerOutcome,
        sentAt: Milliseconds,
    ): void {
        const { state } = choice.server;
        const now = events.now();
        state.onEnded(now, outcome.load);
        options.serviceLoad.onReport(request.service, outcome.load);
        if (now > request.deadlineAt) {
            request.done("timedOut");
            return;
        }
        if (outcome.kind === "answered") {
            updateEstimates(request, choice, sentAt);
            request.done("answered");
            return;
        }
        state.onFull(now);
        retry(request, "notRun");
    }

    function retry(request: RequestInProgress, end: "notRun" | "notSent"): void {
        const now = events.now();
        request.notSent += end === "notSent" ? 1 : 0;
        const decision = decideRetry({ kind: end }, {
            isIdempotent: isIdempotent(request.route),
            maxAttempts: request.route.maxAttempts,
            sent: request.tried.size - request.notSent,
            notSent: request.notSent,
            timeLeft: milliseconds(request.deadlineAt - now),
            consumeRetry: () => budgetOf(request.service).tryConsume(now, combinedPriority(request.route, undefined)),
        });
        if (decision.kind === "giveUp") {
            refuse(request, decision.refusal);
            return;
        }
        ifCallerStays(request, () => attempt(request));
    }

    function updateEstimates(request: RequestInProgress, choice: ChosenServer, sentAt: Milliseconds): void {
        const { server } = choice;
        const now = events.now();
        const duration = milliseconds(now - sentAt - options.roundTrip(server.state.record().zone));
        server.state.onHealthy();
        server.state.onAnswerTime(now, workEstimate.onMeasured(request.route, choice.warm, duration));
        recentKeys.add(server.id, request.keyHash, now);
        if (request.bytes !== undefined) {
            transferSizes.onTransferred(request.route, request.bytes);
        }
    }

    function choiceRequest(request: RequestInProgress): ChoiceRequest {
        const { deadlineAt, isCallerRetry, keyHash, route, service, tried } = request;
        const at = events.now();
        const timeLeft = milliseconds(deadlineAt - at);
        return {
            route,
            service,
            keyHash,
            allowedRegions: undefined,
            tried,
            isCallerRetry,
            isTrial: false,
            timeLeft,
            at,
        };
    }

    function refuse(request: RequestInProgress, reason: string): void {
        reportDecision(request, `refused ${reason}`);
        request.done("refused");
    }

    function reportDecision({ key, route }: RequestInProgress, decision: string): void {
        options.onDecision(`${options.id} ${route.name} ${key} ${decision}`);
    }

    function budgetOf(service: ServiceId): RetryBudget {
        let budget = budgets.get(service);
        if (budget === undefined) {
            budget = createRetryBudget({
                ...retryBudgetBounds,
                boxCount: () => options.boxes.length,
                startedAt: milliseconds(0),
                random: budgetRandom,
            });
            budgets.set(service, budget);
        }
        return budget;
    }
}

/**
 * The trials that a box takes part in: one for each order that is not decided
 * yet, told of each request of its service and of each answer.
 *
 * Owns the trials' traffic; relies on the orders, and on the rule which versions
 * may have what. All of it may be lost.
 */

import {
    type BackendServer,
    createTrialTraffic,
    isSameRollout,
    type RolloutDecision,
    type RolloutGrant,
    type RolloutOrder,
    type Route,
    type ServedVersions,
    type TrialAnswer,
    type TrialTraffic,
} from "@chalkdale/decisions";
import { type Clock, type IncarnationId, milliseconds, type ServiceId } from "@chalkdale/kernel";
import type { Log } from "@chalkdale/runtime";
import type { KnownDecisions } from "./known-decisions.js";
import type { NewestOrders } from "./newest-orders.js";
import { createChangedCellSelector } from "./report-deltas.js";

/** What the way of requests asks and tells. */
export interface TrialHooks {
    /** Shall this request, at its first try, go to a version on trial? Then `onSent` or `onNotSent` follows. */
    readonly assign: (service: ServiceId, route: Route) => boolean;
    /** The request that was assigned went to no server of the trial. */
    readonly onNotSent: (service: ServiceId) => void;
    /** A try went out to a server, and ended; for every try of every service. */
    readonly onSent: (service: ServiceId, server: BackendServer) => void;
    readonly onEnded: (service: ServiceId, server: BackendServer) => void;
    readonly onAnswer: (service: ServiceId, answer: TrialAnswer) => void;
    /** True for a server whose times must not be learned as the service's. */
    readonly isOnTrial: (service: ServiceId, server: BackendServer) => boolean;
    /** True while versions of the service are compared, so that lines name the server's version. */
    readonly hasTrial: (service: ServiceId) => boolean;
}

/** Requests of a deployment in which versions are not rolled out by order. */
export const noTrials: TrialHooks = {
    assign: () => false,
    onNotSent: () => undefined,
    onSent: () => undefined,
    onEnded: () => undefined,
    onAnswer: () => undefined,
    isOnTrial: () => false,
    hasTrial: () => false,
};

/** An order with this box's part in it. */
export interface Trial {
    readonly order: RolloutOrder;
    readonly traffic: TrialTraffic;
    /** Picks what a report tells anew. */
    readonly selectChangedCells: ReturnType<typeof createChangedCellSelector>;
}

/** The trials of a box. */
export interface Trials extends TrialHooks {
    /** Begins and ends trials as the orders have it. */
    readonly refresh: () => void;
    readonly of: (service: ServiceId) => Trial | undefined;
    readonly all: () => readonly Trial[];
    readonly onGrant: (grant: RolloutGrant) => void;
    readonly onDecision: (news: RolloutDecision) => void;
}

export interface TrialsOptions {
    readonly clock: Clock;
    readonly log: Log;
    readonly incarnation: IncarnationId;
    readonly orders: Pick<NewestOrders, "of" | "all">;
    readonly news: Pick<KnownDecisions, "find">;
    readonly versions: ServedVersions;
}

/** Creates it without trials. */
export function createTrials(options: TrialsOptions): Trials {
    const { clock, log, orders, versions } = options;
    const trials = new Map<ServiceId, Trial>();

    return {
        refresh() {
            for (const [service, { order }] of trials) {
                const newest = orders.of(service);
                if (newest === undefined || !isSameRollout(newest, order)) {
                    trials.delete(service);
                    log.info("rollout.gone", describe(order));
                }
            }
            for (const order of orders.all()) {
                const known = trials.get(order.service);
                if (known !== undefined) {
                    trials.set(order.service, { ...known, order });
                    onState(known.traffic, order);
                }
                else if (order.state === undefined || order.state === "running") {
                    trials.set(order.service, {
                        order,
                        traffic: createTraffic(order),
                        selectChangedCells: createChangedCellSelector(),
                    });
                    log.info("rollout.ordered", {
                        ...describe(order),
                        provenVersion: versions.provenVersion(order.service),
                    });
                }
            }
        },
        of: service => trials.get(service),
        all: () => [...trials.values()],
        onGrant(grant) {
            sameTrial(grant)?.traffic.onGrant(grant, clock());
        },
        onDecision(news) {
            sameTrial(news)?.traffic.onDecision(news);
        },
        assign: (service, route) => undecided(service)?.assign(route.name) ?? false,
        onNotSent: service => trials.get(service)?.traffic.onNotSent(),
        onSent: (service, server) => trials.get(service)?.traffic.onSent(server),
        onEnded: (service, server) => trials.get(service)?.traffic.onEnded(server),
        onAnswer: (service, answer) => trials.get(service)?.traffic.onAnswer(answer),
        isOnTrial(service, server) {
            const version = undecided(service) === undefined ? undefined : versions.trialVersion(service);
            return version !== undefined && server.state.record().version === version;
        },
        hasTrial: service => undecided(service) !== undefined,
    };

    function undecided(service: ServiceId): TrialTraffic | undefined {
        const traffic = trials.get(service)?.traffic;
        return traffic?.decision() === undefined ? traffic : undefined;
    }

    /** What the store says ends a trial like news, and after news of another decision. */
    function onState(traffic: TrialTraffic, rollout: RolloutOrder): void {
        const { state: decision } = rollout;
        if ((decision === "completed" || decision === "rolledBack") && traffic.decision() !== decision) {
            traffic.onDecision({ rollout, decision, reason: "state in the store" });
            log.info("rollout.ended", describe(rollout));
        }
    }

    function createTraffic(order: RolloutOrder): TrialTraffic {
        const { incarnation } = options;
        const traffic = createTrialTraffic({ order, incarnation, versions, age: milliseconds(0), at: clock() });
        const news = options.news.find(order);
        if (news !== undefined) {
            traffic.onDecision(news);
        }
        return traffic;
    }

    function sameTrial({ rollout }: RolloutGrant | RolloutDecision): Trial | undefined {
        const trial = trials.get(rollout.service);
        return trial !== undefined && isSameRollout(trial.order, rollout) ? trial : undefined;
    }
}

function describe({ createdAt, duration, service, state, targetVersion }: RolloutOrder) {
    return { service, targetVersion, createdAt, over: duration, state: state ?? "new" };
}

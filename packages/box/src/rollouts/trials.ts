/**
 * The trials that a box takes part in: one for each order that was undecided when
 * the box learned of it. Each is notified of the requests of its service and of the
 * answers.
 *
 * Owns the trials' traffic, which may be lost; relies on the orders, and on
 * `ServedVersions` for which versions may get which requests.
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

/** Hooks that the request path calls. */
export interface TrialHooks {
    /**
     * True if the first attempt of this request shall go to the trial version. Then `onSent` or `onNotSent` must
     * follow.
     */
    readonly assign: (service: ServiceId, route: Route) => boolean;
    /** An assigned request was sent to no server of the trial. */
    readonly onNotSent: (service: ServiceId) => void;
    /** An attempt was sent to a server, of any version, of a service with a trial. */
    readonly onSent: (service: ServiceId, server: BackendServer) => void;
    /** An attempt that was sent has ended in any way. */
    readonly onEnded: (service: ServiceId, server: BackendServer) => void;
    readonly onAnswer: (service: ServiceId, answer: TrialAnswer) => void;
    /** True for a server of the trial version, whose times must not be learned as the service's. */
    readonly isOnTrial: (service: ServiceId, server: BackendServer) => boolean;
    /** True while versions of the service are compared; log lines then name the server's version. */
    readonly hasTrial: (service: ServiceId) => boolean;
}

/** Hooks of a deployment without roll-outs. */
export const noTrials: TrialHooks = {
    assign: () => false,
    onNotSent: () => undefined,
    onSent: () => undefined,
    onEnded: () => undefined,
    onAnswer: () => undefined,
    isOnTrial: () => false,
    hasTrial: () => false,
};

/** An order, and this box's traffic of it. */
export interface Trial {
    readonly order: RolloutOrder;
    readonly traffic: TrialTraffic;
    /** Selects the cells for the next report. */
    readonly selectChangedCells: ReturnType<typeof createChangedCellSelector>;
}

/** The trials of a box. */
export interface Trials extends TrialHooks {
    /** Starts and ends trials according to the orders. */
    readonly refresh: () => void;
    readonly of: (service: ServiceId) => Trial | undefined;
    readonly all: () => readonly Trial[];
    readonly onGrant: (grant: RolloutGrant) => void;
    readonly onDecision: (decision: RolloutDecision) => void;
}

export interface TrialsOptions {
    readonly clock: Clock;
    readonly log: Log;
    readonly incarnation: IncarnationId;
    readonly orders: Pick<NewestOrders, "of" | "all">;
    readonly knownDecisions: Pick<KnownDecisions, "find">;
    readonly versions: ServedVersions;
}

/** Creates the trials of a box; there are none at first. */
export function createTrials(options: TrialsOptions): Trials {
    const { clock, log, orders, versions } = options;
    const trials = new Map<ServiceId, Trial>();

    return {
        refresh() {
            for (const [service, { order }] of trials) {
                const newest = orders.of(service);
                if (newest === undefined || !isSameRollout(newest, order)) {
                    trials.delete(service);
                    log.info("rollout.gone", logFieldsOf(order));
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
                        ...logFieldsOf(order),
                        provenVersion: versions.provenVersion(order.service),
                    });
                }
            }
        },
        of: service => trials.get(service),
        all: () => [...trials.values()],
        onGrant(grant) {
            findTrial(grant)?.traffic.onGrant(grant, clock());
        },
        onDecision(decision) {
            findTrial(decision)?.traffic.onDecision(decision);
        },
        assign: (service, route) => undecidedTraffic(service)?.assign(route.name) ?? false,
        onNotSent: service => trials.get(service)?.traffic.onNotSent(),
        onSent: (service, server) => trials.get(service)?.traffic.onSent(server),
        onEnded: (service, server) => trials.get(service)?.traffic.onEnded(server),
        onAnswer: (service, answer) => trials.get(service)?.traffic.onAnswer(answer),
        isOnTrial(service, server) {
            const version = undecidedTraffic(service) === undefined ? undefined : versions.trialVersion(service);
            return version !== undefined && server.state.record().version === version;
        },
        hasTrial: service => undecidedTraffic(service) !== undefined,
    };

    function undecidedTraffic(service: ServiceId): TrialTraffic | undefined {
        const traffic = trials.get(service)?.traffic;
        return traffic?.decision() === undefined ? traffic : undefined;
    }

    /** Applies the order's state in the store. An outcome there ends the trial and replaces a differing decision. */
    function onState(traffic: TrialTraffic, rollout: RolloutOrder): void {
        const { state: outcome } = rollout;
        if ((outcome === "completed" || outcome === "rolledBack") && traffic.decision() !== outcome) {
            traffic.onDecision({ rollout, decision: outcome, reason: "state in the store" });
            log.info("rollout.ended", logFieldsOf(rollout));
        }
    }

    function createTraffic(order: RolloutOrder): TrialTraffic {
        const { incarnation } = options;
        const traffic = createTrialTraffic({ order, incarnation, versions, age: milliseconds(0), at: clock() });
        const decision = options.knownDecisions.find(order);
        if (decision !== undefined) {
            traffic.onDecision(decision);
        }
        return traffic;
    }

    function findTrial({ rollout }: RolloutGrant | RolloutDecision): Trial | undefined {
        const trial = trials.get(rollout.service);
        return trial !== undefined && isSameRollout(trial.order, rollout) ? trial : undefined;
    }
}

function logFieldsOf({ createdAt, duration, service, state, targetVersion }: RolloutOrder) {
    return { service, targetVersion, createdAt, over: duration, state: state ?? "new" };
}

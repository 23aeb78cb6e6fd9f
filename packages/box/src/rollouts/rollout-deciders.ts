/**
 * Runs the deciders of the roll-outs for which this box is the deciding box: takes
 * the reports of all boxes on an order, answers with their grants, and performs the
 * decider's actions.
 *
 * Owns the deciders; all of them may be lost. Relies on the boxes' reports, whose
 * counts are cumulative, to rebuild them.
 */

import {
    createRolloutDecider,
    describeVerdict,
    isSameRollout,
    type RolloutAction,
    type RolloutBounds,
    type RolloutDecider,
    type RolloutDecision,
    type RolloutGrant,
    type RolloutId,
    type RolloutOrder,
    type RolloutReport,
    type RolloutState,
    type RolloutStatus,
    type ServedVersions,
} from "@chalkdale/decisions";
import type { BoxId, Clock, ServiceId } from "@chalkdale/kernel";
import type { Log } from "@chalkdale/runtime";
import type { NewestOrders } from "./newest-orders.js";
import type { RolloutWriter } from "./rollout-writer.js";
import type { Trials } from "./trials.js";

export interface RolloutDecidersOptions {
    readonly clock: Clock;
    readonly log: Log;
    readonly bounds: RolloutBounds;
    readonly orders: Pick<NewestOrders, "of">;
    readonly trials: Pick<Trials, "of">;
    readonly versions: Pick<ServedVersions, "isTargetProven">;
    readonly writer: RolloutWriter;
    /** Number of listed servers that run the order's target version. */
    readonly serverCount: (order: RolloutOrder) => number;
    /** True while this box is the deciding box of a service. */
    readonly isDecider: (service: ServiceId) => boolean;
    /** True if the store has had the order in state `running`. */
    readonly hasRun: (order: RolloutOrder) => boolean;
    /** True if a decision on the order is known already; `OutcomeWrites` writes it if the store lacks it. */
    readonly isDecided: (order: RolloutOrder) => boolean;
    readonly isStoreReachable: (service: ServiceId) => boolean;
    readonly sendGrant: (box: BoxId, grant: RolloutGrant) => void;
    /** Asks the backup boxes to write a state that this box can't write. */
    readonly askBackupBoxes: (order: RolloutOrder, state: RolloutState) => void;
    /** Sends a decision to all boxes at once. */
    readonly announce: (decision: RolloutDecision) => void;
}

/** The deciders of a box. */
export interface RolloutDeciders {
    /** True if this box is the deciding box of the order. */
    readonly decidesOn: (rollout: RolloutId) => boolean;
    /**
     * Takes a report and returns the grant for its sender; undefined if this box does not decide on the order.
     */
    readonly onReport: (box: BoxId, report: RolloutReport) => RolloutGrant | undefined;
    /** Runs one step of each decider. Called several times a second. */
    readonly step: () => void;
    /** Status of the service's decider on this box; undefined if there is none. */
    readonly status: (service: ServiceId) => RolloutStatus | undefined;
}

interface ActiveDecider {
    readonly order: RolloutOrder;
    readonly decider: RolloutDecider;
    /** Stage in the last log line. */
    loggedStage: RolloutStatus["stage"] | undefined;
    isAnnounced: boolean;
}

/** Milliseconds between two requests to the backup boxes to write a state: the maximum back-off of their writes. */
const backupRequestInterval = 1200;

/** Creates the deciders of a box; there are none at first. */
export function createRolloutDeciders(options: RolloutDecidersOptions): RolloutDeciders {
    const { clock, log, orders, trials } = options;
    const deciders = new Map<ServiceId, ActiveDecider>();
    let nextBackupRequestAt = -Infinity;

    return {
        decidesOn: rollout => deciderOn(rollout) !== undefined,
        onReport: (box, report) => deciderOn(report.rollout)?.decider.onReport(box, report, clock()),
        step() {
            for (const service of [...deciders.keys()]) {
                const active = deciderFor(service);
                if (active !== undefined) {
                    stepOne(active);
                }
            }
        },
        status: service => deciders.get(service)?.decider.status(clock()),
    };

    function deciderOn(rollout: RolloutId): ActiveDecider | undefined {
        const active = deciderFor(rollout.service);
        return active !== undefined && isSameRollout(active.order, rollout) ? active : undefined;
    }

    /**
     * Returns the decider of a service's order; creates it unless the order is decided already. Drops a decider of
     * another order, and any decider while this box is not the deciding box, since another box may decide meanwhile.
     */
    function deciderFor(service: ServiceId): ActiveDecider | undefined {
        const order = orders.of(service);
        const known = deciders.get(service);
        if (order === undefined || !options.isDecider(service)) {
            deciders.delete(service);
            return undefined;
        }
        if (known !== undefined && isSameRollout(known.order, order)) {
            return known;
        }
        if (options.isDecided(order)) {
            deciders.delete(service);
            return undefined;
        }
        const active = startDecider(order);
        deciders.set(service, active);
        return active;
    }

    function startDecider(order: RolloutOrder): ActiveDecider {
        const { service, targetVersion } = order;
        const at = clock();
        const age = trials.of(service)?.traffic.age(at);
        log.info("rollout.deciding", {
            service,
            targetVersion,
            state: order.state ?? "new",
            age: age && Math.round(age),
        });
        const decider = createRolloutDecider({
            order,
            bounds: options.bounds,
            at,
            age,
            hasRun: options.hasRun(order),
            serverCount: () => options.serverCount(order),
        });
        return { order, decider, loggedStage: undefined, isAnnounced: false };
    }

    function stepOne(active: ActiveDecider): void {
        const { decider, order: { service } } = active;
        const order = orders.of(service);
        if (order === undefined) {
            return;
        }
        const action = decider.step(clock(), {
            order,
            isStoreReachable: options.isStoreReachable(service),
            isTargetProven: options.versions.isTargetProven(service),
        });
        perform(action, order);
        decider.grantsToPush().forEach(({ box, grant }) => options.sendGrant(box, grant));
        logStage(active, order);
        const decision = decider.decisionToAnnounce();
        if (decision !== undefined && !active.isAnnounced) {
            active.isAnnounced = true;
            options.announce(decision);
        }
    }

    function perform(action: RolloutAction, order: RolloutOrder): void {
        switch (action.kind) {
            case "none":
                return;
            case "writeRunning":
                write(order, "running");
                return;
            case "writeCompleted":
                write(order, "completed");
                return;
            case "writeRolledBack":
                write(order, "rolledBack");
                return;
        }
    }

    function write(order: RolloutOrder, state: RolloutState): void {
        const { writer } = options;
        writer.write(order, state);
        if (writer.isFailing(order.service) && clock() >= nextBackupRequestAt) {
            nextBackupRequestAt = clock() + backupRequestInterval;
            options.askBackupBoxes(order, state);
        }
    }

    /** Writes one log line for each stage, with the figures that led to it. */
    function logStage(active: ActiveDecider, { service, state, targetVersion }: RolloutOrder): void {
        const status = active.decider.status(clock());
        if (status.stage === active.loggedStage) {
            return;
        }
        active.loggedStage = status.stage;
        const { age, allowed, plan, reason, sent, sentToTrial, grantedTotal, verdict } = status;
        log.info(stageEvents[status.stage], {
            service,
            targetVersion,
            state: state ?? "new",
            reason: reason ?? describeVerdict(verdict),
            age: Math.round(age),
            moveAt: Math.round(plan.moveAt),
            sent,
            sentToTrial,
            granted: grantedTotal,
            allowed: Math.floor(allowed),
        });
    }
}

const stageEvents: Readonly<Record<RolloutStatus["stage"], string>> = {
    watching: "rollout.watching",
    moving: "rollout.moving",
    completed: "rollout.completed",
    rolledBack: "rollout.rolledBack",
};

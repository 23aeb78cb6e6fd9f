/**
 * The deciding box's work: takes the reports of all boxes on an order, grants
 * them their parts, and has the decider's steps carried out.
 *
 * Owns the deciders of the services that this box decides for; all of it may be
 * lost. Relies on the boxes' reports, which say everything anew.
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
    /** Servers of the order's target that are listed. */
    readonly serverCount: (order: RolloutOrder) => number;
    /** True while this box decides for a service. */
    readonly isDecider: (service: ServiceId) => boolean;
    /** A decision on the order is known already; whoever made it has it written. */
    /** True if the store has had the order running. */
    readonly hasRun: (order: RolloutOrder) => boolean;
    readonly isDecided: (order: RolloutOrder) => boolean;
    readonly isStoreReachable: (service: ServiceId) => boolean;
    readonly sendGrant: (box: BoxId, grant: RolloutGrant) => void;
    /** Other boxes are to write a state that this one can't. */
    readonly askBackupBoxes: (order: RolloutOrder, state: RolloutState) => void;
    /** A decision is to be told to all boxes at once. */
    readonly announce: (news: RolloutDecision) => void;
}

/** The deciders of a box. */
export interface RolloutDeciders {
    /** True if this box decides on the order. */
    readonly decidesOn: (rollout: RolloutId) => boolean;
    /** Returns the part of the box that reported; undefined if this box does not decide on the order. */
    readonly onReport: (box: BoxId, report: RolloutReport) => RolloutGrant | undefined;
    /** Carries out what is due. Due several times a second. */
    readonly step: () => void;
    /** What is decided on a service here, if anything is. */
    readonly status: (service: ServiceId) => RolloutStatus | undefined;
}

interface Decided {
    readonly order: RolloutOrder;
    readonly decider: RolloutDecider;
    /** What the last line in the log told. */
    loggedStage: RolloutStatus["stage"] | undefined;
    isTold: boolean;
}

/** Milliseconds between two requests to other boxes to write what this one can't: the longest pause of their writes. */
const askInterval = 1200;

/** Creates it; nothing is decided here yet. */
export function createRolloutDeciders(options: RolloutDecidersOptions): RolloutDeciders {
    const { clock, log, orders, trials } = options;
    const deciders = new Map<ServiceId, Decided>();
    let askAgainAt = -Infinity;

    return {
        decidesOn: rollout => entryOn(rollout) !== undefined,
        onReport: (box, report) => entryOn(report.rollout)?.decider.onReport(box, report, clock()),
        step() {
            for (const service of [...deciders.keys()]) {
                const entry = entryFor(service);
                if (entry !== undefined) {
                    stepOne(entry);
                }
            }
        },
        status: service => deciders.get(service)?.decider.status(clock()),
    };

    function entryOn(rollout: RolloutId): Decided | undefined {
        const entry = entryFor(rollout.service);
        return entry !== undefined && isSameRollout(entry.order, rollout) ? entry : undefined;
    }

    /** A decider that is not asked for a while, or on another order, starts anew: another box may have decided meanwhile. */
    function entryFor(service: ServiceId): Decided | undefined {
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
        const entry = createEntry(order);
        deciders.set(service, entry);
        return entry;
    }

    function createEntry(order: RolloutOrder): Decided {
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
        return { order, decider, loggedStage: undefined, isTold: false };
    }

    function stepOne(entry: Decided): void {
        const { decider, order: { service } } = entry;
        const order = orders.of(service);
        if (order === undefined) {
            return;
        }
        const action = decider.step(clock(), {
            order,
            isStoreReachable: options.isStoreReachable(service),
            isTargetProven: options.versions.isTargetProven(service),
        });
        carryOut(action, order);
        decider.grantsToPush().forEach(({ box, grant }) => options.sendGrant(box, grant));
        logStage(entry, order);
        const news = decider.news();
        if (news !== undefined && !entry.isTold) {
            entry.isTold = true;
            options.announce(news);
        }
    }

    function carryOut(action: RolloutAction, order: RolloutOrder): void {
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
        if (writer.isFailing(order.service) && clock() >= askAgainAt) {
            askAgainAt = clock() + askInterval;
            options.askBackupBoxes(order, state);
        }
    }

    /** One line for each stage, with the figures that decided. */
    function logStage(entry: Decided, { service, state, targetVersion }: RolloutOrder): void {
        const status = entry.decider.status(clock());
        if (status.stage === entry.loggedStage) {
            return;
        }
        entry.loggedStage = status.stage;
        const { age, allowed, plan, reason, sent, sentToTrial, grantedTotal: total, verdict } = status;
        log.info(stageEvents[status.stage], {
            service,
            targetVersion,
            state: state ?? "new",
            reason: reason ?? describeVerdict(verdict),
            age: Math.round(age),
            moveAt: Math.round(plan.moveAt),
            sent,
            sentToTrial,
            granted: total,
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

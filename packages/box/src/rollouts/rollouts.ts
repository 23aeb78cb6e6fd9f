/**
 * Runs roll-outs on one box: takes part in the trials, reports to the deciding box
 * of each service, is the deciding box of some services itself, and passes on the
 * decisions that it receives.
 *
 * Owns the trials, deciders and known decisions; all of it may be lost with the
 * process. Relies on membership to select the deciding box, and on the link between
 * boxes for messages, any of which may be lost: counts in reports are cumulative.
 */

import {
    type CoordinatorSet,
    createOrderHistory,
    createServedVersions,
    isSameRollout,
    type MemberRecord,
    type Membership,
    type RolloutBounds,
    type RolloutDecision,
    type RolloutGrant,
    type RolloutId,
    type RolloutOrder,
    type RolloutReport,
    type ServedVersions,
    type ServerCatalog,
} from "@chalkdale/decisions";
import type { BoxId, Clock, IncarnationId, Milliseconds, ServiceId } from "@chalkdale/kernel";
import type { Log } from "@chalkdale/runtime";
import type { StateStore } from "../state/state-store.js";
import { createDecidingBoxLocator } from "./deciding-box-locator.js";
import { createKnownDecisions } from "./known-decisions.js";
import { createNewestOrders } from "./newest-orders.js";
import { createOutcomeWrites } from "./outcome-writes.js";
import { createReportAssembler } from "./report-deltas.js";
import { createRolloutDeciders } from "./rollout-deciders.js";
import {
    decodeDecision,
    decodeGrant,
    decodeReport,
    encodeDecision,
    encodeGrant,
    encodeReport,
    encodeWriteRequest,
    type RolloutMessage,
} from "./rollout-messages.js";
import { createRolloutWriter } from "./rollout-writer.js";
import { createTrials, type Trial, type Trials } from "./trials.js";

export interface RolloutsOptions {
    readonly clock: Clock;
    readonly random: () => number;
    readonly log: Log;
    readonly self: BoxId;
    readonly incarnation: IncarnationId;
    readonly bounds: RolloutBounds;
    readonly membership: Membership;
    readonly coordinators: Pick<CoordinatorSet, "current">;
    readonly catalog: ServerCatalog;
    readonly store: Pick<StateStore, "writeRolloutState" | "readRollout">;
    /**
     * Time since the store confirmed the copy of the orders, directly or through another box; undefined if it never
     * did.
     */
    readonly copyAge: () => Milliseconds | undefined;
    /** False while this box follows the store itself and gets no answers. */
    readonly isStoreAnswering: () => boolean;
    /** False once the box is stopping. */
    readonly isRunning: () => boolean;
    /** Time since this box started. */
    readonly uptime: () => Milliseconds;
    readonly send: (box: MemberRecord, message: RolloutMessage) => void;
    readonly signal: AbortSignal;
}

/** What a box knows of one roll-out, for metrics. */
export interface RolloutSummary extends Trial {
    /** The last report of this box on it; undefined before the first. */
    readonly report: RolloutReport | undefined;
    readonly provenVersion: string | undefined;
    /** Status of the decider, if this box is the deciding box. */
    readonly decider: ReturnType<ReturnType<typeof createRolloutDeciders>["status"]>;
    /** The decision on it, if this box knows one. */
    readonly knownDecision: RolloutDecision | undefined;
}

/** The roll-outs on one box. */
export interface Rollouts {
    readonly versions: ServedVersions;
    readonly trialHooks: Trials;
    /** Takes all orders of the copy after it has changed. */
    readonly onOrders: (orders: readonly RolloutOrder[]) => void;
    /** Sends one round of reports. Called in each gossip round. */
    readonly onGossipRound: () => void;
    /** Runs one step of the deciders, and writes decisions that the store lacks. Called several times a second. */
    readonly step: () => void;
    readonly onMessage: (from: MemberRecord, message: RolloutMessage) => void;
    /** Decisions to repeat in gossip now; undefined if there are none. */
    readonly gossipPayload: () => RolloutMessage | undefined;
    readonly summaries: () => readonly RolloutSummary[];
}

/** Creates the roll-outs of a box; no order is known yet. */
export function createRollouts(options: RolloutsOptions): Rollouts {
    const { clock, log, membership, self } = options;
    const orderHistory = createOrderHistory();
    const orders = createNewestOrders(orderHistory.withKnownIdentity);
    const knownDecisions = createKnownDecisions(clock, isOpen);
    const reportAssembler = createReportAssembler();
    const lastReports = new Map<ServiceId, RolloutReport>();
    const versions: ServedVersions = createServedVersions({
        catalog: options.catalog,
        now: clock,
        orderOf: orders.of,
        decisionOf: knownDecisions.decisionOf,
        sampledServerCount: service => trials.of(service)?.traffic.sampledServerCount() ?? 0,
    });
    const trials = createTrials({ ...options, orders, knownDecisions, versions });
    const writer = createRolloutWriter({
        ...options,
        onOrder(service, order) {
            if (order !== undefined) {
                orderHistory.onStoredOrder(order, clock());
            }
            orders.onStored(service, order);
            refresh();
        },
    });
    const decidingBoxLocator = createDecidingBoxLocator({
        ...options,
        isCopyConfirmed: () => options.copyAge() !== undefined,
    });
    const outcomes = createOutcomeWrites({ ...options, writer, orders, knownDecisions, decidingBoxLocator });
    const deciders = createRolloutDeciders({
        ...options,
        orders,
        trials,
        versions,
        writer,
        hasRun: orderHistory.hasRun,
        isDecided: order => knownDecisions.find(order) !== undefined,
        serverCount,
        isDecider: decidingBoxLocator.isSelf,
        isStoreReachable: outcomes.isStoreReachable,
        askBackupBoxes(order, state) {
            const wanted = encodeWriteRequest(order, state);
            decidingBoxLocator.backupBoxes(order.service).forEach(box => sendTo(box, { wanted }));
        },
        sendGrant,
        announce,
    });

    return {
        versions,
        trialHooks: trials,
        onOrders(copied) {
            orderHistory.dropAllExcept(new Set(copied.map(({ service }) => service)));
            copied.forEach(order => orderHistory.onStoredOrder(order, clock()));
            orders.onCopyChanged(copied);
            orders.all().forEach(restoreLostOutcome);
            reportAssembler.dropAllExcept(isOpen);
            refresh();
        },
        onGossipRound() {
            versions.refresh();
            trials.all().forEach(sendReport);
        },
        step() {
            deciders.step();
            trials.all().forEach(({ order }) => outcomes.writeKnownDecision(order));
        },
        onMessage(from, message) {
            if (message.report !== undefined) {
                const report = decodeReport(message.report);
                adoptIdentity(report.rollout);
                onReport(from, report);
            }
            if (message.grant !== undefined) {
                const grant = decodeGrant(message.grant);
                adoptIdentity(grant.rollout);
                trials.onGrant(grant);
            }
            if (message.wanted !== undefined) {
                outcomes.writeOnRequest(message.wanted);
            }
            (message.news ?? []).map(decodeDecision).forEach(decision => applyDecision(decision, from.box));
        },
        gossipPayload() {
            const decisions = knownDecisions.dueForGossip();
            return decisions.length === 0 ? undefined : { news: decisions.map(encodeDecision) };
        },
        summaries: () =>
            trials.all().map(trial => ({
                ...trial,
                report: lastReports.get(trial.order.service),
                provenVersion: versions.provenVersion(trial.order.service),
                decider: deciders.status(trial.order.service),
                knownDecision: knownDecisions.find(trial.order),
            })),
    };

    /** An outcome stays valid when the store has lost it: it is gossiped like a new decision, and written again. */
    function restoreLostOutcome(order: RolloutOrder): void {
        const outcome = orderHistory.knownOutcomeOf(order);
        if (outcome !== undefined) {
            const { createdAt, service, targetVersion } = order;
            applyDecision(
                { rollout: { createdAt, service, targetVersion }, decision: outcome, reason: "lost by the store" },
                self,
            );
        }
    }

    /** Adopts the identity by which the sender of a message knows an order that the store has lost and got again. */
    function adoptIdentity(rollout: RolloutId): void {
        if (orderHistory.adoptIdentity(rollout, clock())) {
            log.info("rollout.identified", { ...rollout });
            refresh();
        }
    }

    function refresh(): void {
        trials.refresh();
        versions.refresh();
    }

    /**
     * Handles a report. A box that reports on a decided order was disconnected or has just started, and gets the
     * decision.
     */
    function onReport(from: MemberRecord, report: RolloutReport): void {
        const decision = knownDecisions.find(report.rollout);
        if (decision !== undefined) {
            options.send(from, { news: [encodeDecision(decision)] });
            return;
        }
        if (!deciders.decidesOn(report.rollout)) {
            return;
        }
        const grant = deciders.onReport(from.box, reportAssembler.complete(from.box, report));
        if (grant !== undefined) {
            options.send(from, { grant: encodeGrant(grant) });
        }
    }

    function isOpen(rollout: RolloutId): boolean {
        const order = orders.of(rollout.service);
        return order !== undefined && isSameRollout(order, rollout)
            && order.state !== "completed" && order.state !== "rolledBack";
    }

    function sendReport({ selectChangedCells, order, traffic }: Trial): void {
        const ownReport = traffic.report(clock());
        const decidingBox = decidingBoxLocator.of(order.service);
        if (ownReport === undefined || decidingBox === undefined) {
            return;
        }
        lastReports.set(order.service, ownReport);
        if (decidingBox === self) {
            const grant = deciders.onReport(self, ownReport);
            if (grant !== undefined) {
                trials.onGrant(grant);
            }
            return;
        }
        sendTo(decidingBox, {
            report: encodeReport({ ...ownReport, cells: selectChangedCells(ownReport.cells, decidingBox) }),
        });
    }

    function sendTo(box: BoxId, message: RolloutMessage): void {
        const member = membership.find(box);
        if (member !== undefined) {
            options.send(member, message);
        }
    }

    function sendGrant(box: BoxId, grant: RolloutGrant): void {
        if (box === self) {
            trials.onGrant(grant);
        }
        else {
            sendTo(box, { grant: encodeGrant(grant) });
        }
    }

    /** Sends a decision to all boxes at once; gossip repeats it. */
    function announce(decision: RolloutDecision): void {
        applyDecision(decision, self);
        const announcement = { news: [encodeDecision(decision)] };
        membership.recentMembers(clock()).forEach(member => options.send(member, announcement));
    }

    /** Takes a decision into account, unless the store has an outcome or another decision came first. */
    function applyDecision(decision: RolloutDecision, from: BoxId): void {
        const { decision: outcome, reason, rollout } = decision;
        if (outcomes.isDecidedInStore(rollout) || !knownDecisions.add(decision)) {
            return;
        }
        trials.onDecision(decision);
        versions.refresh();
        log.info("rollout.decided", { ...rollout, decision: outcome, from, reason });
    }

    function serverCount({ service, targetVersion }: RolloutOrder): number {
        return options.catalog.ofService(service)
            .filter(({ state }) => state.isListed() && state.record().version === targetVersion).length;
    }
}

/**
 * Carries out roll-outs on one box: takes part in the trials, reports to the
 * box that decides on a service, decides for some services itself, and tells
 * every decision it hears to others.
 *
 * Owns the parts below; all of it may be lost with the process. Relies on the
 * members for who decides, and on the link between boxes for messages, any of
 * which may be lost: each report says everything anew.
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
    /** Time since the store confirmed the copy of the orders, to this box or through another; undefined if it never did. */
    readonly copyAge: () => Milliseconds | undefined;
    /** False while this box calls the store and it does not answer. */
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
    /** The last report on it; undefined before the first. */
    readonly report: RolloutReport | undefined;
    readonly provenVersion: string | undefined;
    /** What this box decides on, if it does. */
    readonly decider: ReturnType<ReturnType<typeof createRolloutDeciders>["status"]>;
    readonly news: RolloutDecision | undefined;
}

/** The roll-outs on one box. */
export interface Rollouts {
    readonly versions: ServedVersions;
    readonly requests: Trials;
    /** The copy of the orders has changed; these are all of them. */
    readonly onOrders: (orders: readonly RolloutOrder[]) => void;
    /** One round of reports. Due with each round of gossip. */
    readonly onGossipRound: () => void;
    /** One step of the deciders. Due several times a second. */
    readonly step: () => void;
    readonly onMessage: (from: MemberRecord, message: RolloutMessage) => void;
    /** What gossip repeats now; undefined if there is nothing. */
    readonly gossipPayload: () => RolloutMessage | undefined;
    readonly summaries: () => readonly RolloutSummary[];
}

/** Creates the roll-outs of a box; no order is known yet. */
export function createRollouts(options: RolloutsOptions): Rollouts {
    const { clock, log, membership, self } = options;
    const restoredOrders = createOrderHistory();
    const orders = createNewestOrders(restoredOrders.withKnownIdentity);
    const knownNews = createKnownDecisions(clock, isOpen);
    const wholeReports = createReportAssembler();
    const lastReports = new Map<ServiceId, RolloutReport>();
    const versions: ServedVersions = createServedVersions({
        catalog: options.catalog,
        now: clock,
        orderOf: orders.of,
        decisionOf: knownNews.decisionOf,
        sampledServerCount: service => trials.of(service)?.traffic.sampledServerCount() ?? 0,
    });
    const trials = createTrials({ ...options, orders, news: knownNews, versions });
    const writer = createRolloutWriter({
        ...options,
        onOrder(service, order) {
            if (order !== undefined) {
                restoredOrders.onStoredOrder(order, clock());
            }
            orders.onStored(service, order);
            refresh();
        },
    });
    const decidingBox = createDecidingBoxLocator({
        ...options,
        isCopyConfirmed: () => options.copyAge() !== undefined,
    });
    const outcomes = createOutcomeWrites({ ...options, writer, orders, news: knownNews, decidingBox });
    const deciding = createRolloutDeciders({
        ...options,
        orders,
        trials,
        versions,
        writer,
        hasRun: restoredOrders.hasRun,
        isDecided: order => knownNews.find(order) !== undefined,
        serverCount,
        isDecider: decidingBox.isSelf,
        isStoreReachable: outcomes.isStoreReachable,
        askBackupBoxes(order, state) {
            const wanted = encodeWriteRequest(order, state);
            decidingBox.backupBoxes(order.service).forEach(box => sendTo(box, { wanted }));
        },
        sendGrant,
        announce: tell,
    });

    return {
        versions,
        requests: trials,
        onOrders(copied) {
            restoredOrders.keepOnly(new Set(copied.map(({ service }) => service)));
            copied.forEach(order => restoredOrders.onStoredOrder(order, clock()));
            orders.onCopyChanged(copied);
            orders.all().forEach(learnLostOutcome);
            wholeReports.keepOnly(isOpen);
            refresh();
        },
        onGossipRound() {
            versions.refresh();
            trials.all().forEach(report);
        },
        step() {
            deciding.step();
            trials.all().forEach(({ order }) => outcomes.writeKnownDecision(order));
        },
        onMessage(from, message) {
            if (message.report !== undefined) {
                const told = decodeReport(message.report);
                adoptIdentity(told.rollout);
                onReport(from, told);
            }
            if (message.grant !== undefined) {
                const grant = decodeGrant(message.grant);
                adoptIdentity(grant.rollout);
                trials.onGrant(grant);
            }
            if (message.wanted !== undefined) {
                outcomes.writeOnRequest(message.wanted);
            }
            (message.news ?? []).map(decodeDecision).forEach(news => learn(news, from.box));
        },
        gossipPayload() {
            const news = knownNews.dueForGossip();
            return news.length === 0 ? undefined : { news: news.map(encodeDecision) };
        },
        summaries: () =>
            trials.all().map(trial => ({
                ...trial,
                report: lastReports.get(trial.order.service),
                provenVersion: versions.provenVersion(trial.order.service),
                decider: deciding.status(trial.order.service),
                news: knownNews.find(trial.order),
            })),
    };

    /** An outcome holds though the store has lost it: it is told as if it had just been decided, and written again. */
    function learnLostOutcome(order: RolloutOrder): void {
        const decision = restoredOrders.outcomeOf(order);
        if (decision !== undefined) {
            const { createdAt, service, targetVersion } = order;
            learn({ rollout: { createdAt, service, targetVersion }, decision, reason: "lost by the store" }, self);
        }
    }

    /** The box that speaks of the roll-out knew it before the store lost it. */
    function adoptIdentity(rollout: RolloutId): void {
        if (restoredOrders.adoptIdentity(rollout, clock())) {
            log.info("rollout.identified", { ...rollout });
            refresh();
        }
    }

    function refresh(): void {
        trials.refresh();
        versions.refresh();
    }

    /** A box that reports on what is decided is told so: it was cut off, or has just started. */
    function onReport(from: MemberRecord, told: RolloutReport): void {
        const news = knownNews.find(told.rollout);
        if (news !== undefined) {
            options.send(from, { news: [encodeDecision(news)] });
            return;
        }
        if (!deciding.decidesOn(told.rollout)) {
            return;
        }
        const grant = deciding.onReport(from.box, wholeReports.complete(from.box, told));
        if (grant !== undefined) {
            options.send(from, { grant: encodeGrant(grant) });
        }
    }

    function isOpen(rollout: RolloutId): boolean {
        const order = orders.of(rollout.service);
        return order !== undefined && isSameRollout(order, rollout)
            && order.state !== "completed" && order.state !== "rolledBack";
    }

    function report({ selectChangedCells: changedCells, order, traffic }: Trial): void {
        const told = traffic.report(clock());
        const decider = decidingBox.of(order.service);
        if (told === undefined || decider === undefined) {
            return;
        }
        lastReports.set(order.service, told);
        if (decider === self) {
            const grant = deciding.onReport(self, told);
            if (grant !== undefined) {
                trials.onGrant(grant);
            }
            return;
        }
        sendTo(decider, { report: encodeReport({ ...told, cells: changedCells(told.cells, decider) }) });
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

    /** Tells all boxes at once; gossip repeats it. */
    function tell(news: RolloutDecision): void {
        learn(news, self);
        const part = { news: [encodeDecision(news)] };
        membership.recentMembers(clock()).forEach(member => options.send(member, part));
    }

    function learn(news: RolloutDecision, from: BoxId): void {
        const { decision, reason, rollout } = news;
        if (outcomes.isDecidedInStore(rollout) || !knownNews.add(news)) {
            return;
        }
        trials.onDecision(news);
        versions.refresh();
        log.info("rollout.decided", { ...rollout, decision, from, reason });
    }

    function serverCount({ service, targetVersion }: RolloutOrder): number {
        return options.catalog.ofService(service)
            .filter(({ state }) => state.isListed() && state.record().version === targetVersion).length;
    }
}

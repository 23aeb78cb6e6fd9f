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
    type CountingBoxes,
    createRestoredOrders,
    createServedVersions,
    isSameRollout,
    type MemberRecord,
    type Membership,
    type RolloutBounds,
    type RolloutGrant,
    type RolloutId,
    type RolloutNews,
    type RolloutOrder,
    type RolloutReport,
    type ServedVersions,
    type ServerCatalog,
} from "@chalkdale/decisions";
import type { BoxId, Clock, IncarnationId, Milliseconds, ServiceId } from "@chalkdale/kernel";
import type { Log } from "@chalkdale/runtime";
import type { StateStore } from "../state/state-store.js";
import { createWholeReports } from "./cell-changes.js";
import { createDecidingBox } from "./deciding-box.js";
import { createDeciding } from "./deciding.js";
import { createNewestOrders } from "./newest-orders.js";
import { createOutcomeWrites } from "./outcome-writes.js";
import { createKnownNews } from "./rollout-news.js";
import {
    grantEntry,
    newsEntry,
    readGrant,
    readNews,
    readReport,
    reportEntry,
    type RolloutMessage,
    wantedEntry,
} from "./rollout-parts.js";
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
    readonly countingBoxes: Pick<CountingBoxes, "current">;
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
export interface RolloutCounts extends Trial {
    /** The last report on it; undefined before the first. */
    readonly report: RolloutReport | undefined;
    readonly provenVersion: string | undefined;
    /** What this box decides on, if it does. */
    readonly decider: ReturnType<ReturnType<typeof createDeciding>["status"]>;
    readonly news: RolloutNews | undefined;
}

/** The roll-outs on one box. */
export interface Rollouts {
    readonly versions: ServedVersions;
    readonly requests: Trials;
    /** The copy of the orders has changed; these are all of them. */
    readonly onOrders: (orders: readonly RolloutOrder[]) => void;
    /** One round of reports. Due with each round of gossip. */
    readonly round: () => void;
    /** One step of the deciders. Due several times a second. */
    readonly step: () => void;
    readonly onMessage: (from: MemberRecord, message: RolloutMessage) => void;
    /** What gossip repeats now; undefined if there is nothing. */
    readonly gossipPart: () => RolloutMessage | undefined;
    readonly counts: () => readonly RolloutCounts[];
}

/** Creates the roll-outs of a box; no order is known yet. */
export function createRollouts(options: RolloutsOptions): Rollouts {
    const { clock, log, membership, self } = options;
    const restoredOrders = createRestoredOrders();
    const orders = createNewestOrders(restoredOrders.identify);
    const knownNews = createKnownNews(clock, isOpen);
    const wholeReports = createWholeReports();
    const lastReports = new Map<ServiceId, RolloutReport>();
    const versions: ServedVersions = createServedVersions({
        catalog: options.catalog,
        now: clock,
        orderOf: orders.of,
        decisionOf: knownNews.decisionOf,
        sampledCount: service => trials.of(service)?.traffic.sampledServers() ?? 0,
    });
    const trials = createTrials({ ...options, orders, news: knownNews, versions });
    const writer = createRolloutWriter({
        ...options,
        onOrder(service, order) {
            if (order !== undefined) {
                restoredOrders.note(order, clock());
            }
            orders.onStored(service, order);
            refresh();
        },
    });
    const decidingBox = createDecidingBox({ ...options, isCopyProven: () => options.copyAge() !== undefined });
    const outcomes = createOutcomeWrites({ ...options, writer, orders, news: knownNews, decidingBox });
    const deciding = createDeciding({
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
        askDeputies(order, state) {
            const wanted = wantedEntry(order, state);
            decidingBox.deputies(order.service).forEach(box => sendTo(box, { wanted }));
        },
        sendGrant,
        tell,
    });

    return {
        versions,
        requests: trials,
        onOrders(copied) {
            restoredOrders.keepOnly(new Set(copied.map(({ service }) => service)));
            copied.forEach(order => restoredOrders.note(order, clock()));
            orders.onCopy(copied);
            orders.all().forEach(learnLostOutcome);
            wholeReports.keepOnly(isOpen);
            refresh();
        },
        round() {
            versions.refresh();
            trials.all().forEach(report);
        },
        step() {
            deciding.step();
            trials.all().forEach(({ order }) => outcomes.writeByNews(order));
        },
        onMessage(from, message) {
            if (message.report !== undefined) {
                const told = readReport(message.report);
                adoptIdentity(told.rollout);
                onReport(from, told);
            }
            if (message.grant !== undefined) {
                const grant = readGrant(message.grant);
                adoptIdentity(grant.rollout);
                trials.onGrant(grant);
            }
            if (message.wanted !== undefined) {
                outcomes.writeFor(message.wanted);
            }
            (message.news ?? []).map(readNews).forEach(news => learn(news, from.box));
        },
        gossipPart() {
            const news = knownNews.recent();
            return news.length === 0 ? undefined : { news: news.map(newsEntry) };
        },
        counts: () =>
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
        if (restoredOrders.adopt(rollout, clock())) {
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
            options.send(from, { news: [newsEntry(news)] });
            return;
        }
        if (!deciding.decidesOn(told.rollout)) {
            return;
        }
        const grant = deciding.onReport(from.box, wholeReports.complete(from.box, told));
        if (grant !== undefined) {
            options.send(from, { grant: grantEntry(grant) });
        }
    }

    function isOpen(rollout: RolloutId): boolean {
        const order = orders.of(rollout.service);
        return order !== undefined && isSameRollout(order, rollout)
            && order.state !== "completed" && order.state !== "rolledBack";
    }

    function report({ changedCells, order, traffic }: Trial): void {
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
        sendTo(decider, { report: reportEntry({ ...told, cells: changedCells(told.cells, decider) }) });
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
            sendTo(box, { grant: grantEntry(grant) });
        }
    }

    /** Tells all boxes at once; gossip repeats it. */
    function tell(news: RolloutNews): void {
        learn(news, self);
        const part = { news: [newsEntry(news)] };
        membership.reachable(clock()).forEach(member => options.send(member, part));
    }

    function learn(news: RolloutNews, from: BoxId): void {
        const { decision, reason, rollout } = news;
        if (outcomes.isDecidedInStore(rollout) || !knownNews.learn(news)) {
            return;
        }
        trials.onNews(news);
        versions.refresh();
        log.info("rollout.decided", { ...rollout, decision, from, reason });
    }

    function serverCount({ service, targetVersion }: RolloutOrder): number {
        return options.catalog.ofService(service)
            .filter(({ state }) => state.isListed() && state.record().version === targetVersion).length;
    }
}

/**
 * Emulates a roll-out with a deciding box, the trial traffic of several boxes and random
 * outcomes of requests, without a network and without real servers.
 */

import {
    availabilityZoneId,
    backendServerId,
    boxId,
    incarnationId,
    milliseconds,
    regionId,
    serverVersion,
    serviceId,
} from "@chalkdale/kernel";
import {
    type BackendServer,
    createRolloutDecider,
    createServedVersions,
    createServerCatalog,
    createServerState,
    createSlowStart,
    createTrialTraffic,
    createWorkEstimate,
    earlyReportSlowness,
    type RolloutDecider,
    type RolloutGrant,
    type RolloutOrder,
    type ServedVersions,
    type TrialTraffic,
} from "../src/index.js";
import { createRoute } from "./choice-setup.js";

/** Behavior of the target version. Failures and slowness begin at `from`, a fraction of the duration. */
export interface VersionBehavior {
    readonly failureShare?: number;
    readonly slowdownFactor?: number;
    readonly from?: number;
    /** Only servers that get at least this fraction of the rate of full operation are bad. */
    readonly minimumLoad?: number;
    /** Index of the only route that is bad; all routes by default. */
    readonly route?: number;
    /** Milliseconds for which its servers are cold. */
    readonly coldFor?: number;
    /** Probability that a request to the target version is cold work because its server doesn't know the key. */
    readonly unknownKeyShare?: number;
}

export type Fault = "none" | "lostMessages" | "deciderLost" | "burst" | "badServers" | "lostAnswers";

export interface EmulatedRolloutOptions {
    readonly kind: VersionBehavior;
    readonly fault: Fault;
    readonly seed: number;
    readonly duration: number;
    readonly servers: number;
    readonly rate: number;
    readonly boxes: number;
}

export interface RolloutOutcome {
    readonly state: RolloutOrder["state"];
    /** Milliseconds from the order to the write of its outcome. */
    readonly decidedAt: number;
    readonly reason: string;
    /** Maximum ratio, before `completed`, of the requests to the target version to what the bound allowed by then. */
    readonly exposure: number;
    /** Milliseconds from the 50th bad answer to the last request sent to the target version; 0 if none was sent. */
    readonly stopDelay: number;
    /** Requests in progress at servers of the old version when `completed` was written. */
    readonly interruptedRequests: number;
    readonly tried: number;
}

const service = serviceId("profiles");
const bounds = { exposedShare: 0.1, exposedAllowance: 50, rollbackTime: milliseconds(5000) };
const routes = ["lookup", "reserve", "rare"].map(name => createRoute({ name, goal: milliseconds(1100) }));
const routeShares = [0.6, 0.96];
/** Times are in milliseconds. */
const meanRequestTime = 400;
const coldSlowdown = 3.3;
const tickLength = 10;
const ticksPerReport = 30;
const messageDelay = 30;
const storeWriteDelay = 150;

interface EmulatedBox {
    readonly id: ReturnType<typeof boxId>;
    readonly versions: ServedVersions;
    readonly traffic: TrialTraffic;
    /** Servers admitted for ordinary requests (index 0) and trial requests (index 1), cached by admission version. */
    readonly admittedServers: { readonly version: number; readonly servers: readonly BackendServer[]; }[];
}

/** Emulates one order over its whole duration. */
export function emulateRollout(options: EmulatedRolloutOptions): RolloutOutcome {
    const { duration, fault, kind, rate } = options;
    const random = createRandom(options.seed);
    const tasksByTick = new Map<number, (() => void)[]>();
    let now = milliseconds(0);
    let order: RolloutOrder = {
        service,
        targetVersion: serverVersion("v2"),
        duration: milliseconds(duration),
        state: undefined,
        createdAt: 100,
        revision: 100,
    };
    const catalog = createCatalog(options);
    const servers = catalog.ofService(service);
    const affectedServers = new Set(servers.filter(() => random() < (fault === "lostAnswers" ? 0.45 : 0.16)));
    const hasGreyFailures = options.seed % 2 === 0;
    const work = createTrainedEstimate();
    const boxes = Array.from({ length: options.boxes }, (_, index) => createBox(`box-${index}`));
    const recentLoads = new Map<BackendServer, { at: number; rate: number; }>();
    let decider = createDecider();
    let isDeciderLost = false;
    let isWriting = false;
    let totalRequests = 0;
    let exposedRequests = 0;
    let exposure = 0;
    let badAnswers = 0;
    let fiftiethBadAt: number | undefined;
    let lastTrialAt = 0;
    let decidedAt = Infinity;
    let reason = "";
    let inProgressOnOldVersion = 0;
    let interruptedRequests = 0;

    for (let tickIndex = 0; tickIndex * tickLength < duration; tickIndex++) {
        now = milliseconds(tickIndex * tickLength);
        tasksByTick.get(tickIndex)?.forEach(task => task());
        tasksByTick.delete(tickIndex);
        receiveRequests();
        if (tickIndex % ticksPerReport === 0) {
            boxes.forEach((box, index) => schedule(index * 17 % 300, () => report(box)));
        }
        if (tickIndex % 25 === 0 && !isDeciderLost) {
            decide();
        }
        if (fault === "deciderLost" && tickIndex === Math.floor(duration / 2 / tickLength)) {
            isDeciderLost = true;
            schedule(1500, () => {
                isDeciderLost = false;
                decider = createDecider();
            });
        }
    }
    return {
        state: order.state,
        decidedAt,
        reason,
        exposure,
        stopDelay: fiftiethBadAt === undefined ? 0 : Math.max(0, lastTrialAt - fiftiethBadAt),
        interruptedRequests,
        tried: exposedRequests,
    };

    function schedule(time: number, task: () => void): void {
        const tickIndex = Math.ceil((now + Math.max(tickLength, time)) / tickLength);
        tasksByTick.set(tickIndex, [...tasksByTick.get(tickIndex) ?? [], task]);
    }

    function createBox(name: string): EmulatedBox {
        const id = boxId(name);
        const versions = createServedVersions({
            catalog,
            now: () => now,
            orderOf: () => order,
            decisionOf: () => traffic.decision(),
            sampledServerCount: () => traffic.sampledServerCount(),
        });
        const traffic = createTrialTraffic({
            order,
            incarnation: incarnationId(name),
            versions,
            age: milliseconds(0),
            at: now,
        });
        return { id, versions, traffic, admittedServers: [] };
    }

    function createDecider(): RolloutDecider {
        return createRolloutDecider({
            order,
            bounds,
            serverCount: () => options.servers,
            age: undefined,
            hasRun: false,
            at: now,
        });
    }

    function isBurst(): boolean {
        return fault === "burst" && now > duration * 0.4 && now < duration * 0.65;
    }

    function receiveRequests(): void {
        const expected = rate * tickLength / 1000 * (isBurst() ? 1.7 : 1);
        const count = Math.floor(expected + random());
        for (let index = 0; index < count; index++) {
            dispatch(boxes[Math.floor(random() * boxes.length)]);
        }
        totalRequests += count;
    }

    function dispatch(box: EmulatedBox): void {
        const drawn = random();
        const route = routeShares.findIndex(share => drawn < share);
        const routeIndex = route < 0 ? 2 : route;
        if (order.state !== "completed" && box.traffic.assign(routes[routeIndex].name)) {
            const server = pick(box, true);
            if (server !== undefined) {
                send(box, server, routeIndex);
                return;
            }
            box.traffic.onNotSent();
        }
        const server = pick(box, false);
        if (server !== undefined) {
            send(box, server, routeIndex);
        }
    }

    /**
     * For ordinary requests, avoids most picks of bad servers, as the choice of servers would; a trial's sample
     * avoids none.
     */
    function pick(box: EmulatedBox, isTrial: boolean): BackendServer | undefined {
        const admitted = admittedAt(box, isTrial);
        const drawn = admitted[Math.floor(random() * admitted.length)];
        const isAvoided = !isTrial && fault === "badServers" && affectedServers.has(drawn) && random() < 0.7;
        return isAvoided ? admitted[Math.floor(random() * admitted.length)] : drawn;
    }

    function admittedAt({ versions, admittedServers }: EmulatedBox, isTrial: boolean): readonly BackendServer[] {
        const version = versions.version(service);
        const cached = admittedServers[Number(isTrial)];
        if (cached?.version === version) {
            return cached.servers;
        }
        const admitted = servers.filter(server => versions.admits(server, isTrial));
        admittedServers[Number(isTrial)] = { version, servers: admitted };
        return admitted;
    }

    function send(box: EmulatedBox, server: BackendServer, routeIndex: number): void {
        const isTarget = server.state.record().version === order.targetVersion;
        box.traffic.onSent(server);
        if (isTarget && order.state !== "completed") {
            exposedRequests += 1;
            lastTrialAt = now;
            exposure = Math.max(
                exposure,
                exposedRequests / (bounds.exposedShare * totalRequests + bounds.exposedAllowance),
            );
        }
        inProgressOnOldVersion += isTarget ? 0 : 1;
        const wasCold = server.state.isCold(now);
        const isKeyKnown = !isTarget && random() < 0.7;
        const { duration: time, isBad, isFailure } = drawOutcome(server, isTarget, routeIndex, isKeyKnown);
        const route = routes[routeIndex];
        const slowness = work.slownessOf(route, isKeyKnown, milliseconds(time), milliseconds(0));
        const reportedAfter = slowness < earlyReportSlowness
            ? time
            : work.durationAtSlowness(route, isKeyKnown, earlyReportSlowness, milliseconds(0));
        schedule(reportedAfter, () => {
            const hasEnded = reportedAfter >= time;
            box.traffic.onAnswer({
                server,
                routeName: route.name,
                isFailure: isFailure && hasEnded,
                slowness: Math.min(slowness, earlyReportSlowness),
                wasCold,
            });
        });
        schedule(time, () => {
            inProgressOnOldVersion -= isTarget ? 0 : 1;
            badAnswers += isBad ? 1 : 0;
            fiftiethBadAt ??= badAnswers >= 50 ? now : undefined;
            box.traffic.onEnded(server);
        });
    }

    function drawOutcome(server: BackendServer, isTarget: boolean, routeIndex: number, isKeyKnown: boolean) {
        const applies = isTarget && now >= (kind.from ?? 0) * duration
            && (kind.route === undefined || kind.route === routeIndex)
            && loadOf(server) >= (kind.minimumLoad ?? 0);
        const isFailing = applies && random() < (kind.failureShare ?? 0);
        const slowdown = applies ? kind.slowdownFactor ?? 1 : 1;
        const isCold = !isKeyKnown && random() < (isTarget ? kind.unknownKeyShare ?? 0.85 : 0.2);
        const isAffected = affectedServers.has(server);
        const isLostAnswer = fault === "lostAnswers" && isAffected && random() < 0.15;
        const isGreyFailure = fault === "badServers" && hasGreyFailures && isAffected && random() < 0.4;
        const isSlowServer = fault === "badServers" && !hasGreyFailures && isAffected;
        const noise = Math.exp(0.4 * normal() - 0.08);
        const time = meanRequestTime * noise * slowdown * (isCold ? coldSlowdown : 1) * (isSlowServer ? 5 : 1)
            * (isBurst() ? 1.6 : 1) * (isTarget && server.state.isCold(now) ? 3 : 1);
        return {
            duration: isLostAnswer ? 5000 : time,
            isBad: isFailing || applies && slowdown > 1,
            isFailure: isFailing || isLostAnswer || isGreyFailure,
        };
    }

    /** Fraction of the rate of full operation that a server gets, over the last requests. */
    function loadOf(server: BackendServer): number {
        const recentLoad = recentLoads.get(server) ?? { at: now - 1000, rate: 0 };
        const decayedRate = recentLoad.rate * Math.exp((recentLoad.at - now) / 500);
        recentLoads.set(server, { at: now, rate: decayedRate + 2 });
        return decayedRate / (rate / options.servers);
    }

    function isLostMessage(): boolean {
        return fault === "lostMessages" && random() < 0.2;
    }

    function report(box: EmulatedBox): void {
        const boxReport = box.traffic.report(now);
        if (boxReport === undefined || isLostMessage()) {
            return;
        }
        schedule(messageDelay, () => {
            if (!isDeciderLost) {
                sendGrant(box, decider.onReport(box.id, boxReport, now));
            }
        });
    }

    function sendGrant(box: EmulatedBox, grant: RolloutGrant): void {
        if (!isLostMessage()) {
            schedule(messageDelay, () => box.traffic.onGrant(grant, now));
        }
    }

    function decide(): void {
        const action = decider.step(now, { order, isStoreReachable: true, isTargetProven: false });
        for (const { box: id, grant } of decider.grantsToPush()) {
            sendGrant(boxes.find(box => box.id === id)!, grant);
        }
        const decision = decider.decisionToAnnounce();
        if (decision !== undefined) {
            boxes.filter(() => !isLostMessage()).forEach(box =>
                schedule(messageDelay, () => box.traffic.onDecision(decision))
            );
        }
        if (action.kind === "none" || isWriting) {
            return;
        }
        isWriting = true;
        const state = action.kind === "writeRunning"
            ? "running"
            : action.kind === "writeCompleted"
            ? "completed"
            : "rolledBack";
        reason = "reason" in action ? action.reason : reason;
        schedule(storeWriteDelay, () => {
            isWriting = false;
            order = { ...order, state, revision: order.revision + 1 };
            if (state !== "running") {
                decidedAt = now;
                interruptedRequests = state === "completed" ? inProgressOnOldVersion : 0;
            }
        });
    }

    function normal(): number {
        return Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
    }
}

function createCatalog({ kind, servers }: EmulatedRolloutOptions) {
    const catalog = createServerCatalog((record, at) =>
        createServerState(record, at, {
            recordPropagationDelay: milliseconds(0),
            slowStart: createSlowStart({ self: boxId("b"), server: record.id, boxes: () => [], rate: () => 0 }),
            createLimitShare: () => ({
                allows: () => true,
                onSent: () => undefined,
                onNotSent: () => undefined,
                ownRate: () => 0,
            }),
        })
    );
    const records = Array.from({ length: servers * 2 }, (_, index) => ({
        id: backendServerId(`server-${index}`),
        service,
        address: `192.0.2.1:${index}`,
        zone: availabilityZoneId(`zone-${index % 6}`),
        region: regionId(`region-${index % 3}`),
        slots: 4,
        draining: false,
        version: serverVersion(index < servers ? "v1" : "v2"),
        createdAt: index + 1,
        coldFor: milliseconds(index < servers ? 0 : kind.coldFor ?? 0),
        revision: 1,
    }));
    catalog.applyList(records, milliseconds(0));
    return catalog;
}

function createTrainedEstimate() {
    const work = createWorkEstimate();
    for (let index = 0; index < 100; index++) {
        routes.forEach(route => {
            work.onMeasured(route, true, milliseconds(meanRequestTime));
            work.onMeasured(route, false, milliseconds(meanRequestTime * coldSlowdown));
        });
    }
    return work;
}

/** Creates a seeded generator of random numbers from 0 to 1 (mulberry32). */
function createRandom(seed: number): () => number {
    let state = seed * 7919 + 1;
    return () => {
        state = (state + 0x6d2b79f5) | 0;
        let mixed = Math.imul(state ^ (state >>> 15), 1 | state);
        mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed;
        return ((mixed ^ (mixed >>> 14)) >>> 0) / 4294967296;
    };
}

/** Behaviors of versions by name; the first two are good. */
export const versionBehaviors: Readonly<Record<string, VersionBehavior>> = {
    "good": {},
    "good, cold, unknown keys": { coldFor: 3000, unknownKeyShare: 1 },
    "fails 5 %": { failureShare: 0.05 },
    "fails 10 %": { failureShare: 0.1 },
    "fails 30 %": { failureShare: 0.3 },
    "fails 100 %": { failureShare: 1 },
    "fails 50 % late": { failureShare: 0.5, from: 0.6 },
    "fails 50 % under load": { failureShare: 0.5, minimumLoad: 0.5 },
    "fails 100 % on a rare route": { failureShare: 1, route: 2 },
    "slow 3x": { slowdownFactor: 3 },
    "slow 3x late": { slowdownFactor: 3, from: 0.6 },
    "slow 3x on one route": { slowdownFactor: 3, route: 1 },
};

export const faults: readonly Fault[] = ["none", "lostMessages", "deciderLost", "burst", "badServers", "lostAnswers"];

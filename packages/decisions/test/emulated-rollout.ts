/**
 * A roll-out with drawn outcomes of requests: the deciding box and the traffic of
 * some boxes, with no network and no servers but their answers.
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

/** How the new version behaves; shares and factors hold from a part of the duration on. */
export interface VersionBehavior {
    readonly failureShare?: number;
    readonly slowdownFactor?: number;
    readonly from?: number;
    /** Only where a server gets more than this part of a full day's rate. */
    readonly minimumLoad?: number;
    readonly route?: number;
    /** Servers are cold for so many milliseconds. */
    readonly coldFor?: number;
    /** Part of the requests whose keys its servers don't know. */
    readonly unknownShare?: number;
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
    /** Milliseconds since the order. */
    readonly decidedAt: number;
    readonly reason: string;
    /** Requests to the new version before `completed`, over what the bound allows for the requests until then: the greatest. */
    readonly exposure: number;
    /** Milliseconds from the 50th bad answer to the last request sent to the new version; 0 if none was sent. */
    readonly stopDelay: number;
    /** Requests in progress at servers of the old version when `completed` was written. */
    readonly interruptedRequests: number;
    readonly tried: number;
}

const service = serviceId("profiles");
const bounds = { exposedShare: 0.1, exposedAllowance: 50, rollbackTime: milliseconds(5000) };
const routes = ["lookup", "reserve", "rare"].map(name => createRoute({ name, goal: milliseconds(1100) }));
const routeShares = [0.6, 0.96];
const meanWork = 400;
const coldFactor = 3.3;
const tick = 10;
const reportTicks = 30;
const messageTime = 30;
const storeTime = 150;

interface EmulatedBox {
    readonly id: ReturnType<typeof boxId>;
    readonly versions: ServedVersions;
    readonly traffic: TrialTraffic;
    /** Admitted servers to ordinary and trial requests, as of a version of the admission. */
    readonly lists: { readonly version: number; readonly servers: readonly BackendServer[]; }[];
}

/** Plays one order to its end. */
export function emulateRollout(options: EmulatedRolloutOptions): RolloutOutcome {
    const { duration, fault, kind, rate } = options;
    const random = createRandom(options.seed);
    const due = new Map<number, (() => void)[]>();
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
    const isStruck = new Set(servers.filter(() => random() < (fault === "lostAnswers" ? 0.45 : 0.16)));
    const isGreyDay = options.seed % 2 === 0;
    const work = trainedEstimate();
    const boxes = Array.from({ length: options.boxes }, (_, index) => createBox(`box-${index}`));
    const lastSent = new Map<BackendServer, { at: number; rate: number; }>();
    let decider = createDecider();
    let isDeciderAway = false;
    let isWriting = false;
    let total = 0;
    let exposed = 0;
    let exposure = 0;
    let badAnswers = 0;
    let fiftiethBadAt: number | undefined;
    let lastTrialAt = 0;
    let decidedAt = Infinity;
    let reason = "";
    let inProgressAtOld = 0;
    let cutOff = 0;

    for (let step = 0; step * tick < duration; step++) {
        now = milliseconds(step * tick);
        due.get(step)?.forEach(task => task());
        due.delete(step);
        arrive();
        if (step % reportTicks === 0) {
            boxes.forEach((box, index) => after(index * 17 % 300, () => report(box)));
        }
        if (step % 25 === 0 && !isDeciderAway) {
            decide();
        }
        if (fault === "deciderLost" && step === Math.floor(duration / 2 / tick)) {
            isDeciderAway = true;
            after(1500, () => {
                isDeciderAway = false;
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
        interruptedRequests: cutOff,
        tried: exposed,
    };

    function after(time: number, task: () => void): void {
        const step = Math.ceil((now + Math.max(tick, time)) / tick);
        due.set(step, [...due.get(step) ?? [], task]);
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
        return { id, versions, traffic, lists: [] };
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

    function arrive(): void {
        const expected = rate * tick / 1000 * (isBurst() ? 1.7 : 1);
        const count = Math.floor(expected + random());
        for (let index = 0; index < count; index++) {
            serve(boxes[Math.floor(random() * boxes.length)]);
        }
        total += count;
    }

    function serve(box: EmulatedBox): void {
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

    /** The choice leaves out most of the servers that do badly, but not those of a trial. */
    function pick(box: EmulatedBox, isTrial: boolean): BackendServer | undefined {
        const admitted = admittedAt(box, isTrial);
        const drawn = admitted[Math.floor(random() * admitted.length)];
        const avoids = !isTrial && fault === "badServers" && isStruck.has(drawn) && random() < 0.7;
        return avoids ? admitted[Math.floor(random() * admitted.length)] : drawn;
    }

    function admittedAt({ versions, lists }: EmulatedBox, isTrial: boolean): readonly BackendServer[] {
        const version = versions.version(service);
        const known = lists[Number(isTrial)];
        if (known?.version === version) {
            return known.servers;
        }
        const admitted = servers.filter(server => versions.admits(server, isTrial));
        lists[Number(isTrial)] = { version, servers: admitted };
        return admitted;
    }

    function send(box: EmulatedBox, server: BackendServer, routeIndex: number): void {
        const isNew = server.state.record().version === order.targetVersion;
        box.traffic.onSent(server);
        if (isNew && order.state !== "completed") {
            exposed += 1;
            lastTrialAt = now;
            exposure = Math.max(exposure, exposed / (bounds.exposedShare * total + bounds.exposedAllowance));
        }
        inProgressAtOld += isNew ? 0 : 1;
        const wasCold = server.state.isCold(now);
        const known = !isNew && random() < 0.7;
        const { duration: time, isBad, isFailure } = draw(server, isNew, routeIndex, known);
        const route = routes[routeIndex];
        const slowness = work.slownessOf(route, known, milliseconds(time), milliseconds(0));
        const toldAfter = slowness < earlyReportSlowness
            ? time
            : work.durationAtSlowness(route, known, earlyReportSlowness, milliseconds(0));
        after(toldAfter, () => {
            const isSeen = toldAfter >= time;
            box.traffic.onAnswer({
                server,
                routeName: route.name,
                isFailure: isFailure && isSeen,
                slowness: Math.min(slowness, earlyReportSlowness),
                wasCold,
            });
        });
        after(time, () => {
            inProgressAtOld -= isNew ? 0 : 1;
            badAnswers += isBad ? 1 : 0;
            fiftiethBadAt ??= badAnswers >= 50 ? now : undefined;
            box.traffic.onEnded(server);
        });
    }

    function draw(server: BackendServer, isNew: boolean, routeIndex: number, known: boolean) {
        const applies = isNew && now >= (kind.from ?? 0) * duration
            && (kind.route === undefined || kind.route === routeIndex)
            && loadOf(server) >= (kind.minimumLoad ?? 0);
        const fails = applies && random() < (kind.failureShare ?? 0);
        const slow = applies ? kind.slowdownFactor ?? 1 : 1;
        const isCold = !known && random() < (isNew ? kind.unknownShare ?? 0.85 : 0.2);
        const struck = isStruck.has(server);
        const isLost = fault === "lostAnswers" && struck && random() < 0.15;
        const isGrey = fault === "badServers" && isGreyDay && struck && random() < 0.4;
        const isSlowServer = fault === "badServers" && !isGreyDay && struck;
        const noise = Math.exp(0.4 * normal() - 0.08);
        const time = meanWork * noise * slow * (isCold ? coldFactor : 1) * (isSlowServer ? 5 : 1)
            * (isBurst() ? 1.6 : 1) * (isNew && server.state.isCold(now) ? 3 : 1);
        return {
            duration: isLost ? 5000 : time,
            isBad: fails || applies && slow > 1,
            isFailure: fails || isLost || isGrey,
        };
    }

    /** Part of a full day's rate that a server gets, over the last requests. */
    function loadOf(server: BackendServer): number {
        const known = lastSent.get(server) ?? { at: now - 1000, rate: 0 };
        const faded = known.rate * Math.exp((known.at - now) / 500);
        lastSent.set(server, { at: now, rate: faded + 2 });
        return faded / (rate / options.servers);
    }

    function isLostMessage(): boolean {
        return fault === "lostMessages" && random() < 0.2;
    }

    function report(box: EmulatedBox): void {
        const told = box.traffic.report(now);
        if (told === undefined || isLostMessage()) {
            return;
        }
        after(messageTime, () => {
            if (!isDeciderAway) {
                sendGrant(box, decider.onReport(box.id, told, now));
            }
        });
    }

    function sendGrant(box: EmulatedBox, grant: RolloutGrant): void {
        if (!isLostMessage()) {
            after(messageTime, () => box.traffic.onGrant(grant, now));
        }
    }

    function decide(): void {
        const action = decider.step(now, { order, isStoreReachable: true, isTargetProven: false });
        for (const { box: id, grant } of decider.grantsToPush()) {
            sendGrant(boxes.find(box => box.id === id)!, grant);
        }
        const news = decider.news();
        if (news !== undefined) {
            boxes.filter(() => !isLostMessage()).forEach(box => after(messageTime, () => box.traffic.onDecision(news)));
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
        after(storeTime, () => {
            isWriting = false;
            order = { ...order, state, revision: order.revision + 1 };
            if (state !== "running") {
                decidedAt = now;
                cutOff = state === "completed" ? inProgressAtOld : 0;
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
            createLimitShare: () => ({ allows: () => true, onSent: () => undefined, onNotSent: () => undefined }),
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

function trainedEstimate() {
    const work = createWorkEstimate();
    for (let index = 0; index < 100; index++) {
        routes.forEach(route => {
            work.onMeasured(route, true, milliseconds(meanWork));
            work.onMeasured(route, false, milliseconds(meanWork * coldFactor));
        });
    }
    return work;
}

/** Returns numbers from 0 to 1 by a seed (mulberry32). */
function createRandom(seed: number): () => number {
    let state = seed * 7919 + 1;
    return () => {
        state = (state + 0x6d2b79f5) | 0;
        let mixed = Math.imul(state ^ (state >>> 15), 1 | state);
        mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed;
        return ((mixed ^ (mixed >>> 14)) >>> 0) / 4294967296;
    };
}

/** Kinds of versions by name; the first two are good. */
export const versionBehaviors: Readonly<Record<string, VersionBehavior>> = {
    "good": {},
    "good, cold, unknown keys": { coldFor: 3000, unknownShare: 1 },
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

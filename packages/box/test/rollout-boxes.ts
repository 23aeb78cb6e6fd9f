/**
 * Emulates the roll-outs of several boxes on one clock, with messages that are
 * delayed or lost, a store that checks revisions, and random outcomes of requests.
 */

import {
    createServerCatalog,
    createServerState,
    createSlowStart,
    epochOf,
    type MemberRecord,
    type Membership,
    type RolloutOrder,
    type Route,
    type ServerCatalog,
    storePosition,
} from "@chalkdale/decisions";
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
import { createLog } from "@chalkdale/runtime";
import type { RolloutMessage } from "../src/rollouts/rollout-messages.js";
import { createRollouts, type Rollouts } from "../src/rollouts/rollouts.js";
import { StoreError } from "../src/state/state-store.js";

export const service = serviceId("profiles");
export const bounds = { exposedShare: 0.1, exposedAllowance: 50, rollbackTime: milliseconds(5000) };

/** One box with its faults. */
interface RolloutBox {
    readonly index: number;
    readonly rollouts: Rollouts;
    readonly startedAt: number;
    /** True while the box runs nothing and receives nothing. */
    isFrozen: boolean;
    /** True while the box runs but has no connection to other boxes. */
    isCutOff: boolean;
    /** True while the store serves the box. */
    reachesStore: boolean;
    /** True while the box gets the orders from other boxes' copies, if it is not cut off. */
    receivesCopies: boolean;
    /** Index of the box that it takes for the deciding box. */
    decidingBox: number;
}

/** The boxes with their store, clock and counts. */
export interface RolloutBoxes {
    readonly boxes: RolloutBox[];
    readonly now: () => number;
    readonly order: () => RolloutOrder;
    /** States in the order in which they were written. */
    readonly written: readonly RolloutOrder["state"][];
    /** Requests sent to the trial version, its failures, and requests sent to all versions. */
    readonly counts: { toTrial: number; failed: number; all: number; };
    /** Times of the 50th failure and of the last request to the trial version. */
    readonly times: { fiftiethFailure: number; lastToTrial: number; };
    /** Fraction of the trial version's answers that are failures. */
    failureShare: number;
    /** Restores the store from an older copy of the order; all boxes that get copies receive it. */
    readonly restoreStore: (older: Partial<RolloutOrder>) => void;
    /** Replaces a box by a new incarnation of it. */
    readonly restart: (index: number) => void;
    /** Advances the clock by some milliseconds. */
    readonly run: (duration: number) => void;
    /** Advances the clock until the store has a state; false if it does not in time. */
    readonly runUntil: (state: RolloutOrder["state"], maxDuration: number) => Promise<boolean>;
}

// In milliseconds.
const tick = 10;
const messageDelay = 20;
const requestTime = 60;
const settledUptime = 5000;
const route = { name: "lookup" } as Route;

/** Starts boxes that all know the order and the servers; `duration` is that of the order, in milliseconds. */
export function startRolloutBoxes(boxCount: number, requestsPerSecond: number, duration: number): RolloutBoxes {
    let now = settledUptime;
    let seed = 1;
    const random = () => {
        seed = (seed * 48_271) % 2_147_483_647;
        return seed / 2_147_483_647;
    };
    const due = new Map<number, (() => void)[]>();
    const catalog = createServers();
    const written: RolloutOrder["state"][] = [];
    const counts = { toTrial: 0, failed: 0, all: 0 };
    const times = { fiftiethFailure: Infinity, lastToTrial: -Infinity };
    let dueRequests = 0;
    let order: RolloutOrder = {
        service,
        targetVersion: serverVersion("v2"),
        duration: milliseconds(duration),
        state: undefined,
        createdAt: 9,
        revision: 9,
    };
    const boxes: RolloutBox[] = [];
    const emulation: RolloutBoxes = {
        boxes,
        now: () => now,
        order: () => order,
        written,
        counts,
        times,
        failureShare: 0,
        restoreStore(older) {
            const revision = storePosition(epochOf(order.revision) + 1, 1)!;
            order = { ...order, ...older, revision };
            boxes.filter(getsCopies).forEach(box => box.rollouts.onOrders([order]));
        },
        restart: index => startBox(index, now),
        run,
        async runUntil(state, maxDuration) {
            for (const end = now + maxDuration; now < end && order.state !== state;) {
                run(tick);
                // The store's answers are handled in the next turn of the event loop.
                await new Promise(resolve => setImmediate(resolve));
            }
            return order.state === state;
        },
    };
    Array.from({ length: boxCount }, (_, index) => startBox(index, 0));
    return emulation;

    function startBox(index: number, startedAt: number): void {
        const self = memberOf(index);
        const call = <Answer>(answer: () => Answer) =>
            boxes[index].reachesStore ? Promise.resolve(answer()) : Promise.reject(new StoreError("silent", "down"));
        const rollouts = createRollouts({
            clock: () => milliseconds(now),
            random,
            log: createLog({ write: () => undefined }),
            self: self.box,
            incarnation: incarnationId(`${startedAt}`),
            bounds,
            membership: {
                ownRecord: () => seenBy(index, index),
                find: (box: string) => seenBy(index, Number(box.slice(1))),
                recentMembers: () => boxes.filter(box => box.index !== index).map(box => memberOf(box.index)),
            } as unknown as Membership,
            coordinators: { current: () => boxes.map(box => memberOf(box.index).box) },
            catalog,
            store: {
                writeRolloutState: (read, state) => call(() => write(read, state)),
                readRollout: () => call(() => order),
            },
            copyAge: () => milliseconds(boxes.some(box => box.reachesStore && !box.isCutOff) ? 0 : 10_000),
            isStoreAnswering: () => boxes[index].reachesStore,
            isRunning: () => true,
            uptime: () => milliseconds(now - startedAt),
            send: ({ box }, message) => send(index, Number(box.slice(1)), message),
            signal: new AbortController().signal,
        });
        const decidingBox = boxes[index]?.decidingBox ?? 0;
        boxes[index] = {
            index,
            rollouts,
            startedAt,
            isFrozen: false,
            isCutOff: false,
            reachesStore: true,
            receivesCopies: true,
            decidingBox,
        };
        rollouts.onOrders([order]);
    }

    /** Shows a high capacity only for the box that the viewer shall take for the deciding box. */
    function seenBy(viewer: number, index: number): MemberRecord {
        return { ...memberOf(index), capacity: boxes[viewer].decidingBox === index ? 1 : 0.1 };
    }

    function write(read: RolloutOrder, state: RolloutOrder["state"]): RolloutOrder {
        if (read.revision === order.revision) {
            order = { ...order, state, revision: order.revision + 1 };
            written.push(state);
            const newest = order;
            schedule(messageDelay, () => boxes.filter(getsCopies).forEach(box => box.rollouts.onOrders([newest])));
        }
        return order;
    }

    function send(from: number, to: number, message: RolloutMessage): void {
        const sent = JSON.parse(JSON.stringify(message)) as RolloutMessage;
        schedule(messageDelay, () => {
            if (!boxes[from].isCutOff && !boxes[to].isCutOff && !boxes[to].isFrozen) {
                boxes[to].rollouts.onMessage(memberOf(from), sent);
            }
        });
    }

    function run(time: number): void {
        for (const end = now + time; now < end;) {
            now += tick;
            const actions = due.get(now) ?? [];
            due.delete(now);
            actions.forEach(action => action());
            const running = boxes.filter(box => !box.isFrozen);
            running.forEach(box => {
                if ((now + box.index * tick) % 300 === 0) {
                    box.rollouts.onGossipRound();
                }
                if (now % 250 === 0) {
                    box.rollouts.step();
                }
            });
            for (dueRequests += requestsPerSecond * tick / 1000; dueRequests >= 1; dueRequests--) {
                request(running[Math.floor(random() * running.length)]);
            }
        }
    }

    function request({ rollouts: { trialHooks, versions } }: RolloutBox): void {
        const isTrial = trialHooks.assign(service, route);
        const servers = catalog.ofService(service).filter(server => versions.admits(server, isTrial));
        const server = servers[Math.floor(random() * servers.length)];
        const isTarget = server.state.record().version === order.targetVersion;
        const isFailure = isTarget && random() < emulation.failureShare;
        counts.all += 1;
        if (isTarget) {
            counts.toTrial += 1;
            times.lastToTrial = now;
        }
        trialHooks.onSent(service, server);
        schedule(requestTime, () => {
            trialHooks.onEnded(service, server);
            const slowness = 0.8 + 0.4 * random();
            trialHooks.onAnswer(service, { server, routeName: route.name, isFailure, slowness, wasCold: false });
            counts.failed += isFailure ? 1 : 0;
            if (isFailure && counts.failed === 50) {
                times.fiftiethFailure = now;
            }
        });
    }

    function schedule(time: number, action: () => void): void {
        due.set(now + time, [...due.get(now + time) ?? [], action]);
    }
}

function createServers(): ServerCatalog {
    const catalog = createServerCatalog((record, at) =>
        createServerState(record, at, {
            recordPropagationDelay: milliseconds(0),
            slowStart: createSlowStart({ self: boxId("b0"), server: record.id, boxes: () => [], rate: () => 0 }),
            createLimitShare: () => ({
                allows: () => true,
                onSent: () => undefined,
                onNotSent: () => undefined,
                ownRate: () => 0,
            }),
        })
    );
    const records = ["v1", "v2"].flatMap((version, isTarget) =>
        Array.from({ length: 8 }, (_, index) => ({
            id: backendServerId(`${version}-${index}`),
            service,
            address: `192.0.2.${isTarget * 100 + index}:80`,
            zone: availabilityZoneId("north-a"),
            region: regionId("north"),
            slots: 4,
            draining: false,
            coldFor: milliseconds(0),
            version: serverVersion(version),
            createdAt: 1 + isTarget,
            revision: 1,
        }))
    );
    catalog.applyList(records, milliseconds(0));
    return catalog;
}

function getsCopies({ reachesStore, receivesCopies, isCutOff, isFrozen }: RolloutBox): boolean {
    return !isFrozen && (reachesStore || receivesCopies && !isCutOff);
}

function memberOf(index: number): MemberRecord {
    return { box: boxId(`b${index}`) } as MemberRecord;
}

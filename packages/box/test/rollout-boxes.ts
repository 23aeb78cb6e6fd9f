/**
 * The roll-outs of some boxes on one clock, with messages that take a while or
 * are lost, a store that writes under a revision, and drawn outcomes of requests.
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

/** One box, and how it fares. */
interface RolloutBox {
    readonly index: number;
    readonly rollouts: Rollouts;
    readonly startedAt: number;
    /** Runs nothing and takes nothing. */
    isFrozen: boolean;
    /** Runs, and reaches no other box. */
    isCutOff: boolean;
    hasStore: boolean;
    /** Other boxes' copies reach it, while it is not cut off. */
    hearsCopies: boolean;
    /** The box that it takes for the deciding one. */
    decider: number;
}

/** The boxes with all they share. */
export interface RolloutBoxes {
    readonly boxes: RolloutBox[];
    readonly now: () => number;
    readonly order: () => RolloutOrder;
    /** States as they were written, one after the other. */
    readonly written: readonly RolloutOrder["state"][];
    /** What the version on trial got, in all and in failures, and what all got. */
    readonly counts: { toTrial: number; failed: number; all: number; };
    /** When the 50th failure was, and the last request to the version. */
    readonly times: { fiftiethFailure: number; lastToTrial: number; };
    failureShare: number;
    /** The store comes back from a copy in which the order was so; all boxes learn of it. */
    readonly restoreStore: (older: Partial<RolloutOrder>) => void;
    /** Replaces a box by a new life of it. */
    readonly restart: (index: number) => void;
    /** Lets so many milliseconds pass. */
    readonly run: (duration: number) => void;
    /** Lets time pass until a state is in the store; false if it isn't in time. */
    readonly runUntil: (state: RolloutOrder["state"], longest: number) => Promise<boolean>;
}

const tick = 10;
const messageTime = 20;
const work = 60;
const settledUptime = 5000;
const route = { name: "lookup" } as Route;

/** Starts boxes that all know the order and the servers. */
export function startRolloutBoxes(boxCount: number, requestsASecond: number, duration: number): RolloutBoxes {
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
    let owed = 0;
    let order: RolloutOrder = {
        service,
        targetVersion: serverVersion("v2"),
        duration: milliseconds(duration),
        state: undefined,
        createdAt: 9,
        revision: 9,
    };
    const boxes: RolloutBox[] = [];
    const world: RolloutBoxes = {
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
        async runUntil(state, longest) {
            for (const end = now + longest; now < end && order.state !== state;) {
                run(tick);
                // Answers of the store are taken when the event loop turns.
                await new Promise(resolve => setImmediate(resolve));
            }
            return order.state === state;
        },
    };
    Array.from({ length: boxCount }, (_, index) => startBox(index, 0));
    return world;

    function startBox(index: number, startedAt: number): void {
        const self = memberOf(index);
        const call = <Answer>(answer: () => Answer) =>
            boxes[index].hasStore ? Promise.resolve(answer()) : Promise.reject(new StoreError("silent", "down"));
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
            copyAge: () => milliseconds(boxes.some(box => box.hasStore && !box.isCutOff) ? 0 : 10_000),
            isStoreAnswering: () => boxes[index].hasStore,
            isRunning: () => true,
            uptime: () => milliseconds(now - startedAt),
            send: ({ box }, message) => send(index, Number(box.slice(1)), message),
            signal: new AbortController().signal,
        });
        const decider = boxes[index]?.decider ?? 0;
        boxes[index] = {
            index,
            rollouts,
            startedAt,
            isFrozen: false,
            isCutOff: false,
            hasStore: true,
            hearsCopies: true,
            decider,
        };
        rollouts.onOrders([order]);
    }

    /** The box that another one takes for the deciding one is the only strong one in its eyes. */
    function seenBy(viewer: number, index: number): MemberRecord {
        return { ...memberOf(index), capacity: boxes[viewer].decider === index ? 1 : 0.1 };
    }

    function write(read: RolloutOrder, state: RolloutOrder["state"]): RolloutOrder {
        if (read.revision === order.revision) {
            order = { ...order, state, revision: order.revision + 1 };
            written.push(state);
            const newest = order;
            after(messageTime, () => boxes.filter(getsCopies).forEach(box => box.rollouts.onOrders([newest])));
        }
        return order;
    }

    function send(from: number, to: number, message: RolloutMessage): void {
        const sent = JSON.parse(JSON.stringify(message)) as RolloutMessage;
        after(messageTime, () => {
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
            for (owed += requestsASecond * tick / 1000; owed >= 1; owed--) {
                request(running[Math.floor(random() * running.length)]);
            }
        }
    }

    function request({ rollouts: { requests, versions } }: RolloutBox): void {
        const isTrial = requests.assign(service, route);
        const servers = catalog.ofService(service).filter(server => versions.admits(server, isTrial));
        const server = servers[Math.floor(random() * servers.length)];
        const isTarget = server.state.record().version === order.targetVersion;
        const isFailure = isTarget && random() < world.failureShare;
        counts.all += 1;
        if (isTarget) {
            counts.toTrial += 1;
            times.lastToTrial = now;
        }
        requests.onSent(service, server);
        after(work, () => {
            requests.onEnded(service, server);
            const slowness = 0.8 + 0.4 * random();
            requests.onAnswer(service, { server, routeName: route.name, isFailure, slowness, wasCold: false });
            counts.failed += isFailure ? 1 : 0;
            if (isFailure && counts.failed === 50) {
                times.fiftiethFailure = now;
            }
        });
    }

    function after(time: number, action: () => void): void {
        due.set(now + time, [...due.get(now + time) ?? [], action]);
    }
}

function createServers(): ServerCatalog {
    const catalog = createServerCatalog((record, at) =>
        createServerState(record, at, {
            recordPropagationDelay: milliseconds(0),
            slowStart: createSlowStart({ self: boxId("b0"), server: record.id, boxes: () => [], rate: () => 0 }),
            createLimitShare: () => ({ allows: () => true, onSent: () => undefined, onNotSent: () => undefined }),
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

function getsCopies({ hasStore, hearsCopies, isCutOff, isFrozen }: RolloutBox): boolean {
    return !isFrozen && (hasStore || hearsCopies && !isCutOff);
}

function memberOf(index: number): MemberRecord {
    return { box: boxId(`b${index}`) } as MemberRecord;
}

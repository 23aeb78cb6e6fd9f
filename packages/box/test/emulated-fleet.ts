/**
 * The replicas of all boxes of three regions on an emulated clock. Each box has the product's replicator, relay role,
 * membership and probing; the store, the datagrams and the reads between boxes are fakes.
 */

import {
    createMembership,
    createProbing,
    createRelayRole,
    createReplica,
    createUnservedBoxes,
    epochOf,
    gossipInterval,
    type MemberRecord,
    replicatedKinds,
    roundsBetweenDigests,
    type SharedKind,
    storePosition,
} from "@chalkdale/decisions";
import {
    availabilityZoneId,
    boxId,
    createSeededRandom,
    incarnationId,
    milliseconds,
    type RegionId,
    regionId,
} from "@chalkdale/kernel";
import { createLog } from "@chalkdale/runtime";
import { setMaxListeners } from "node:events";
import { type Replicator, startReplicator } from "../src/state/replicator.js";
import type { SharedState } from "../src/state/shared-state.js";
import type { StateUpdate } from "../src/state/state-messages.js";
import { type StateStore, StoreError, type WatchOutcome } from "../src/state/state-store.js";
import { startEmulatedClock } from "./emulated-clock.js";

/** How the store fails the calls of a box that it doesn't serve. */
export type UnservedFault = "reset" | "refused" | "silence";

/** Size and conditions of a fleet. */
export interface EmulatedFleetOptions {
    readonly boxesOfRegion: number;
    /** Milliseconds in which a change must reach all boxes. */
    readonly maxPropagationDelay: number;
    readonly seed: number;
    /** Fraction of the datagrams that are lost. */
    readonly loss?: number;
}

interface EmulatedBox {
    readonly record: MemberRecord;
    readonly replicator: Replicator;
    readonly revision: (kind: SharedKind) => number;
    readonly onMessage: (from: EmulatedBox, message: Message) => void;
}

interface Message {
    readonly digest: ReturnType<Replicator["digest"]>;
    readonly update?: StateUpdate;
    readonly asks?: boolean;
}

interface Watch {
    readonly box: MemberRecord;
    readonly kind: SharedKind;
    readonly since: number;
    readonly end: (outcome: WatchOutcome<never> | StoreError) => void;
    /** Its connection stops working without being closed: the watch is never answered. */
    readonly blackhole: () => void;
}

const regions = ["north", "east", "south"].map(regionId);
/** Region of the store. */
const storeRegion = regions[0];
/** One-way delay in milliseconds within a region. */
const intraRegionDelay = 1;
/** One-way delay in milliseconds between two regions. */
const interRegionDelay = 35;
/** Milliseconds beyond its wait after which a watch fails, as in the platform's client. */
const callTimeout = 1500;
/** Wait in milliseconds of a watch for which the box sets none. */
const defaultWait = 7000;
const firstRevision = 5;

/** Starts the boxes; four of each region have a high capacity. */
export function startEmulatedFleet({ boxesOfRegion, maxPropagationDelay, loss = 0, seed }: EmulatedFleetOptions) {
    const clock = startEmulatedClock();
    const random = createSeededRandom(seed);
    const lifetime = new AbortController();
    setMaxListeners(0, lifetime.signal);
    const pendingWatches = new Set<Watch>();
    let revision = firstRevision;
    let epoch = 0;
    let isUnavailable = false;
    const changedAt = new Map<SharedKind, number>();
    let faultOf: (box: MemberRecord) => UnservedFault | undefined = () => undefined;
    let storeCalls = 0;
    const records = regions.flatMap(region =>
        Array.from({ length: boxesOfRegion }, (_, index) => createRecord(region, index))
    );
    const boxes = new Map(records.map(record => [record.box, startBox(record)]));

    return {
        records,
        runUntil: clock.runUntil,
        now: clock.now,
        /** Number of lists and watches so far. */
        storeCalls: () => storeCalls,
        /**
         * From now on the store fails the calls of the boxes for which `nextFaultOf` returns a fault, pending watches
         * included.
         */
        failCalls(nextFaultOf: (box: MemberRecord) => UnservedFault | undefined) {
            faultOf = nextFaultOf;
            for (const watch of pendingWatches) {
                const fault = nextFaultOf(watch.box);
                if (fault === "reset" || fault === "refused") {
                    clock.schedule(delayToStore(watch.box), () => watch.end(new StoreError("unreachable", fault)));
                }
            }
        },
        /** Open connections of some boxes to the store stop working without being closed; new ones work. */
        blackholeOpenConnections(isAffected: (box: MemberRecord) => boolean) {
            [...pendingWatches].filter(watch => isAffected(watch.box)).forEach(watch => watch.blackhole());
        },
        /**
         * The store becomes unavailable, and is restored from an older copy after `outage` milliseconds: its revisions
         * go back, in a new epoch.
         */
        restoreOlderCopy(outage: number) {
            isUnavailable = true;
            pendingWatches.forEach(watch => watch.end(new StoreError("unreachable", "reset")));
            clock.schedule(outage, () => {
                isUnavailable = false;
                epoch += 1;
                revision = storePosition(epoch, firstRevision)!;
            });
        },
        /** The store acknowledges a change now; returns its revision. */
        change(kind: SharedKind = "configuration") {
            revision += 1;
            changedAt.set(kind, revision);
            for (const watch of pendingWatches) {
                if (faultOf(watch.box) === undefined && watch.kind === kind) {
                    clock.schedule(delayToStore(watch.box), () => watch.end(changesSince(watch)));
                }
            }
            return revision;
        },
        /** Returns the boxes whose replica doesn't reach a revision yet. */
        boxesBehind: (minimum: number, kind: SharedKind = "configuration") =>
            records.filter(({ box }) => boxes.get(box)!.revision(kind) < minimum),
        stop() {
            lifetime.abort();
            clock.stop();
        },
    };

    function startBox(record: MemberRecord): EmulatedBox {
        const membership = createMembership(record);
        records.forEach(other => membership.onHeard(other, milliseconds(0)));
        const probing = createProbing({ membership, random, isAdvertised: box => hasHighCapacity(box) });
        const replicas = {
            configuration: createReplica<never>(() => "main", () => undefined),
            servers: createReplica<never>(() => "s", () => undefined),
            closedZones: createReplica<never>(() => "z", () => undefined),
            rollouts: createReplica<never>(() => "r", () => undefined),
        };
        let roundsSinceDigest = 0;
        const unservedBoxes = createUnservedBoxes(record.box, milliseconds(maxPropagationDelay));
        const relayRole = createRelayRole({
            self: record.box,
            region: record.region,
            alive: () => membership.alive(clock.now()),
            maxPropagationDelay: milliseconds(maxPropagationDelay),
            unservedBoxes,
            clock: clock.now,
            uptime: clock.now,
        });
        const replicator = startReplicator({
            clock: clock.now,
            random,
            log: createLog({ write: () => undefined }),
            region: record.region,
            state: {
                replica: (kind: SharedKind) => replicas[kind],
                keys: () => ({ isKeyRequired: true }),
                coldStarts: () => 0,
            } as unknown as SharedState,
            store: createStore(record),
            relayRole,
            unservedBoxes,
            self: record.box,
            kinds: replicatedKinds(false),
            readState: (peer, kind, since) => readState(record, peer.peerAddress, kind, since ?? 0),
            publish: sendDigestToRegion,
            sendDigestToRegion,
            signal: lifetime.signal,
        });
        const box: EmulatedBox = {
            record,
            replicator,
            revision: kind => replicas[kind].revision() ?? 0,
            onMessage(from, message) {
                membership.onHeard(from.record, clock.now());
                if (message.asks === true) {
                    send(box, from, { digest: replicator.digest() });
                }
                if (message.update !== undefined) {
                    replicator.onUpdate(message.update);
                }
                replicator.onDigest(from.record, message.digest);
            },
        };
        clock.schedule(random() * gossipInterval, beginRound);
        return box;

        function beginRound(): void {
            clock.schedule(gossipInterval, beginRound);
            for (const member of probing.nextRound(clock.now())) {
                send(box, boxes.get(member.box)!, { digest: replicator.digest(), asks: true });
            }
            roundsSinceDigest += 1;
            if (
                replicator.isFollowingStore()
                && roundsSinceDigest >= roundsBetweenDigests(milliseconds(maxPropagationDelay))
            ) {
                sendDigestToRegion();
            }
        }

        function sendDigestToRegion(): void {
            roundsSinceDigest = 0;
            const digest = replicator.digest();
            boxes.forEach(other => {
                if (other.record.region === record.region && other !== box) {
                    send(box, other, { digest });
                }
            });
        }
    }

    function send(from: EmulatedBox, to: EmulatedBox, message: Message): void {
        if (random() >= loss) {
            clock.schedule(delayBetween(from.record.region, to.record.region), () => to.onMessage(from, message));
        }
    }

    function createStore(box: MemberRecord): StateStore {
        return {
            list: () => resolveAfter(2 * delayToStore(box), undefined).then(list),
            watch: (kind, since, signal, wait = milliseconds(defaultWait)) =>
                watch(box, kind, since, signal, wait) as Promise<WatchOutcome<never>>,
            registerBox: () => new Promise(() => undefined),
            listBoxes: () => new Promise(() => undefined),
            writeRolloutState: () => new Promise(() => undefined),
            readRollout: () => new Promise(() => undefined),
        };
    }

    function watch(
        box: MemberRecord,
        kind: SharedKind,
        since: number,
        signal: AbortSignal,
        wait: number,
    ): Promise<WatchOutcome<never>> {
        storeCalls += 1;
        return new Promise((resolve, reject) => {
            const cancels: (() => void)[] = [];
            let cancelAnswer: () => void = () => undefined;
            const entry: Watch = { box, kind, since, end, blackhole };
            signal.addEventListener("abort", () => end(new StoreError("unreachable", "aborted")), { once: true });
            cancels.push(clock.schedule(wait + callTimeout, () => end(new StoreError("silent", "no answer"))));
            cancels.push(clock.schedule(delayToStore(box), arrive));

            function arrive(): void {
                const fault = isUnavailable ? "reset" : faultOf(box);
                if (fault === "reset" || fault === "refused") {
                    clock.schedule(delayToStore(box), () => end(new StoreError("unreachable", fault)));
                    return;
                }
                if (epochOf(since) < epoch) {
                    clock.schedule(delayToStore(box), () => end({ kind: "historyLost" }));
                    return;
                }
                pendingWatches.add(entry);
                cancelAnswer = clock.schedule(isChangedSince(kind, since) ? 0 : wait, answer);
                cancels.push(cancelAnswer);
            }

            function blackhole(): void {
                pendingWatches.delete(entry);
                cancelAnswer();
            }

            function answer(): void {
                if (faultOf(box) === undefined) {
                    clock.schedule(delayToStore(box), () => end(changesSince(entry)));
                }
            }

            function end(outcome: WatchOutcome<never> | StoreError): void {
                pendingWatches.delete(entry);
                cancels.forEach(cancel => cancel());
                if (outcome instanceof StoreError) {
                    reject(outcome);
                    return;
                }
                resolve(outcome);
            }
        });
    }

    function list() {
        storeCalls += 1;
        if (isUnavailable) {
            throw new StoreError("unreachable", "reset");
        }
        return { revision: epoch === 0 ? firstRevision : revision, items: [] };
    }

    /** Returns the outcome of a watch. */
    function changesSince({ kind, since }: Watch): WatchOutcome<never> {
        return { kind: "changes", changes: isChangedSince(kind, since) ? [change] : [], revision };
    }

    function isChangedSince(kind: SharedKind, since: number): boolean {
        return (changedAt.get(kind) ?? 0) > since;
    }

    async function readState(reader: MemberRecord, address: string, kind: SharedKind, since: number) {
        const peer = [...boxes.values()].find(box => box.record.peerAddress === address)!;
        const roundTrip = 2 * delayBetween(reader.region, peer.record.region);
        await resolveAfter(roundTrip, undefined);
        const known = peer.replicator.digest()[kind]!.complete;
        await resolveAfter(roundTrip, undefined);
        if (epochOf(known) > epochOf(since)) {
            return { kind: "snapshot" as const, snapshot: { revision: known, items: [] } };
        }
        return {
            kind: "missing" as const,
            missing: { since, revision: known, changes: known > since ? [change] : [] },
        };
    }

    function resolveAfter<Answer>(delay: number, answer: Answer): Promise<Answer> {
        return new Promise(resolve => clock.schedule(delay, () => resolve(answer)));
    }

    function delayToStore(box: MemberRecord): number {
        return delayBetween(box.region, storeRegion);
    }
}

/** Number of boxes with a high capacity in each region. */
const highCapacityBoxes = 4;
const change = { kind: "put", name: "main", item: undefined as never } as const;

function createRecord(region: RegionId, index: number): MemberRecord {
    const isHighCapacity = index < highCapacityBoxes;
    return {
        box: boxId(`${isHighCapacity ? "strong" : "weak"}-${region}-${index}`),
        incarnation: incarnationId("1"),
        heartbeat: 1,
        leaving: false,
        ready: true,
        region,
        zone: availabilityZoneId(`${region}-${index % 2}`),
        peerAddress: `${region}-${index}:1`,
        callerAddress: `${region}-${index}:2`,
        capacity: isHighCapacity ? 1.35 : 0.27,
        load: 0,
    };
}

function hasHighCapacity(box: string): boolean {
    return box.startsWith("strong");
}

function delayBetween(from: RegionId, to: RegionId): number {
    return from === to ? intraRegionDelay : interRegionDelay;
}

/**
 * The copies of all boxes of three regions on an emulated clock: each box has
 * the product's replicator, relay role, members and questions; the store, the
 * datagrams and the reads between boxes are fakes.
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

/** How the store turns a box away. */
export type TurnedAwayBy = "reset" | "refused" | "silence";

export interface EmulatedFleetOptions {
    readonly boxesOfRegion: number;
    readonly changeBound: number;
    readonly seed: number;
    /** Part of the datagrams that are lost. */
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
    /** Its connection falls silent for good: it is never answered, and not ended either. */
    readonly fallSilent: () => void;
}

const regions = ["north", "east", "south"].map(regionId);
/** The store stands here. */
const storeRegion = regions[0];
/** Milliseconds of one way within a region, and between two. */
const nearWay = 1;
const farWay = 35;
/** Time for an answer beyond the wait of a watch, as the platform's client has it. */
const callTimeout = 1500;
/** Wait of a watch for which the box names none. */
const defaultWait = 7000;
const firstRevision = 5;

/** Starts the boxes; four of each region are strong. */
export function startEmulatedFleet({ boxesOfRegion, changeBound, loss = 0, seed }: EmulatedFleetOptions) {
    const clock = startEmulatedClock();
    const random = createSeededRandom(seed);
    const lifetime = new AbortController();
    setMaxListeners(0, lifetime.signal);
    const pending = new Set<Watch>();
    let revision = firstRevision;
    let epoch = 0;
    let isAway = false;
    const changedAt = new Map<SharedKind, number>();
    let turnedAway: (box: MemberRecord) => TurnedAwayBy | undefined = () => undefined;
    let calls = 0;
    const records = regions.flatMap(region =>
        Array.from({ length: boxesOfRegion }, (_, index) => createRecord(region, index))
    );
    const boxes = new Map(records.map(record => [record.box, startOne(record)]));

    return {
        records,
        runUntil: clock.runUntil,
        now: clock.now,
        calls: () => calls,
        /** From now on the store turns boxes away; watches that wait at it end by that too. */
        turnAway(by: (box: MemberRecord) => TurnedAwayBy | undefined) {
            turnedAway = by;
            for (const watch of pending) {
                const fault = by(watch.box);
                if (fault === "reset" || fault === "refused") {
                    clock.after(wayTo(watch.box), () => watch.end(new StoreError("unreachable", fault)));
                }
            }
        },
        /** Open connections to the store fall silent for good, without an end; new ones work. */
        silence(isSilent: (box: MemberRecord) => boolean) {
            [...pending].filter(watch => isSilent(watch.box)).forEach(watch => watch.fallSilent());
        },
        /** The store goes away, and comes back from an older copy after so long: its revisions go back, in a new epoch. */
        restore(after: number) {
            isAway = true;
            pending.forEach(watch => watch.end(new StoreError("unreachable", "reset")));
            clock.after(after, () => {
                isAway = false;
                epoch += 1;
                revision = storePosition(epoch, firstRevision)!;
            });
        },
        /** A change is acknowledged now. */
        change(kind: SharedKind = "configuration") {
            revision += 1;
            changedAt.set(kind, revision);
            for (const watch of pending) {
                if (turnedAway(watch.box) === undefined && watch.kind === kind) {
                    clock.after(wayTo(watch.box), () => watch.end(changesSince(watch)));
                }
            }
            return revision;
        },
        /** Boxes whose copy does not hold a revision yet. */
        behind: (wanted: number, kind: SharedKind = "configuration") =>
            records.filter(({ box }) => boxes.get(box)!.revision(kind) < wanted),
        end() {
            lifetime.abort();
            clock.end();
        },
    };

    function startOne(record: MemberRecord): EmulatedBox {
        const membership = createMembership(record);
        records.forEach(other => membership.onHeard(other, milliseconds(0)));
        const probing = createProbing({ membership, random, isAdvertised: box => isStrong(box) });
        const replicas = {
            configuration: createReplica<never>(() => "main", () => undefined),
            servers: createReplica<never>(() => "s", () => undefined),
            closedZones: createReplica<never>(() => "z", () => undefined),
            rollouts: createReplica<never>(() => "r", () => undefined),
        };
        let roundsSinceTold = 0;
        const turnedAway = createUnservedBoxes(record.box, milliseconds(changeBound));
        const relayRole = createRelayRole({
            self: record.box,
            region: record.region,
            alive: () => membership.alive(clock.now()),
            maxPropagationDelay: milliseconds(changeBound),
            turnedAway,
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
            } as unknown as SharedState,
            store: createStore(record),
            relayRole,
            turnedAway,
            self: record.box,
            kinds: replicatedKinds(false),
            readState: (peer, kind, since) => readState(record, peer.peerAddress, kind, since ?? 0),
            publish: tellRegion,
            sendDigestToRegion: tellRegion,
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
        clock.after(random() * gossipInterval, beginRound);
        return box;

        function beginRound(): void {
            clock.after(gossipInterval, beginRound);
            for (const member of probing.nextRound(clock.now())) {
                send(box, boxes.get(member.box)!, { digest: replicator.digest(), asks: true });
            }
            roundsSinceTold += 1;
            if (replicator.isFollowingStore() && roundsSinceTold >= roundsBetweenDigests(milliseconds(changeBound))) {
                tellRegion();
            }
        }

        function tellRegion(): void {
            roundsSinceTold = 0;
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
            clock.after(wayBetween(from.record.region, to.record.region), () => to.onMessage(from, message));
        }
    }

    function createStore(box: MemberRecord): StateStore {
        return {
            list: () => answerAfter(2 * wayTo(box), undefined).then(list),
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
        calls += 1;
        return new Promise((resolve, reject) => {
            const ends: (() => void)[] = [];
            let cancelAnswer: () => void = () => undefined;
            const entry: Watch = { box, kind, since, end, fallSilent };
            signal.addEventListener("abort", () => end(new StoreError("unreachable", "aborted")), { once: true });
            ends.push(clock.after(wait + callTimeout, () => end(new StoreError("silent", "no answer"))));
            ends.push(clock.after(wayTo(box), arrive));

            function arrive(): void {
                const fault = isAway ? "reset" : turnedAway(box);
                if (fault === "reset" || fault === "refused") {
                    clock.after(wayTo(box), () => end(new StoreError("unreachable", fault)));
                    return;
                }
                if (epochOf(since) < epoch) {
                    clock.after(wayTo(box), () => end({ kind: "historyLost" }));
                    return;
                }
                pending.add(entry);
                cancelAnswer = clock.after(isChangedSince(kind, since) ? 0 : wait, answer);
                ends.push(cancelAnswer);
            }

            function fallSilent(): void {
                pending.delete(entry);
                cancelAnswer();
            }

            function answer(): void {
                if (turnedAway(box) === undefined) {
                    clock.after(wayTo(box), () => end(changesSince(entry)));
                }
            }

            function end(outcome: WatchOutcome<never> | StoreError): void {
                pending.delete(entry);
                ends.forEach(cancel => cancel());
                if (outcome instanceof StoreError) {
                    reject(outcome);
                    return;
                }
                resolve(outcome);
            }
        });
    }

    function list() {
        calls += 1;
        if (isAway) {
            throw new StoreError("unreachable", "reset");
        }
        return { revision: epoch === 0 ? firstRevision : revision, items: [] };
    }

    /** A whole configuration is too large for a datagram. */
    function changesSince({ kind, since }: Watch): WatchOutcome<never> {
        return { kind: "changes", changes: isChangedSince(kind, since) ? [change] : [], revision };
    }

    function isChangedSince(kind: SharedKind, since: number): boolean {
        return (changedAt.get(kind) ?? 0) > since;
    }

    async function readState(reader: MemberRecord, address: string, kind: SharedKind, since: number) {
        const peer = [...boxes.values()].find(box => box.record.peerAddress === address)!;
        const roundTrip = 2 * wayBetween(reader.region, peer.record.region);
        await answerAfter(roundTrip, undefined);
        const known = peer.replicator.digest()[kind]!.complete;
        await answerAfter(roundTrip, undefined);
        if (epochOf(known) > epochOf(since)) {
            return { kind: "snapshot" as const, snapshot: { revision: known, items: [] } };
        }
        return {
            kind: "missing" as const,
            missing: { since, revision: known, changes: known > since ? [change] : [] },
        };
    }

    function answerAfter<Answer>(delay: number, answer: Answer): Promise<Answer> {
        return new Promise(resolve => clock.after(delay, () => resolve(answer)));
    }

    function wayTo(box: MemberRecord): number {
        return wayBetween(box.region, storeRegion);
    }
}

const strongOfRegion = 4;
const change = { kind: "put", name: "main", item: undefined as never } as const;

function createRecord(region: RegionId, index: number): MemberRecord {
    const isFirst = index < strongOfRegion;
    return {
        box: boxId(`${isFirst ? "strong" : "weak"}-${region}-${index}`),
        incarnation: incarnationId("1"),
        heartbeat: 1,
        leaving: false,
        ready: true,
        region,
        zone: availabilityZoneId(`${region}-${index % 2}`),
        peerAddress: `${region}-${index}:1`,
        callerAddress: `${region}-${index}:2`,
        capacity: isFirst ? 1.35 : 0.27,
        load: 0,
    };
}

function isStrong(box: string): boolean {
    return box.startsWith("strong");
}

function wayBetween(from: RegionId, to: RegionId): number {
    return from === to ? nearWay : farWay;
}

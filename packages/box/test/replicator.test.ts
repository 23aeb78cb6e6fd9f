import {
    createReplica,
    createUnservedBoxes,
    type RelayRole,
    replicatedKinds,
    type RolloutOrder,
    type SharedKind,
} from "@chalkdale/decisions";
import { type AvailabilityZoneId, availabilityZoneId, boxId, milliseconds, regionId } from "@chalkdale/kernel";
import { createLog } from "@chalkdale/runtime";
import { expect } from "chai";
import { type Replicator, startReplicator } from "../src/state/replicator.js";
import type { SharedState } from "../src/state/shared-state.js";
import type { ReplicaProgress, StateDigest, StateUpdate } from "../src/state/state-messages.js";
import { type StateStore, StoreError, type WatchOutcome } from "../src/state/state-store.js";

const never = new Promise<never>(() => undefined);
const peer = {
    box: boxId("box-9"),
    peerAddress: "192.0.2.9:1",
    region: regionId("north"),
    zone: availabilityZoneId("north-b"),
};
const relayedRole: RelayRole = {
    hasRelay: () => true,
    alwaysFollowsStore: () => false,
    confirmsForRegion: () => false,
    reconnectAfterAge: () => milliseconds(1200),
    followStoreAfterAge: () => milliseconds(60_000),
    isStale: () => false,
    shouldBroadcastUnserved: () => false,
    isAnyUnserved: () => false,
    settleTime: milliseconds(0),
    watchWait: () => milliseconds(900),
};
const unrelayedRole: RelayRole = {
    hasRelay: () => false,
    alwaysFollowsStore: () => true,
    confirmsForRegion: () => true,
    reconnectAfterAge: () => milliseconds(1200),
    followStoreAfterAge: () => milliseconds(0),
    isStale: () => false,
    shouldBroadcastUnserved: () => false,
    isAnyUnserved: () => false,
    settleTime: milliseconds(0),
    watchWait: () => undefined,
};

describe("replicator [P8]", () => {
    let lifetime: AbortController;
    let readKinds: SharedKind[];
    let published: StateUpdate[];
    /** Address of a box that doesn't answer reads. */
    let unresponsivePeer: string | undefined;
    /** Changes of servers, each of which counts as a cold start. */
    let serverChanges: number;

    beforeEach(() => {
        lifetime = new AbortController();
        readKinds = [];
        published = [];
        unresponsivePeer = undefined;
        serverChanges = 0;
    });

    afterEach(() => lifetime.abort());

    /** Starts a replicator whose replicas are at revision 5. Its watches are never answered unless `watch` is given. */
    async function start(relayRole: RelayRole, watch: StateStore["watch"] = () => never, hasRollouts = false) {
        const zones: AvailabilityZoneId[][] = [];
        const replicas = {
            configuration: createReplica<never>(() => "main", () => undefined),
            servers: createReplica<never>(() => "s", () => serverChanges += 1),
            closedZones: createReplica<AvailabilityZoneId>(zone => zone, items => zones.push([...items])),
            rollouts: createReplica<RolloutOrder>(order => order.service, () => undefined),
        };
        const replicator = startReplicator({
            clock: () => milliseconds(performance.now()),
            random: () => 0.5,
            log: createLog({ write: () => undefined }),
            region: regionId("north"),
            state: {
                replica: (kind: SharedKind) => replicas[kind],
                coldStarts: () => serverChanges,
            } as unknown as SharedState,
            store: {
                list: () => Promise.resolve({ revision: 5, items: [] }),
                watch,
                registerBox: () => never,
                listBoxes: () => never,
                writeRolloutState: () => never,
                readRollout: () => never,
            },
            relayRole,
            unservedBoxes: createUnservedBoxes(boxId("box-1"), milliseconds(3000)),
            self: boxId("box-1"),
            kinds: replicatedKinds(hasRollouts),
            readState({ peerAddress }, kind, since) {
                readKinds.push(kind);
                if (peerAddress === unresponsivePeer) {
                    return never;
                }
                return Promise.resolve({ kind: "missing", missing: { since: since ?? 0, revision: 9, changes: [] } });
            },
            publish: update => published.push(update),
            sendDigestToRegion: () => undefined,
            signal: lifetime.signal,
        });
        await until(() => replicatedKinds(hasRollouts).every(kind => (replicas[kind].revision() ?? 0) >= 5));
        return { replicator, replicas, zones };
    }

    const digestWithClosedZones = (state: ReplicaProgress): StateDigest => ({
        configuration: { changed: 5, complete: 5, age: 0 },
        servers: { changed: 5, complete: 5, age: 0 },
        closedZones: state,
    });

    for (
        const [name, relayRole] of [["its own watch is not answered", unrelayedRole], [
            "a relay's datagram is lost",
            relayedRole,
        ]] as const
    ) {
        it(`reads a snapshot after one digest that has later changes, when ${name}`, async () => {
            const { replicator, replicas } = await start(relayRole);
            replicator.onDigest(peer, digestWithClosedZones({ changed: 7, complete: 8, age: 0 }));
            await until(() => replicas.closedZones.revision() === 9);
            expect(readKinds).to.deep.equal(["closedZones"]);
        });
    }

    it("reads from another box while a read is not answered", async () => {
        const { replicator, replicas } = await start(unrelayedRole);
        const digest = digestWithClosedZones({ changed: 7, complete: 8, age: 0 });
        unresponsivePeer = peer.peerAddress;
        replicator.onDigest(peer, digest);
        await until(() => readKinds.length === 1);
        const other = { ...peer, box: boxId("box-8"), peerAddress: "192.0.2.8:1" };
        await until(() => {
            replicator.onDigest(other, digest);
            return replicas.closedZones.revision() === 9;
        });
        expect(readKinds).to.have.length(2);
    });

    it("continues with the other kinds while answers about one are unreadable, and reads that one's list", async () => {
        const watched: SharedKind[] = [];
        const watch = (kind: SharedKind) => {
            watched.push(kind);
            return kind === "servers"
                ? Promise.reject(new StoreError("unreadable", "watch of servers"))
                : new Promise<WatchOutcome<never>>(resolve =>
                    setTimeout(() => resolve({ kind: "changes", changes: [], revision: 5 }), 20)
                );
        };
        const { replicator } = await start(unrelayedRole, watch);
        const countOf = (kind: SharedKind) => watched.filter(other => other === kind).length;
        await until(() => countOf("servers") >= 3);
        expect(replicator.storeUnavailableFor()).to.equal(0);
        const before = countOf("closedZones");
        await until(() => countOf("closedZones") > before);
    });

    it("applies a relay's update, and reads no snapshot then", async () => {
        const { replicator, zones } = await start(relayedRole);
        const change = { kind: "put", name: "north-a", item: availabilityZoneId("north-a") } as const;
        replicator.onUpdate({ kind: "closedZones", since: 5, complete: 7, changes: [change] });
        replicator.onDigest(peer, digestWithClosedZones({ changed: 7, complete: 8, age: 0 }));
        expect(zones.at(-1)).to.deep.equal(["north-a"]);
        expect(replicator.digest().closedZones).to.include({ changed: 7, complete: 8 });
        expect(readKinds).to.deep.equal([]);
    });

    it("takes no age from a box that has later changes, and the lowest from boxes with the same changes", async () => {
        const { replicator } = await start(relayedRole);
        const ageOf = (of: Replicator) => of.digest().closedZones.age;
        const before = ageOf(replicator);
        replicator.onDigest(peer, digestWithClosedZones({ changed: 7, complete: 7, age: -10_000 }));
        expect(ageOf(replicator)).to.be.at.least(before);
        replicator.onDigest(peer, digestWithClosedZones({ changed: 5, complete: 5, age: -10_000 }));
        expect(ageOf(replicator)).to.be.lessThan(-5000);
    });

    it("calls the store again after an outage although other boxes confirm the kind whose call failed", async () => {
        let isUnavailable = true;
        const failed = new Set<SharedKind>();
        const watched = new Set<SharedKind>();
        const watch = (kind: SharedKind) => {
            if (isUnavailable) {
                failed.add(kind);
                return Promise.reject(new StoreError("silent", "outage"));
            }
            watched.add(kind);
            return Promise.resolve({ kind: "changes" as const, changes: [], revision: 5 });
        };
        const { replicator } = await start({ ...relayedRole, followStoreAfterAge: () => milliseconds(100) }, watch);
        await until(() => failed.size > 0);
        const [failedKind] = failed;
        isUnavailable = false;
        const fresh = { changed: 5, complete: 5, age: -60_000 };
        const { configuration, servers, closedZones } = replicator.digest();
        replicator.onDigest(peer, { configuration, servers, closedZones, [failedKind]: fresh });
        await until(() => watched.size === 2);
        expect(watched.has(failedKind)).to.equal(false);
        expect(replicator.storeUnavailableFor()).to.equal(0);
    });

    describe("with roll-out orders", () => {
        const digest = {
            ...digestWithClosedZones({ changed: 5, complete: 5, age: 0 }),
            rollouts: { changed: 7, complete: 8, age: 0 },
        };

        it("neither calls the store nor exchanges them with other boxes if the box replicates none", async () => {
            const watched = new Set<SharedKind>();
            const watch = (kind: SharedKind) => {
                watched.add(kind);
                return never;
            };
            const { replicator, replicas } = await start({ ...relayedRole, alwaysFollowsStore: () => true }, watch);
            replicator.onDigest(peer, digest);
            await until(() => watched.size === 3);
            expect(watched).not.to.include("rollouts");
            expect(replicator.digest()).not.to.have.property("rollouts");
            expect([readKinds, replicas.rollouts.revision()]).to.deep.equal([[], undefined]);
        });

        it("reads the ones that it lacks, and returns their age only once the store has confirmed them", async () => {
            const { replicator, replicas } = await start(relayedRole, undefined, true);
            expect(replicator.provenAge("rollouts")).to.equal(undefined);
            replicator.onDigest(peer, digest);
            await until(() => replicas.rollouts.revision() === 9);
            replicator.onDigest(peer, { ...digest, rollouts: { changed: 7, complete: 9, age: 0 } });
            expect(replicator.provenAge("rollouts"), "confirmed by a stale list only").to.equal(undefined);
            replicator.onDigest(peer, { ...digest, rollouts: { changed: 7, complete: 9, age: 0, provenAge: 40 } });
            expect(replicator.provenAge("rollouts")).to.be.within(40, 10_000);
        });
    });

    it("relays the changes of its own watch, as those since the last change before them", async () => {
        let isSent = false;
        const change = { kind: "put", name: "north-a", item: availabilityZoneId("north-a") } as const;
        const watch = (kind: SharedKind) => {
            if (kind !== "closedZones" || isSent) {
                return never;
            }
            isSent = true;
            return Promise.resolve({ kind: "changes", changes: [change], revision: 12 });
        };
        await start({ ...relayedRole, alwaysFollowsStore: () => true }, watch as unknown as StateStore["watch"]);
        await until(() => published.length > 0);
        expect(published).to.deep.equal([{ kind: "closedZones", since: 5, complete: 12, changes: [change] }]);
    });

    it("sends the boxes of a region without a relay the changes by which servers have turned cold, and no others", async () => {
        const sent = new Set<SharedKind>();
        const changeOf = (kind: SharedKind) => ({ kind: "put", name: kind, item: kind }) as const;
        const watch = (kind: SharedKind) => {
            if (sent.has(kind)) {
                return never;
            }
            sent.add(kind);
            return Promise.resolve({ kind: "changes", changes: [changeOf(kind)], revision: 12 });
        };
        const { replicas } = await start(unrelayedRole, watch as unknown as StateStore["watch"]);
        await until(() => replicatedKinds(false).every(kind => replicas[kind].revision() === 12));
        expect(published).to.deep.equal([
            { kind: "servers", since: 5, complete: 12, changes: [changeOf("servers")] },
        ]);
    });
});

async function until(condition: () => boolean): Promise<void> {
    while (!condition()) {
        await new Promise(resolve => setTimeout(resolve, 5));
    }
}

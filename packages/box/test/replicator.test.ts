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
const relayed: RelayRole = {
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
const unrelayed: RelayRole = {
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
    let read: SharedKind[];
    let published: StateUpdate[];
    /** Address of the box that does not answer reads. */
    let silentPeer: string | undefined;

    beforeEach(() => {
        lifetime = new AbortController();
        read = [];
        published = [];
        silentPeer = undefined;
    });

    afterEach(() => lifetime.abort());

    /** Starts a replicator whose copies are as of revision 5; its watches bring nothing unless told otherwise. */
    async function start(relayRole: RelayRole, watch: StateStore["watch"] = () => never, hasRollouts = false) {
        const zones: AvailabilityZoneId[][] = [];
        const replicas = {
            configuration: createReplica<never>(() => "main", () => undefined),
            servers: createReplica<never>(() => "s", () => undefined),
            closedZones: createReplica<AvailabilityZoneId>(zone => zone, items => zones.push([...items])),
            rollouts: createReplica<RolloutOrder>(order => order.service, () => undefined),
        };
        const replicator = startReplicator({
            clock: () => milliseconds(performance.now()),
            random: () => 0.5,
            log: createLog({ write: () => undefined }),
            region: regionId("north"),
            state: { replica: (kind: SharedKind) => replicas[kind] } as unknown as SharedState,
            store: {
                list: () => Promise.resolve({ revision: 5, items: [] }),
                watch,
                registerBox: () => never,
                listBoxes: () => never,
                writeRolloutState: () => never,
                readRollout: () => never,
            },
            relayRole,
            turnedAway: createUnservedBoxes(boxId("box-1"), milliseconds(3000)),
            self: boxId("box-1"),
            kinds: replicatedKinds(hasRollouts),
            readState({ peerAddress }, kind, since) {
                read.push(kind);
                if (peerAddress === silentPeer) {
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

    const digestOf = (state: ReplicaProgress): StateDigest => ({
        configuration: { changed: 5, complete: 5, age: 0 },
        servers: { changed: 5, complete: 5, age: 0 },
        closedZones: state,
    });

    for (
        const [name, relayRole] of [["the own watch is silent", unrelayed], [
            "a relay's datagram was lost",
            relayed,
        ]] as const
    ) {
        it(`reads a snapshot after one message that tells of more, when ${name}`, async () => {
            const { replicator, replicas } = await start(relayRole);
            replicator.onDigest(peer, digestOf({ changed: 7, complete: 8, age: 0 }));
            await until(() => replicas.closedZones.revision() === 9);
            expect(read).to.deep.equal(["closedZones"]);
        });
    }

    it("reads from another box while one that it reads from does not answer", async () => {
        const { replicator, replicas } = await start(unrelayed);
        const told = digestOf({ changed: 7, complete: 8, age: 0 });
        silentPeer = peer.peerAddress;
        replicator.onDigest(peer, told);
        await until(() => read.length === 1);
        const other = { ...peer, box: boxId("box-8"), peerAddress: "192.0.2.8:1" };
        await until(() => {
            replicator.onDigest(other, told);
            return replicas.closedZones.revision() === 9;
        });
        expect(read).to.have.length(2);
    });

    it("goes on with the other kinds while the answers about one make no sense, and asks for its list then", async () => {
        const watched: SharedKind[] = [];
        const watch = (kind: SharedKind) => {
            watched.push(kind);
            return kind === "servers"
                ? Promise.reject(new StoreError("unreadable", "watch of servers"))
                : new Promise<WatchOutcome<never>>(resolve =>
                    setTimeout(() => resolve({ kind: "changes", changes: [], revision: 5 }), 20)
                );
        };
        const { replicator } = await start(unrelayed, watch);
        const countOf = (kind: SharedKind) => watched.filter(other => other === kind).length;
        await until(() => countOf("servers") >= 3);
        expect(replicator.storeUnavailableFor()).to.equal(0);
        const before = countOf("closedZones");
        await until(() => countOf("closedZones") > before);
    });

    it("takes what a relay passes on, and reads no snapshot then", async () => {
        const { replicator, zones } = await start(relayed);
        const change = { kind: "put", name: "north-a", item: availabilityZoneId("north-a") } as const;
        replicator.onUpdate({ kind: "closedZones", since: 5, complete: 7, changes: [change] });
        replicator.onDigest(peer, digestOf({ changed: 7, complete: 8, age: 0 }));
        expect(zones.at(-1)).to.deep.equal(["north-a"]);
        expect(replicator.digest().closedZones).to.include({ changed: 7, complete: 8 });
        expect(read).to.deep.equal([]);
    });

    it("takes no age from a box that knows more, and the youngest from boxes that know the same", async () => {
        const { replicator } = await start(relayed);
        const ageOf = (of: Replicator) => of.digest().closedZones.age;
        const before = ageOf(replicator);
        replicator.onDigest(peer, digestOf({ changed: 7, complete: 7, age: -10_000 }));
        expect(ageOf(replicator)).to.be.at.least(before);
        replicator.onDigest(peer, digestOf({ changed: 5, complete: 5, age: -10_000 }));
        expect(ageOf(replicator)).to.be.lessThan(-5000);
    });

    it("goes on to call a store that was out, though the kind that found out hears of its copy from others", async () => {
        let isOut = true;
        const failed = new Set<SharedKind>();
        const watched = new Set<SharedKind>();
        const watch = (kind: SharedKind) => {
            if (isOut) {
                failed.add(kind);
                return Promise.reject(new StoreError("silent", "out"));
            }
            watched.add(kind);
            return Promise.resolve({ kind: "changes" as const, changes: [], revision: 5 });
        };
        const { replicator } = await start({ ...relayed, followStoreAfterAge: () => milliseconds(100) }, watch);
        await until(() => failed.size > 0);
        const [finder] = failed;
        isOut = false;
        const fresh = { changed: 5, complete: 5, age: -60_000 };
        const { configuration, servers, closedZones } = replicator.digest();
        replicator.onDigest(peer, { configuration, servers, closedZones, [finder]: fresh });
        await until(() => watched.size === 2);
        expect(watched.has(finder)).to.equal(false);
        expect(replicator.storeUnavailableFor()).to.equal(0);
    });

    describe("of orders of roll-outs", () => {
        const told = {
            ...digestOf({ changed: 5, complete: 5, age: 0 }),
            rollouts: { changed: 7, complete: 8, age: 0 },
        };

        it("neither calls the store nor tells or asks other boxes where there are none", async () => {
            const watched = new Set<SharedKind>();
            const watch = (kind: SharedKind) => {
                watched.add(kind);
                return never;
            };
            const { replicator, replicas } = await start({ ...relayed, alwaysFollowsStore: () => true }, watch);
            replicator.onDigest(peer, told);
            await until(() => watched.size === 3);
            expect(watched).not.to.include("rollouts");
            expect(replicator.digest()).not.to.have.property("rollouts");
            expect([read, replicas.rollouts.revision()]).to.deep.equal([[], undefined]);
        });

        it("reads what it lacks, and knows when the store has confirmed it", async () => {
            const { replicator, replicas } = await start(relayed, undefined, true);
            expect(replicator.provenAge("rollouts")).to.equal(undefined);
            replicator.onDigest(peer, told);
            await until(() => replicas.rollouts.revision() === 9);
            replicator.onDigest(peer, { ...told, rollouts: { changed: 7, complete: 9, age: 0 } });
            expect(replicator.provenAge("rollouts"), "told by an old list").to.equal(undefined);
            replicator.onDigest(peer, { ...told, rollouts: { changed: 7, complete: 9, age: 0, provenAge: 40 } });
            expect(replicator.provenAge("rollouts")).to.be.within(40, 10_000);
        });
    });

    it("passes on what its own watch brings, as following the last change before it", async () => {
        let told = false;
        const change = { kind: "put", name: "north-a", item: availabilityZoneId("north-a") } as const;
        const watch = (kind: SharedKind) => {
            if (kind !== "closedZones" || told) {
                return never;
            }
            told = true;
            return Promise.resolve({ kind: "changes", changes: [change], revision: 12 });
        };
        await start({ ...relayed, alwaysFollowsStore: () => true }, watch as unknown as StateStore["watch"]);
        await until(() => published.length > 0);
        expect(published).to.deep.equal([{ kind: "closedZones", since: 5, complete: 12, changes: [change] }]);
    });
});

async function until(condition: () => boolean): Promise<void> {
    while (!condition()) {
        await new Promise(resolve => setTimeout(resolve, 5));
    }
}

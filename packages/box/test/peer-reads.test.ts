import type { MemberStatus, MissingChanges, SharedKind, Snapshot } from "@chalkdale/decisions";
import { availabilityZoneId, boxId, regionId } from "@chalkdale/kernel";
import { expect } from "chai";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { createPeerListener, createPeerReads, type PeerReads } from "../src/peers/peer-reads.js";
import type { StatePeer } from "../src/state/state-reader.js";
import { startRawServer, unrequestedUpgrade } from "./raw-server.js";
import { sampleMember } from "./sample-member.js";

/** Items of a snapshot that is large enough to be compressed. */
const zones = Array.from({ length: 300 }, (_, index) => availabilityZoneId(`north-${index}`));
const locality = { box: boxId("box-1"), region: regionId("north"), zone: availabilityZoneId("north-1") };

describe("reads between boxes", () => {
    let server: Server;
    let peer: StatePeer;
    let reads: PeerReads;
    let countedTraffic: { readonly purpose: string; readonly bytes: number; }[];
    let keptChanges: MissingChanges<unknown> | undefined;
    let snapshot: Snapshot<unknown> | undefined;
    let members: readonly MemberStatus[];

    beforeEach(async () => {
        countedTraffic = [];
        keptChanges = undefined;
        snapshot = { revision: 9, items: zones };
        members = [{ record: sampleMember("a"), heardAgo: 7, suspectedFor: undefined }];
        server = createServer(createPeerListener({
            members: () => members,
            snapshot: (kind: SharedKind) => kind === "closedZones" ? snapshot : undefined,
            changesSince: (_kind, since) => keptChanges?.since === since ? keptChanges : undefined,
        }));
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        peer = { peerAddress: `127.0.0.1:${(server.address() as AddressInfo).port}`, ...locality };
        reads = createPeerReads({
            countTraffic: (purpose, _locality, bytes) => countedTraffic.push({ purpose, bytes }),
            signal: new AbortController().signal,
        });
    });

    afterEach(() => {
        server.close();
    });

    it("transfer a whole snapshot compressed to less than half its size", async () => {
        const read = await reads.readState(peer, "closedZones", undefined);
        expect(read).to.deep.equal({ kind: "snapshot", snapshot });
        expect(countedTraffic).to.have.length(1);
        expect(countedTraffic[0].bytes).to.be.lessThan(JSON.stringify(snapshot).length / 2);
    });

    // Guards against boxes that never read from another one again: the read stayed pending for good.
    it("fail if the answer is a change of protocol", async () => {
        const raw = await startRawServer(() => unrequestedUpgrade);
        const error = await reads.readMembers({ ...peer, peerAddress: raw.address }).catch((reason: unknown) => reason);
        raw.close();
        expect(String(error)).to.include("closed without an answer");
    });

    it("return entries that a replica retains after the store has lost them, and reject invalid ones", async () => {
        snapshot = { revision: 9, items: ["north-1"], held: [{ kind: "gone", name: "north-2" }] };
        expect(await reads.readState(peer, "closedZones", undefined)).to.deep.equal({ kind: "snapshot", snapshot });
        for (const held of [7, [{ kind: "put", name: "north-3", item: 7 }], [{ name: "north-3" }]]) {
            snapshot = { revision: 9, items: [], held } as Snapshot<unknown>;
            const error = await reads.readState(peer, "closedZones", undefined).catch((reason: unknown) => reason);
            expect(String(error)).to.include("answer is neither a snapshot nor missing changes");
        }
    });

    it("return only the missing changes if the other box still keeps them", async () => {
        keptChanges = { since: 7, revision: 9, changes: [{ kind: "gone", name: "north-1" }] };
        expect(await reads.readState(peer, "closedZones", 7)).to.deep.equal({ kind: "missing", missing: keptChanges });
        expect((await reads.readState(peer, "closedZones", 3)).kind).to.equal("snapshot");
    });

    it("return the members", async () => {
        expect(await reads.readMembers(peer)).to.deep.equal(members);
        expect(countedTraffic.map(({ purpose }) => purpose)).to.deep.equal(["members"]);
    });

    // Guards against boxes that end because they send to an address that another box has passed on.
    it("return no members to which nothing can be sent", async () => {
        const [sound] = members;
        const odd = { ...sound, record: { ...sound.record, peerAddress: "192.0.2.1:70000" } };
        members = [odd, sound];
        expect(await reads.readMembers(peer)).to.deep.equal([sound]);
    });

    it("reject an invalid answer, and fail if the other box has no replica", async () => {
        keptChanges = { since: 7, revision: 9, changes: [{ kind: "put", name: "x", item: 5 }] };
        snapshot = { revision: 9, items: [5] };
        for (const since of [undefined, 7]) {
            const error = await reads.readState(peer, "closedZones", since).catch((reason: unknown) => reason);
            expect(String(error)).to.include("answer is neither a snapshot nor missing changes");
        }
        const error = await reads.readState(peer, "servers", undefined).catch((reason: unknown) => reason);
        expect(String(error)).to.include("404");
    });
});

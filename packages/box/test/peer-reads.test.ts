import type { MemberRecord, MemberStatus, MissingChanges, SharedKind, Snapshot } from "@chalkdale/decisions";
import { availabilityZoneId, boxId, regionId } from "@chalkdale/kernel";
import { expect } from "chai";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { createPeerListener, createPeerReads, type PeerReads } from "../src/peers/peer-reads.js";
import type { StatePeer } from "../src/state/state-reader.js";

/** A copy that is large enough to be compressed. */
const zones = Array.from({ length: 300 }, (_, index) => availabilityZoneId(`north-${index}`));
const place = { box: boxId("box-1"), region: regionId("north"), zone: availabilityZoneId("north-1") };

describe("reads between boxes", () => {
    let server: Server;
    let peer: StatePeer;
    let reads: PeerReads;
    let counted: { readonly purpose: string; readonly bytes: number; }[];
    let kept: MissingChanges<unknown> | undefined;
    let snapshot: Snapshot<unknown> | undefined;
    let members: readonly MemberStatus[];

    beforeEach(async () => {
        counted = [];
        kept = undefined;
        snapshot = { revision: 9, items: zones };
        const record = { box: "a" } as unknown as MemberRecord;
        members = [{ record, heardAgo: 7, suspectedFor: undefined }];
        server = createServer(createPeerListener({
            members: () => members,
            snapshot: (kind: SharedKind) => kind === "closedZones" ? snapshot : undefined,
            changesSince: (_kind, since) => kept?.since === since ? kept : undefined,
        }));
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        peer = { peerAddress: `127.0.0.1:${(server.address() as AddressInfo).port}`, ...place };
        reads = createPeerReads({
            countTraffic: (purpose, _place, bytes) => counted.push({ purpose, bytes }),
            signal: new AbortController().signal,
        });
    });

    afterEach(() => {
        server.close();
    });

    it("bring a whole copy in a fraction of its bytes", async () => {
        const read = await reads.readState(peer, "closedZones", undefined);
        expect(read).to.deep.equal({ kind: "snapshot", snapshot });
        expect(counted).to.have.length(1);
        expect(counted[0].bytes).to.be.lessThan(JSON.stringify(snapshot).length / 2);
    });

    it("bring what is held against the store's word beside what the store has, and refuse what makes no sense of it", async () => {
        snapshot = { revision: 9, items: ["north-1"], held: [{ kind: "gone", name: "north-2" }] };
        expect(await reads.readState(peer, "closedZones", undefined)).to.deep.equal({ kind: "snapshot", snapshot });
        for (const held of [7, [{ kind: "put", name: "north-3", item: 7 }], [{ name: "north-3" }]]) {
            snapshot = { revision: 9, items: [], held } as Snapshot<unknown>;
            const error = await reads.readState(peer, "closedZones", undefined).catch((reason: unknown) => reason);
            expect(String(error)).to.include("not a snapshot");
        }
    });

    it("bring only what is missing, if the other box still has these changes", async () => {
        kept = { since: 7, revision: 9, changes: [{ kind: "gone", name: "north-1" }] };
        expect(await reads.readState(peer, "closedZones", 7)).to.deep.equal({ kind: "missing", missing: kept });
        expect((await reads.readState(peer, "closedZones", 3)).kind).to.equal("snapshot");
    });

    it("bring the members", async () => {
        expect(await reads.readMembers(peer)).to.deep.equal(members);
        expect(counted.map(({ purpose }) => purpose)).to.deep.equal(["members"]);
    });

    it("refuse what they can't use, and fail where there is no copy", async () => {
        kept = { since: 7, revision: 9, changes: [{ kind: "put", name: "x", item: 5 }] };
        snapshot = { revision: 9, items: [5] };
        for (const since of [undefined, 7]) {
            const error = await reads.readState(peer, "closedZones", since).catch((reason: unknown) => reason);
            expect(String(error)).to.include("not a snapshot");
        }
        const error = await reads.readState(peer, "servers", undefined).catch((reason: unknown) => reason);
        expect(String(error)).to.include("404");
    });
});

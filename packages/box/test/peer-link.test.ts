import { createMembership, type MemberRecord } from "@chalkdale/decisions";
import { availabilityZoneId, boxId, incarnationId, milliseconds, regionId } from "@chalkdale/kernel";
import { createLog } from "@chalkdale/runtime";
import { expect } from "chai";
import { createSocket, type Socket } from "node:dgram";
import { once } from "node:events";
import type { AddressInfo } from "node:net";
import { type PeerLink, startPeerLink } from "../src/peers/peer-link.js";
import { type PeerMessage, readMessage } from "../src/peers/peer-messages.js";
import type { StateUpdate } from "../src/state/state-messages.js";

const copy = { changed: 7, complete: 7, age: 0 };

function createRecord(box: string, peerAddress: string): MemberRecord {
    const place = { region: regionId("north"), zone: availabilityZoneId("north-a") };
    const state = { heartbeat: 1, leaving: false, ready: true, capacity: 1, load: 0 };
    return { box: boxId(box), incarnation: incarnationId("1"), peerAddress, callerAddress: "", ...place, ...state };
}

function createUpdate(size: number): StateUpdate {
    const item = availabilityZoneId("z".repeat(size));
    return { kind: "closedZones", since: 5, complete: 7, changes: [{ kind: "put", name: "z", item }] };
}

describe("the link between boxes [P8]", () => {
    let lifetime: AbortController;
    let other: Socket;
    let link: PeerLink;

    beforeEach(async () => {
        lifetime = new AbortController();
        other = createSocket("udp4");
        other.bind(0, "127.0.0.1");
        await once(other, "listening");
        const membership = createMembership(createRecord("box-1", "127.0.0.1:1"));
        const address = other.address() as AddressInfo;
        membership.onHeard(createRecord("box-2", `127.0.0.1:${address.port}`), milliseconds(0));
        link = startPeerLink({
            clock: () => milliseconds(0),
            random: () => 0.5,
            log: createLog({ write: () => undefined }),
            listen: { host: "127.0.0.1", port: 0 },
            region: regionId("north"),
            membership,
            digest: () => ({ configuration: copy, servers: copy, closedZones: copy, turnedAway: true }),
            onDigest: () => undefined,
            onUpdate: () => undefined,
            isAdvertised: () => true,
            isFollowingStore: () => false,
            roundsBetweenDigests: 2,
            serverReports: { current: () => [], onReports: () => undefined },
            onLimits: () => undefined,
            limits: () => undefined,
            snapshot: () => undefined,
            changesSince: () => undefined,
            readMembers: () => Promise.resolve([]),
            countTraffic: () => undefined,
            onPoisonRequestReports: () => undefined,
            poisonRequestReports: () => undefined,
            onQuota: () => undefined,
            onRollout: () => undefined,
            rolloutUpdate: () => undefined,
            signal: lifetime.signal,
        });
    });

    afterEach(() => {
        lifetime.abort();
        other.close();
    });

    /** The next message that is no question of a round. */
    async function nextTold(): Promise<PeerMessage> {
        for (;;) {
            const [data] = await once(other, "message") as [Buffer];
            const message = readMessage(data) as PeerMessage;
            if (message.asks !== true) {
                return message;
            }
        }
    }

    it("passes changes on to the boxes of the region", async () => {
        const told = nextTold();
        link.publish(createUpdate(10));
        expect((await told).update).to.deep.equal(createUpdate(10));
    });

    it("tells them at once of changes that are too large for a datagram, and whether the store turns the box away", async () => {
        const told = nextTold();
        link.publish(createUpdate(9000));
        const { digest, update } = await told;
        expect(update).to.equal(undefined);
        expect(digest).to.deep.include({ closedZones: copy, turnedAway: true });
    });
});

/**
 * Guards against changes that never come into force after the store was restored from an older snapshot: its revisions
 * are lower then, and boxes took its lists for stale.
 */

import { milliseconds } from "@chalkdale/kernel";
import { expect } from "chai";
import type { ServerStandIn } from "../src/standins/backend-server.js";
import { type ClientAnswer, sendRequest } from "../src/standins/client.js";
import {
    pause,
    startTestDeployment,
    type TestBox,
    type TestDeployment,
    testHost,
    waitUntil,
} from "../src/standins/deployment.js";
import type { StoreSnapshot } from "../src/standins/metadata-store.js";
import type { RuleOptions } from "../src/standins/platform-objects.js";

const zones = ["north-a", "north-b", "south-a"];
const serverCount = 12;
const callers = 8;
/** Milliseconds after which an acknowledged write must be in force, and a leaving server must receive nothing. */
const inForceWithin = 2500;
/** Milliseconds for which the store is down before it is restored. */
const downFor = 700;
/** Milliseconds between the snapshot and the writes that the restore loses. */
const snapshotAge = 1500;
/** Milliseconds after which the operator and the servers repeat the writes that were lost. */
const repeatedAfter = 1500;

const firstRoute: RuleOptions = { name: "first", path: "/first/", kind: "safe" };
const lostRoute: RuleOptions = { name: "lost", path: "/lost/", kind: "safe" };
const newRoute: RuleOptions = { name: "new", path: "/new/", kind: "safe" };

describe("boxes and a store that is restored from an older snapshot [P8]", () => {
    let deployment: TestDeployment;
    let boxes: readonly TestBox[];
    let servers: readonly ServerStandIn[];

    beforeEach(async () => {
        deployment = await startTestDeployment({ storeEpoch: 7 });
        servers = await Promise.all(Array.from({ length: serverCount }, async (_, index) => {
            const server = await deployment.addServer({ id: `i-${index}`, zone: zones[index % zones.length] });
            server.setWork(20);
            return server;
        }));
        deployment.configure(2, [firstRoute]);
        boxes = await deployment.startBoxes([...zones, ...zones, ...zones]);
    });

    afterEach(() => deployment.close());

    const writeRecord = (index: number, state: "ready" | "draining") =>
        deployment.writeServerRecord(servers[index], { zone: zones[index % zones.length], state });

    /** Raises the store's revision by writes of other writers. */
    function raiseRevision(count: number): void {
        for (let index = 0; index < count; index++) {
            deployment.store.put("others", `o-${index % 3}`, { count: performance.now() });
        }
    }

    /** Takes the store down for a while and restores it from the snapshot. */
    async function restore(snapshot: StoreSnapshot): Promise<void> {
        const { store, storeServer } = deployment;
        storeServer.setFault(() => ({ kind: "reset" }));
        storeServer.dropConnections();
        await pause(milliseconds(downFor));
        store.restore(snapshot);
        storeServer.setFault(() => ({ kind: "none" }));
    }

    function ask(box: TestBox, path: string, index: number): Promise<ClientAnswer> {
        return sendRequest({
            address: box.callerAddress,
            host: testHost,
            path,
            requestId: `r-${index}-${performance.now()}`,
            affinityKey: `k${index % 40}`,
        });
    }

    /** Sends one request to each box, and returns the statuses. */
    async function statusesOf(path: string): Promise<readonly number[]> {
        const answers = await Promise.all(boxes.map((box, index) => ask(box, path, index)));
        return answers.map(({ status }) => status);
    }

    /** Lets all callers send requests to the boxes in turn for a time. */
    async function sendTraffic(duration: number): Promise<readonly ClientAnswer[]> {
        const until = performance.now() + duration;
        const answers: ClientAnswer[] = [];
        await Promise.all(Array.from({ length: callers }, async (_, caller) => {
            for (let count = 0; performance.now() < until; count++) {
                answers.push(await ask(boxes[(caller + count) % boxes.length], "/first/", caller * 7 + count));
                await pause(milliseconds(10));
            }
        }));
        return answers;
    }

    /** Returns how many requests each of the servers receives while callers send requests for a time. */
    async function arrivalsDuring(duration: number, ...indexes: readonly number[]): Promise<readonly number[]> {
        const before = indexes.map(index => servers[index].arrivals());
        await sendTraffic(duration);
        return indexes.map((index, position) => servers[index].arrivals() - before[position]);
    }

    const allServed = Array.from({ length: 9 }, () => 200);

    describe("put later writes into force", () => {
        for (
            const [name, extraRevisions] of [["stay below the earlier ones", 0], [
                "pass the earlier ones at once",
                40,
            ]] as const
        ) {
            it(`when its revisions ${name}`, async () => {
                const snapshot = deployment.store.takeSnapshot();
                await pause(milliseconds(snapshotAge));
                raiseRevision(22);
                await pause(milliseconds(inForceWithin));
                await restore(snapshot);
                deployment.configure(3, [firstRoute, newRoute]);
                writeRecord(0, "draining");
                raiseRevision(extraRevisions);
                await pause(milliseconds(inForceWithin));
                expect(await statusesOf("/new/")).to.deep.equal(allServed);
                expect(await arrivalsDuring(1500, 0)).to.deep.equal([0]);
            });
        }

        it("when it is restored a second time", async () => {
            const snapshot = deployment.store.takeSnapshot();
            await pause(milliseconds(snapshotAge));
            raiseRevision(22);
            await pause(milliseconds(inForceWithin));
            await restore(snapshot);
            await pause(milliseconds(500));
            await restore(snapshot);
            await pause(milliseconds(500));
            deployment.configure(3, [firstRoute, newRoute]);
            writeRecord(0, "draining");
            await pause(milliseconds(inForceWithin));
            expect(await statusesOf("/new/")).to.deep.equal(allServed);
            expect(await arrivalsDuring(1500, 0)).to.deep.equal([0]);
        });
    });

    it("write their records again if they started after the snapshot", async () => {
        const recordedBoxes = () => {
            const { items } = deployment.store.list("chalkdale-boxes").body as {
                items: { metadata: { name: string; }; }[];
            };
            return items.map(({ metadata }) => metadata.name).sort();
        };
        await waitUntil(() => recordedBoxes().length === boxes.length, "all boxes are in the snapshot");
        const snapshot = deployment.store.takeSnapshot();
        const added = deployment.startBox({ zone: "south-a", host: "127.0.0.40", seeds: [boxes[0].peerAddress] });
        await waitUntil(() => added.running.isReady() && recordedBoxes().includes(added.name), "it is recorded");
        await restore(snapshot);
        expect(recordedBoxes()).not.to.include(added.name);
        await waitUntil(() => recordedBoxes().includes(added.name), "it is recorded again");
        expect(recordedBoxes()).to.have.length(boxes.length + 1);
    });

    describe("keep acknowledged writes in force that it has lost", () => {
        it("until they are repeated: a route, a closed zone, and servers that drain or left", async () => {
            const snapshot = deployment.store.takeSnapshot();
            await pause(milliseconds(snapshotAge));
            const writeLost = async () => {
                deployment.configure(3, [firstRoute, lostRoute]);
                deployment.store.put("evacuations", "south-a", {});
                writeRecord(0, "draining");
                deployment.store.delete("servers", "i-1");
            };
            await writeLost();
            await pause(milliseconds(inForceWithin));
            await restore(snapshot);
            expect(await statusesOf("/lost/")).to.deep.equal(allServed);
            const inSouth = servers.flatMap((_, index) => index % zones.length === 2 ? [index] : []);
            expect(await arrivalsDuring(repeatedAfter, 0, 1, ...inSouth)).to.deep.equal([0, 0, 0, 0, 0, 0]);
            expect(await statusesOf("/lost/")).to.deep.equal(allServed);
            await writeLost();
            expect(await arrivalsDuring(inForceWithin, 0, 1, ...inSouth)).to.deep.equal([0, 0, 0, 0, 0, 0]);
            expect(await statusesOf("/lost/")).to.deep.equal(allServed);
            deployment.store.delete("evacuations", "south-a");
            await pause(milliseconds(inForceWithin));
            const [arrivals] = await arrivalsDuring(6000, inSouth[0]);
            expect(arrivals).to.be.greaterThan(0);
        });
    });
});

/**
 * Changes written to a store that had come back from an older copy were not in force: boxes took its lists for old.
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
/** Milliseconds after an acknowledgement from when it must be in force, and a server that leaves get nothing more. */
const inForceWithin = 2500;
/** Milliseconds for which the store is away before it comes back. */
const awayFor = 700;
/** Milliseconds between the copy and the loss of what was written since. */
const copyAge = 1500;
/** Milliseconds after which the operator and the servers have written again what was lost. */
const writtenAgainAfter = 1500;

const firstRoute: RuleOptions = { name: "first", path: "/first/", kind: "safe" };
const lostRoute: RuleOptions = { name: "lost", path: "/lost/", kind: "safe" };
const newRoute: RuleOptions = { name: "new", path: "/new/", kind: "safe" };

describe("boxes and a store that comes back from an older copy [P8]", () => {
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

    const record = (index: number, state: "ready" | "draining") =>
        deployment.writeServerRecord(servers[index], { zone: zones[index % zones.length], state });

    /** Other writers raise the revision by so many. */
    function raiseRevision(count: number): void {
        for (let index = 0; index < count; index++) {
            deployment.store.put("others", `o-${index % 3}`, { count: performance.now() });
        }
    }

    /** The store goes away, and comes back from a copy. */
    async function restore(copy: StoreSnapshot): Promise<void> {
        const { store, storeServer } = deployment;
        storeServer.setFault(() => ({ kind: "reset" }));
        storeServer.dropConnections();
        await pause(milliseconds(awayFor));
        store.restore(copy);
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

    /** Asks each box once, and returns the statuses. */
    async function statusesOf(path: string): Promise<readonly number[]> {
        const answers = await Promise.all(boxes.map((box, index) => ask(box, path, index)));
        return answers.map(({ status }) => status);
    }

    /** Callers ask all boxes for so long. */
    async function play(duration: number): Promise<readonly ClientAnswer[]> {
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

    /** Requests that each server got while callers asked for so long. */
    async function arrivalsDuring(duration: number, ...indexes: readonly number[]): Promise<readonly number[]> {
        const before = indexes.map(index => servers[index].arrivals());
        await play(duration);
        return indexes.map((index, place) => servers[index].arrivals() - before[place]);
    }

    const allServed = Array.from({ length: 9 }, () => 200);

    describe("have in force what is written to it then", () => {
        for (
            const [name, climb] of [["stay below those before", 0], ["climb past those before at once", 40]] as const
        ) {
            it(`where its revisions ${name}`, async () => {
                const copy = deployment.store.takeSnapshot();
                await pause(milliseconds(copyAge));
                raiseRevision(22);
                await pause(milliseconds(inForceWithin));
                await restore(copy);
                deployment.configure(3, [firstRoute, newRoute]);
                record(0, "draining");
                raiseRevision(climb);
                await pause(milliseconds(inForceWithin));
                expect(await statusesOf("/new/")).to.deep.equal(allServed);
                expect(await arrivalsDuring(1500, 0)).to.deep.equal([0]);
            });
        }

        it("where it comes back a second time", async () => {
            const copy = deployment.store.takeSnapshot();
            await pause(milliseconds(copyAge));
            raiseRevision(22);
            await pause(milliseconds(inForceWithin));
            await restore(copy);
            await pause(milliseconds(500));
            await restore(copy);
            await pause(milliseconds(500));
            deployment.configure(3, [firstRoute, newRoute]);
            record(0, "draining");
            await pause(milliseconds(inForceWithin));
            expect(await statusesOf("/new/")).to.deep.equal(allServed);
            expect(await arrivalsDuring(1500, 0)).to.deep.equal([0]);
        });
    });

    it("write their records again where they have started since the copy", async () => {
        const recordedBoxes = () => {
            const { items } = deployment.store.list("chalkdale-boxes").body as {
                items: { metadata: { name: string; }; }[];
            };
            return items.map(({ metadata }) => metadata.name).sort();
        };
        const copy = deployment.store.takeSnapshot();
        const added = deployment.startBox({ zone: "south-a", host: "127.0.0.40", seeds: [boxes[0].peerAddress] });
        await waitUntil(() => added.running.isReady() && recordedBoxes().includes(added.name), "it is recorded");
        await restore(copy);
        expect(recordedBoxes()).not.to.include(added.name);
        await waitUntil(() => recordedBoxes().includes(added.name), "it is recorded again");
        expect(recordedBoxes()).to.have.length(boxes.length + 1);
    });

    describe("keep in force what it had acknowledged and has lost", () => {
        it("until it is written again: a route, a closed zone, servers that left, drain or were added", async () => {
            const copy = deployment.store.takeSnapshot();
            await pause(milliseconds(copyAge));
            const writeLost = async () => {
                deployment.configure(3, [firstRoute, lostRoute]);
                deployment.store.put("evacuations", "south-a", {});
                record(0, "draining");
                deployment.store.delete("servers", "i-1");
            };
            await writeLost();
            await pause(milliseconds(inForceWithin));
            await restore(copy);
            expect(await statusesOf("/lost/")).to.deep.equal(allServed);
            const inSouth = servers.flatMap((_, index) => index % zones.length === 2 ? [index] : []);
            expect(await arrivalsDuring(writtenAgainAfter, 0, 1, ...inSouth)).to.deep.equal([0, 0, 0, 0, 0, 0]);
            expect(await statusesOf("/lost/")).to.deep.equal(allServed);
            await writeLost();
            expect(await arrivalsDuring(inForceWithin, 0, 1, ...inSouth)).to.deep.equal([0, 0, 0, 0, 0, 0]);
            expect(await statusesOf("/lost/")).to.deep.equal(allServed);
            deployment.store.delete("evacuations", "south-a");
            await pause(milliseconds(inForceWithin));
            const [taken] = await arrivalsDuring(6000, inSouth[0]);
            expect(taken).to.be.greaterThan(0);
        });
    });
});

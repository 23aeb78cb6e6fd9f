/**
 * Several boxes on the users' platform while its store misbehaves.
 */

import { milliseconds } from "@chalkdale/kernel";
import { expect } from "chai";
import { createSocket } from "node:dgram";
import { lookUp, sendRequest } from "../src/standins/client.js";
import {
    pause,
    startTestDeployment,
    type TestBox,
    type TestDeployment,
    testHost,
    waitUntil,
} from "../src/standins/deployment.js";
import type { StoreAnswer } from "../src/standins/metadata-store.js";
import type { RuleOptions } from "../src/standins/platform-objects.js";

const rules: readonly RuleOptions[] = [{ name: "lookup", path: "/lookup/", kind: "safe" }];
const place = { name: testHost, region: "north", zone: "north-a" };

describe("boxes on the users' platform", () => {
    let deployment: TestDeployment;

    beforeEach(async () => {
        deployment = await startTestDeployment();
        await deployment.addServer({ id: "i-1" });
        deployment.configure(2, rules);
    });

    afterEach(() => deployment.close());

    const ask = (box: TestBox, path: string) =>
        sendRequest({ address: box.callerAddress, host: testHost, path, requestId: `s-${path}` });
    const ready = (box: TestBox) => waitUntil(() => box.running.isReady(), `${box.name} is ready`);

    it("find each other through the store, and name each other to callers [P19]", async () => {
        const boxes = [deployment.startBox(), deployment.startBox({ zone: "north-b" }), deployment.startBox()];
        await Promise.all(boxes.map(ready));
        const named = async (box: TestBox, zone: string) =>
            [...(await lookUp(box.directoryAddress, { ...place, zone })).addresses].sort();
        const [first, other, second] = boxes.map(box => box.callerAddress);
        for (const box of boxes) {
            await waitUntil(async () => (await named(box, "of none")).length === 3, "all are named");
            expect(await named(box, "of none")).to.deep.equal([first, other, second].sort());
            expect(await named(box, "north-a")).to.deep.equal([first, second].sort());
            expect(await named(box, "north-b")).to.include(other).and.to.have.length(2);
        }
    });

    it("no longer name a box that leaves [P19]", async () => {
        const [stays, leaves] = [deployment.startBox(), deployment.startBox()];
        await Promise.all([ready(stays), ready(leaves)]);
        await waitUntil(
            async () => (await lookUp(stays.directoryAddress, place)).addresses.length === 2,
            "both are named",
        );
        const stopped = leaves.running.stop();
        await waitUntil(
            async () => (await lookUp(stays.directoryAddress, place)).addresses.length === 1,
            "one is named",
        );
        await stopped;
    });

    it("answer 503 and are not ready as long as they know no configuration [P10]", async () => {
        deployment.storeServer.setFault(() => ({ kind: "refused", status: 503 }));
        const box = deployment.startBox();
        await waitUntil(async () => (await ask(box, "/lookup/")).status === 503, "it listens");
        expect(box.running.isReady()).to.equal(false);
        expect((await lookUp(box.directoryAddress, place)).status).to.equal(503);
        deployment.storeServer.setFault(() => ({ kind: "none" }));
        await ready(box);
        expect((await ask(box, "/lookup/")).status).to.equal(200);
    });

    it("learn a new configuration from another box when the store turns them away [P8]", async () => {
        const served = deployment.startBox();
        const refused = deployment.startBox({ host: "127.0.0.2", seeds: [served.peerAddress] });
        await Promise.all([ready(served), ready(refused)]);
        await waitUntil(async () => (await lookUp(served.directoryAddress, place)).addresses.length === 2, "they met");
        deployment.storeServer.setFault(call =>
            call.caller === "127.0.0.2" ? { kind: "refused", status: 503 } : { kind: "none" }
        );
        // Watches that were waiting before are refused at their next call only.
        deployment.store.put("evacuations", "south-a", {});
        deployment.store.put("config", "other", {});
        await waitUntil(() => refused.logLines.some(line => line.includes("event=store.lost")), "it is turned away");
        deployment.configure(3, [{ ...rules[0], path: "/next/" }]);
        for (const box of [served, refused]) {
            await waitUntil(async () => (await ask(box, "/next/")).status === 200, `${box.name} has the version`);
        }
    });

    it("take nothing from a message that they can't use, and go on", async () => {
        const box = deployment.startBox();
        await ready(box);
        const copy = { changed: 0, complete: 0, age: 0 };
        const from = { ...memberOf("stranger"), peerAddress: "127.0.0.1:1", callerAddress: "127.0.0.1:2" };
        const digest = { configuration: copy, servers: copy, closedZones: copy };
        const changes = [{ kind: "put", name: "x", item: {} }];
        const socket = createSocket("udp4");
        const [host, port] = box.peerAddress.split(":");
        const send = (data: string) => new Promise(resolve => socket.send(data, Number(port), host, resolve));
        await send(
            JSON.stringify({ from, beats: [], digest, update: { kind: "servers", since: 0, complete: 1e9, changes } }),
        );
        await send("[]");
        await send("{\"from\":7");
        socket.close();
        const refused = () => box.logLines.filter(line => line.includes("event=peer.unreadable")).length;
        await waitUntil(() => refused() === 3, "each left a line");
        deployment.configure(3, [{ ...rules[0], path: "/next/" }]);
        await waitUntil(async () => (await ask(box, "/next/")).status === 200, "the version is in force");
        await deployment.addServer({ id: "i-2" });
        await waitUntil(() => box.logLines.some(line => line.includes("added=i-2")), "the server is known");
    });

    it("start together while the store turns calls away beyond its rate", async () => {
        // Counted for each caller and kind of call: with one count for all, chance and timing decide which box's calls pass.
        const calls = new Map<string, number>();
        deployment.storeServer.setFault(({ caller, isWatch, kind, method }) => {
            const key = `${caller} ${method} ${kind} ${isWatch}`;
            const count = (calls.get(key) ?? 0) + 1;
            calls.set(key, count);
            return count % 4 === 0 ? { kind: "none" } : { kind: "refused", status: 429 };
        });
        const boxes = ["127.0.0.2", "127.0.0.3", "127.0.0.4"].map(host => deployment.startBox({ host }));
        await Promise.all(boxes.map(ready));
        for (const box of boxes) {
            expect((await ask(box, "/lookup/")).status).to.equal(200);
            await waitUntil(async () => (await lookUp(box.directoryAddress, place)).addresses.length === 3, "all met");
        }
    });

    describe("in a region with many boxes", () => {
        const hosts = ["127.0.0.2", "127.0.0.3", "127.0.0.4", "127.0.0.5", "127.0.0.6", "127.0.0.7"];
        let boxes: TestBox[];
        let watchers: Set<string>;

        beforeEach(async () => {
            watchers = new Set();
            deployment.storeServer.setFault(call => {
                watchers.add(call.caller);
                return { kind: "none" };
            });
            boxes = hosts.map(host => deployment.startBox({ host }));
            await Promise.all(boxes.map(ready));
            for (const box of boxes) {
                await waitUntil(
                    async () => (await lookUp(box.directoryAddress, place)).addresses.length === 6,
                    "all met",
                );
            }
        });

        /** Resolves with the only box that calls the store. */
        async function findRelay(): Promise<string> {
            await waitUntil(async () => {
                watchers.clear();
                await pause(milliseconds(2500));
                return watchers.size === 1;
            }, "one box follows the store");
            return [...watchers][0];
        }

        async function expectInForce(version: number): Promise<void> {
            const path = `/version-${version}/`;
            deployment.configure(version, [{ ...rules[0], path }]);
            for (const box of boxes) {
                await waitUntil(async () => (await ask(box, path)).status === 200, `${box.name} has ${path}`);
            }
        }

        it("leave the store to one of them, and learn of changes from it [P8]", async () => {
            const relay = await findRelay();
            deployment.storeServer.setFault(call =>
                call.caller === relay ? { kind: "none" } : { kind: "refused", status: 503 }
            );
            await expectInForce(3);
        });

        it("follow the store themselves when that box no longer can [P8]", async () => {
            const relay = await findRelay();
            deployment.storeServer.setFault(call => call.caller === relay ? { kind: "silent" } : { kind: "none" });
            deployment.store.dropWatches();
            await expectInForce(3);
        });
    });

    for (const [name, forget] of [["still knows", false], ["has forgotten", true]] as const) {
        it(`start from lists that are old, and catch up at once, when the store ${name} what came since [P8]`, async () => {
            deployment.store.freezeStaleReads();
            await deployment.addServer({ id: "i-2" });
            deployment.configure(3, [{ ...rules[0], path: "/next/" }]);
            if (forget) {
                deployment.store.compact();
            }
            const box = deployment.startBox();
            await waitUntil(async () => (await ask(box, "/lookup/")).status === 200, "the old version serves");
            await waitUntil(async () => (await ask(box, "/next/")).status === 200, "the newest version is in force");
            await waitUntil(() => box.logLines.some(line => line.includes("added=i-2")), "the new server is known");
        });
    }

    it("that start again write nothing where their record stands", async () => {
        const [box] = [deployment.startBox(), deployment.startBox()];
        await ready(box);
        await waitUntil(() => (deployment.storeServer.calls().POST ?? 0) === 2, "both are recorded");
        await box.running.stop();
        const again = deployment.startBox({ replacing: box });
        await waitUntil(async () => (await lookUp(again.directoryAddress, place)).addresses.length === 2, "it is back");
        expect(deployment.storeServer.calls().POST).to.equal(2);
        expect(deployment.storeServer.calls().PUT ?? 0).to.equal(0);
    });

    it("start from another box's copies while the store is down [P17]", async () => {
        const old = deployment.startBox();
        await ready(old);
        deployment.storeServer.setFault(() => ({ kind: "silent" }));
        const fresh = deployment.startBox({ seeds: [old.peerAddress] });
        await ready(fresh);
        expect((await ask(fresh, "/lookup/")).status).to.equal(200);
    });

    it("go on with what they know while the store is down, and catch up after it [P8] [P17]", async () => {
        const box = deployment.startBox();
        await ready(box);
        deployment.storeServer.setFault(() => ({ kind: "reset" }));
        deployment.store.dropWatches();
        expect((await ask(box, "/lookup/")).status).to.equal(200);
        deployment.configure(3, [{ ...rules[0], path: "/next/" }]);
        deployment.store.compact();
        deployment.storeServer.setFault(() => ({ kind: "none" }));
        await waitUntil(async () => (await ask(box, "/next/")).status === 200, "the version is in force");
    });

    it("record themselves once, even if a write is done after they gave it up", async () => {
        let lost = 0;
        deployment.storeServer.setFault(call => {
            if (call.method === "POST" && lost === 0) {
                lost += 1;
                return { kind: "late", afterMs: 100 };
            }
            return { kind: "none" };
        });
        const box = deployment.startBox();
        await ready(box);
        await waitUntil(() => (deployment.storeServer.calls().POST ?? 0) >= 2, "the record is written again");
        await waitUntil(() => itemsOf(deployment.store.list("chalkdale-boxes")).length === 1, "it is there once");
    });

    it("record themselves once, even if the answer is lost", async () => {
        let lost = 0;
        deployment.storeServer.setFault(call => {
            if (call.method === "POST" && lost === 0) {
                lost += 1;
                return { kind: "answerLost" };
            }
            return { kind: "none" };
        });
        const box = deployment.startBox();
        await ready(box);
        await waitUntil(() => (deployment.storeServer.calls().PUT ?? 0) >= 1, "the record is written again");
        expect(itemsOf(deployment.store.list("chalkdale-boxes"))).to.deep.equal([box.name]);
    });
});

function memberOf(box: string) {
    return {
        box,
        incarnation: "1",
        heartbeat: 1,
        leaving: false,
        ready: true,
        region: "north",
        zone: "north-a",
        capacity: 1,
        load: 0,
    };
}

function itemsOf(answer: StoreAnswer): string[] {
    const { items } = answer.body as { items: { metadata: { name: string; }; }[]; };
    return items.map(item => item.metadata.name);
}

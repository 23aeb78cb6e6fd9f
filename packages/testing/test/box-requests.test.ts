/**
 * One box on the users' platform, over real sockets: what callers get, and what
 * reaches the servers.
 */

import { createSeededRandom } from "@chalkdale/kernel";
import { expect } from "chai";
import { once } from "node:events";
import { connect } from "node:net";
import type { ServerStandIn } from "../src/standins/backend-server.js";
import { createClient, lookUp, sendRequest } from "../src/standins/client.js";
import { type TestBox, type TestDeployment, testHost, waitUntil } from "../src/standins/deployment.js";
import { type OneBox, rules, startOneBox } from "./one-box.js";

describe("a box on the users' platform", () => {
    let world: OneBox;
    let deployment: TestDeployment;
    let box: TestBox;
    let first: ServerStandIn;
    let second: ServerStandIn;

    beforeEach(async () => {
        world = await startOneBox();
        ({ box, deployment, first, second } = world);
    });

    afterEach(() => deployment.close());

    const ask: OneBox["ask"] = (...args) => world.ask(...args);
    const misbehave: OneBox["misbehave"] = (...args) => world.misbehave(...args);
    const runs = () => world.runs();

    describe("a request of each kind", () => {
        it("reaches a server unchanged, and its answer comes back unchanged [P3] [P9]", async () => {
            const answer = await ask("/save/a?b=c", { method: "POST", body: "a climb", requestId: "x-1" });
            const [run] = runs();
            expect(answer.status).to.equal(200);
            expect(answer.headers["server-stamp"]).to.equal("stamp.x-1");
            expect([run.method, run.url, run.body, run.requestId]).to.deep.equal([
                "POST",
                "/save/a?b=c",
                "a climb",
                "x-1",
            ]);
            expect(run.headers["expect-instance"]).to.be.oneOf(["i-1", "i-2"]);
        });

        it("passes on a body in chunks", async () => {
            const answer = await ask("/save/", { method: "POST", body: "in chunks", chunked: true });
            expect(answer.status).to.equal(200);
            expect(runs()[0].body).to.equal("in chunks");
        });

        it("hands on what is left of the deadline [P11]", async () => {
            await ask("/lookup/", { deadlineMs: 900 });
            await ask("/lookup/", { deadlineMs: 9000 });
            const [short, long] = runs().map(run => Number(run.headers["deadline-ms"]));
            expect(short).to.be.within(1, 900);
            expect(long).to.be.within(901, 1500);
        });

        it("goes to the service of its route [P18]", async () => {
            expect((await ask("/pack/")).body).to.match(/^answer of i-3 /);
        });

        it("gets 404 without a route [P10]", async () => {
            expect((await ask("/nowhere/")).status).to.equal(404);
        });
    });

    describe("requests on one object", () => {
        it("come to one server, which knows it from the second on", async () => {
            for (let count = 0; count < 6; count++) {
                await ask("/lookup/", { affinityKey: "same" });
            }
            expect(new Set(runs().map(run => run.headers["expect-instance"])).size).to.equal(1);
            expect(runs().map(run => run.warm)).to.deep.equal([false, true, true, true, true, true]);
        });

        it("use one connection one after the other", async () => {
            for (let count = 0; count < 6; count++) {
                await ask("/lookup/");
            }
            expect(first.connections() + second.connections()).to.equal(1);
        });
    });

    describe("time", () => {
        it("ends a request at its route's limit with a final answer [P13]", async () => {
            first.setWork(5000);
            second.setWork(5000);
            expect((await ask("/brief/")).status).to.equal(504);
        });

        it("ends a request whose body does not come, as not run [P13]", async () => {
            const socket = connect(Number(box.callerAddress.split(":")[1]), "127.0.0.1");
            const head =
                `POST /brief/ HTTP/1.1\r\nHost: ${testHost}\r\nRequest-Id: b-1\r\nContent-Length: 9\r\n\r\npart`;
            socket.write(head);
            const [answer] = await once(socket, "data") as [Buffer];
            expect(answer.toString()).to.match(/^HTTP\/1.1 503 /);
            expect(runs()).to.have.length(0);
            socket.destroy();
        });

        it("ends the work at the server when the client leaves, long before the route's limit [P12]", async () => {
            first.setWork(60_000);
            second.setWork(60_000);
            await ask("/patient/", { disconnectAfterMs: 120 });
            await waitUntil(
                () => first.abortedRequests() + second.abortedRequests() === 1,
                "the server's connection is closed",
            );
        });
    });

    describe("the configuration", () => {
        it("is divided between the parts of a split by weight [P20]", async () => {
            const split = [{ service: "profiles", weight: 75 }, { service: "packs", weight: 25 }];
            deployment.configure(3, [{ ...rules[0], split }]);
            await waitUntil(() => box.logLines.some(line => line.includes("version=3")), "the version is in force");
            for (let count = 0; count < 20; count++) {
                await ask("/lookup/");
            }
            expect(runs()).to.have.length(15);
        });

        it("that is older, or can't be understood, leaves the last one in force [P8]", async () => {
            deployment.configure(9, [{ ...rules[0], path: "/new/" }]);
            await waitUntil(() => box.logLines.some(line => line.includes("version=9")), "the version is in force");
            deployment.store.put("config", "main", { version: "0000000a", listeners: "nonsense" });
            deployment.configure(3, rules);
            deployment.store.put("evacuations", "north-b", {});
            await waitUntil(() => box.logLines.some(line => line.includes("closed=north-b")), "the box has read on");
            await waitUntil(
                () => box.logLines.some(line => line.includes("event=object.unreadable kind=configuration")),
                "the box tells",
            );
            expect((await ask("/new/")).status).to.equal(200);
            expect((await ask("/lookup/")).status).to.equal(404);
        });
    });

    describe("callers who ask where to go", () => {
        it("are told the box, and for how long", async () => {
            const found = await lookUp(box.directoryAddress, { name: testHost, region: "north", zone: "north-a" });
            expect(found).to.deep.equal({ status: 200, addresses: [box.callerAddress], ttl: "2000ms" });
            expect(
                (await sendRequest({
                    address: box.readinessAddress,
                    host: "ready",
                    path: "/v1/readiness",
                    requestId: "ready",
                })).status,
            ).to.equal(200);
        });
    });

    describe("clients that look up first", () => {
        for (const pooled of [true, false]) {
            it(`are served over ${pooled ? "kept" : "new"} connections, and retry what was refused`, async () => {
                const client = createClient({
                    directories: [box.directoryAddress],
                    region: "north",
                    zone: "north-a",
                    pooled,
                    random: createSeededRandom(1),
                    name: "c",
                });
                misbehave({ kind: "shed" }, 2);
                const call = { host: testHost, path: "/save/", method: "POST", body: "b", affinityKey: "k" };
                expect((await client.call(call, { idempotent: false })).status).to.equal(200);
                expect(client.attempts()).to.equal(2);
                expect(runs()).to.have.length(1);
                client.close();
            });
        }
    });

    describe("a planned stop", () => {
        it("cuts no request in flight, and is not named or ready meanwhile [P7]", async () => {
            first.setWork(200);
            second.setWork(200);
            const inFlight = ask("/lookup/");
            await waitUntil(() => runs().length === 1, "the request runs");
            const stopped = box.running.stop();
            const found = await lookUp(box.directoryAddress, { name: testHost, region: "north", zone: "north-a" });
            expect(found.addresses).to.deep.equal([]);
            const late = await ask("/lookup/");
            expect(late.status).to.equal(200);
            expect(late.headers.connection).to.equal("close");
            expect((await inFlight).status).to.equal(200);
            await stopped;
        });
    });
});

/**
 * One box on the users' platform, over real sockets: what callers get and what
 * servers see.
 */

import { createSeededRandom, milliseconds } from "@chalkdale/kernel";
import { expect } from "chai";
import { once } from "node:events";
import { connect } from "node:net";
import type { ServerBehaviour, ServerStandIn } from "../src/standins/backend-server.js";
import { type ClientRequest, createClient, lookUp, sendRequest } from "../src/standins/client.js";
import {
    type Deployment,
    eventually,
    pause,
    type RuleOptions,
    startDeployment,
    type TestBox,
    testHost,
} from "../src/standins/deployment.js";

const rules: readonly RuleOptions[] = [
    { name: "lookup", path: "/lookup/", kind: "safe" },
    { name: "save", path: "/save/", kind: "unsafe" },
    { name: "pack", path: "/pack/", kind: "download", service: "packs" },
    { name: "patient", path: "/patient/", kind: "safe", timeout: "60s" },
    { name: "brief", path: "/brief/", kind: "safe", timeout: "150ms" },
];

describe("a box on the users' platform", () => {
    let deployment: Deployment;
    let box: TestBox;
    let first: ServerStandIn;
    let second: ServerStandIn;
    let requestCount = 0;

    beforeEach(async () => {
        deployment = await startDeployment();
        first = await deployment.addServer({ id: "i-1" });
        second = await deployment.addServer({ id: "i-2", zone: "south-a" });
        await deployment.addServer({ id: "i-3", service: "packs" });
        deployment.configure(2, rules);
        box = deployment.startBox();
        await eventually(() => box.running.isReady(), "the box is ready");
    });

    afterEach(() => deployment.close());

    const ask = (path: string, options: Partial<ClientRequest> = {}) => {
        requestCount += 1;
        const requestId = `r-${requestCount}`;
        return sendRequest({ address: box.callers, host: testHost, path, requestId, affinityKey: "k-1", ...options });
    };
    const misbehave = (behaviour: ServerBehaviour, times = Infinity) => {
        let left = times;
        for (const backend of [first, second]) {
            backend.setBehaviour(() => {
                left -= 1;
                return left >= 0 ? behaviour : { kind: "serve" };
            });
        }
    };
    const runs = () => [...first.runs, ...second.runs];

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

    describe("a server that refuses unrun", () => {
        it("makes the box try another, for every kind of request", async () => {
            misbehave({ kind: "shed" }, 1);
            expect((await ask("/save/", { method: "POST", body: "b" })).status).to.equal(200);
            expect(runs()).to.have.length(1);
        });

        it("ends in a refusal with a time to come back when all refuse [P4]", async () => {
            misbehave({ kind: "shed" });
            const answer = await ask("/save/", { method: "POST", body: "b" });
            expect(answer.status).to.equal(503);
            expect(Number(answer.headers["retry-after"])).to.be.greaterThan(0);
            expect(answer.headers["server-stamp"]).to.equal(undefined);
            expect(runs()).to.have.length(0);
        });

        it("does not run a request meant for the server that had its address [P18]", async () => {
            const address = first.address();
            first.close();
            const other = await deployment.addServer({
                id: "i-9",
                service: "packs",
                port: Number(address.split(":")[1]),
            });
            for (let key = 0; key < 12; key++) {
                expect((await ask("/lookup/", { affinityKey: `k-${key}` })).status).to.equal(200);
            }
            expect(other.runs.filter(run => run.url.startsWith("/lookup/"))).to.have.length(0);
        });
    });

    describe("an answer that is lost", () => {
        const losses: readonly ServerBehaviour[] = [
            { kind: "loseAnswer", by: "close" },
            { kind: "loseAnswer", by: "reset" },
            { kind: "breakOff", by: "close" },
            { kind: "breakOff", by: "reset" },
            { kind: "garbage" },
        ];
        for (const loss of losses) {
            const name = "by" in loss ? `${loss.kind} by ${loss.by}` : loss.kind;
            it(`is asked again of another server if it may be repeated (${name})`, async () => {
                misbehave(loss, 1);
                const answer = await ask("/lookup/");
                expect(answer.status).to.equal(200);
                expect(answer.body).to.match(/^answer of/);
            });

            it(`is never asked again, nor promised unrun, if it may not (${name}) [P4] [P5]`, async () => {
                misbehave(loss, 1);
                const answer = await ask("/save/", { method: "POST", body: "b" });
                expect(answer.status).to.equal(502);
                expect(runs()).to.have.length(1);
            });
        }

        it("stays within the route's attempts [P11]", async () => {
            misbehave({ kind: "loseAnswer", by: "reset" });
            expect((await ask("/lookup/")).status).to.equal(502);
            expect(runs()).to.have.length(2);
        });
    });

    describe("a server that goes silent while it works", () => {
        /** Both servers fall silent at their next request; the one that has it also takes no connection any more. */
        const silence = () => {
            for (const backend of [first, second]) {
                backend.setBehaviour(() => {
                    backend.stopAccepting();
                    for (const other of [first, second]) {
                        other.setBehaviour(() => ({ kind: "serve" }));
                    }
                    return { kind: "loseAnswer", by: "silence" };
                });
            }
        };

        it("loses a request that may be repeated to another, long before its deadline", async () => {
            silence();
            const answer = await ask("/lookup/", { deadlineMs: 60_000 });
            expect(answer.status).to.equal(200);
            expect(runs()).to.have.length(2);
        });

        it("keeps one that may not, until its time is over [P5]", async () => {
            silence();
            expect((await ask("/save/", { method: "POST", body: "b" })).status).to.equal(504);
            expect(runs()).to.have.length(1);
        });
    });

    describe("a server that fails requests while it accepts connections", () => {
        /** The server that runs the next request goes on to misbehave; the other one serves. */
        const misbehaveFirst = (behaviour: ServerBehaviour) => {
            let spoiled: ServerStandIn | undefined;
            for (const backend of [first, second]) {
                backend.setBehaviour(() => {
                    spoiled ??= backend;
                    return spoiled === backend ? behaviour : { kind: "serve" };
                });
            }
        };
        const save = () => ask("/save/", { method: "POST", body: "b", deadlineMs: 900 });

        for (
            const [name, behaviour] of [
                ["with failures of its own", { kind: "fail", status: 500 }],
                ["by answers that never come", { kind: "loseAnswer", by: "silence" }],
                ["as full though it has free slots", { kind: "shed" }],
            ] as const
        ) {
            it(`loses the key to another, ${name} [P7]`, async () => {
                misbehaveFirst(behaviour);
                await save();
                await save();
                const before = [first.runs.length, second.runs.length];
                expect((await save()).status).to.equal(200);
                expect((await save()).status).to.equal(200);
                expect(runs()).to.have.length(before[0] + before[1] + 2);
                expect(box.logged.filter(line => line.includes("event=attempt.failed")).length).to.be.lessThan(4);
            });
        }
    });

    describe("an answer that is not what it seems", () => {
        it("without a length goes back without a length [P3]", async () => {
            misbehave({ kind: "unframed" });
            const answer = await ask("/lookup/");
            expect(answer.status).to.equal(200);
            expect(answer.headers["content-length"]).to.equal(undefined);
            expect(answer.headers["transfer-encoding"]).to.equal(undefined);
            expect(answer.headers.connection).to.equal("close");
        });

        for (const afterMs of [0, 30]) {
            it(`a second answer after ${afterMs} ms reaches nobody [P3]`, async () => {
                misbehave({ kind: "extra", afterMs });
                for (let count = 0; count < 5; count++) {
                    const requestId = `extra-${afterMs}-${count}`;
                    const answer = await ask("/lookup/", { requestId });
                    expect(answer.body).to.match(new RegExp(`${requestId}$`));
                    await pause(milliseconds(afterMs / 2));
                }
            });
        }

        it("a second answer on a connection that rests spoils no later request [P3]", async () => {
            misbehave({ kind: "extra", afterMs: 20 });
            const save = () => ask("/save/", { method: "POST", body: "b" });
            expect((await save()).status).to.equal(200);
            await pause(milliseconds(150));
            expect((await save()).status).to.equal(200);
        });

        it("a failure of the server's own keeps its status and stamp", async () => {
            misbehave({ kind: "fail", status: 500 });
            const answer = await ask("/save/", { method: "POST", body: "b", requestId: "f-1" });
            expect(answer.status).to.equal(500);
            expect(answer.headers["server-stamp"]).to.equal("stamp.f-1");
        });
    });

    describe("time", () => {
        it("ends a request at its route's limit with a final answer [P13]", async () => {
            first.setWork(5000);
            second.setWork(5000);
            expect((await ask("/brief/")).status).to.equal(504);
        });

        it("ends a request whose body does not come, as not run [P13]", async () => {
            const socket = connect(Number(box.callers.split(":")[1]), "127.0.0.1");
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
            await ask("/patient/", { leaveAfterMs: 120 });
            await eventually(() => first.abandoned() + second.abandoned() === 1, "the server's connection is closed");
        });
    });

    describe("servers that leave", () => {
        it("get nothing once they are draining, nor once their record is gone [P6]", async () => {
            deployment.recordServer(first, { state: "draining" });
            await eventually(() => box.logged.some(line => line.includes("draining=i-1")), "the box knows");
            deployment.store.delete("servers", "i-2");
            await eventually(() => box.logged.some(line => line.includes("removed=i-2")), "the box knows");
            expect((await ask("/lookup/")).status).to.equal(503);
            expect(runs()).to.have.length(0);
        });

        it("get nothing while their zone is evacuated, and again when it is taken back [P16]", async () => {
            deployment.store.put("evacuations", "north-a", {});
            deployment.store.put("evacuations", "south-a", {});
            await eventually(() => box.logged.some(line => line.includes("closed=north-a,south-a")), "the box knows");
            expect((await ask("/lookup/")).status).to.equal(503);
            deployment.store.delete("evacuations", "south-a");
            await eventually(async () => (await ask("/lookup/")).status === 200, "the zone serves again");
            expect(first.runs).to.have.length(0);
        });

        it("outside the homes of a route get nothing [P15]", async () => {
            deployment.configure(3, [{ ...rules[0], homeRegions: ["south"] }]);
            await eventually(() => box.logged.some(line => line.includes("version=3")), "the version is in force");
            for (let key = 0; key < 12; key++) {
                await ask("/lookup/", { affinityKey: `k-${key}` });
            }
            expect(first.runs).to.have.length(0);
            expect(second.runs).to.have.length(12);
        });
    });

    describe("the configuration", () => {
        it("is divided between the parts of a split by weight [P20]", async () => {
            const split = [{ service: "profiles", weight: 75 }, { service: "packs", weight: 25 }];
            deployment.configure(3, [{ ...rules[0], split }]);
            await eventually(() => box.logged.some(line => line.includes("version=3")), "the version is in force");
            for (let count = 0; count < 20; count++) {
                await ask("/lookup/");
            }
            expect(runs()).to.have.length(15);
        });

        it("that is older, or can't be understood, leaves the last one in force [P8]", async () => {
            deployment.configure(9, [{ ...rules[0], path: "/new/" }]);
            await eventually(() => box.logged.some(line => line.includes("version=9")), "the version is in force");
            deployment.store.put("config", "main", { version: "0000000a", listeners: "nonsense" });
            deployment.configure(3, rules);
            deployment.store.put("evacuations", "north-b", {});
            await eventually(() => box.logged.some(line => line.includes("closed=north-b")), "the box has read on");
            await eventually(
                () => box.logged.some(line => line.includes("event=object.unreadable kind=configuration")),
                "the box tells",
            );
            expect((await ask("/new/")).status).to.equal(200);
            expect((await ask("/lookup/")).status).to.equal(404);
        });
    });

    describe("callers who ask where to go", () => {
        it("are told the box, and for how long", async () => {
            const found = await lookUp(box.directory, { name: testHost, region: "north", zone: "north-a" });
            expect(found).to.deep.equal({ status: 200, addresses: [box.callers], ttl: "2000ms" });
            expect(
                (await sendRequest({
                    address: box.readiness,
                    host: "ready",
                    path: "/v1/readiness",
                    requestId: "ready",
                })).status,
            ).to.equal(200);
        });
    });

    describe("connections that servers close", () => {
        it("because they rested are not used for the next request", async () => {
            const brief = await deployment.addServer({ id: "i-8", service: "packs", idleMs: 1000 });
            deployment.store.delete("servers", "i-3");
            await eventually(() => box.logged.some(line => line.includes("removed=i-3")), "the box knows");
            await ask("/pack/");
            await pause(milliseconds(1300));
            expect((await ask("/pack/")).status).to.equal(200);
            expect(brief.connections()).to.equal(2);
        });

        it("since they are leaving are not kept", async () => {
            first.setLeaving(true);
            second.setLeaving(true);
            await ask("/lookup/");
            await ask("/lookup/");
            expect(first.connections() + second.connections()).to.equal(2);
        });
    });

    describe("clients that look up first", () => {
        for (const pooled of [true, false]) {
            it(`are served over ${pooled ? "kept" : "new"} connections, and retry what was refused`, async () => {
                const client = createClient({
                    directories: [box.directory],
                    region: "north",
                    zone: "north-a",
                    pooled,
                    random: createSeededRandom(1),
                    name: "c",
                });
                misbehave({ kind: "shed" }, 2);
                const call = { host: testHost, path: "/save/", method: "POST", body: "b", affinityKey: "k" };
                expect((await client.call(call, { repeatable: false })).status).to.equal(200);
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
            await eventually(() => runs().length === 1, "the request runs");
            const stopped = box.running.stop();
            const found = await lookUp(box.directory, { name: testHost, region: "north", zone: "north-a" });
            expect(found.addresses).to.deep.equal([]);
            const late = await ask("/lookup/");
            expect(late.status).to.equal(200);
            expect(late.headers.connection).to.equal("close");
            expect((await inFlight).status).to.equal(200);
            await stopped;
        });
    });
});

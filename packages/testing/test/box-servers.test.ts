/**
 * One box on the users' platform, over real sockets, with servers that refuse, fail, stop answering, send broken
 * answers, or leave.
 */

import { milliseconds } from "@chalkdale/kernel";
import { expect } from "chai";
import type { ServerStandIn } from "../src/standins/backend-server.js";
import { pause, type TestBox, type TestDeployment, testHost, waitUntil } from "../src/standins/deployment.js";
import type { ServerBehaviour } from "../src/standins/server-answers.js";
import { type OneBox, rules, startOneBox } from "./one-box.js";
import { connectRaw } from "./raw-caller.js";

describe("a box and its servers", () => {
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

    describe("a server that refuses requests without running them", () => {
        it("makes the box try another server, also for an unsafe request", async () => {
            misbehave({ kind: "shed" }, 1);
            expect((await ask("/save/", { method: "POST", body: "b" })).status).to.equal(200);
            expect(runs()).to.have.length(1);
        });

        it("leads to a refusal with Retry-After when all servers refuse [P4]", async () => {
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
            it(`is retried at another server if the request is repeatable (${name})`, async () => {
                misbehave(loss, 1);
                const answer = await ask("/lookup/");
                expect(answer.status).to.equal(200);
                expect(answer.body).to.match(/^answer of/);
            });

            it(`is neither retried nor reported as not run if the request is unsafe (${name}) [P4] [P5]`, async () => {
                misbehave(loss, 1);
                const answer = await ask("/save/", { method: "POST", body: "b" });
                expect(answer.status).to.equal(502);
                expect(runs()).to.have.length(1);
            });
        }

        it("is not reported as not run when the next server refuses, even for a repeatable request [P4]", async () => {
            let calls = 0;
            for (const backend of [first, second]) {
                backend.setBehaviour(() => {
                    calls += 1;
                    return calls === 1 ? { kind: "loseAnswer", by: "reset" } : { kind: "shed" };
                });
            }
            expect((await ask("/lookup/")).status).to.equal(502);
            expect(runs()).to.have.length(1);
        });

        it("stays within the route's attempts [P11]", async () => {
            misbehave({ kind: "loseAnswer", by: "reset" });
            expect((await ask("/lookup/")).status).to.equal(502);
            expect(runs()).to.have.length(2);
        });
    });

    describe("a server that stops answering while it works", () => {
        /** The server that receives the next request never answers it, and refuses new connections from then on. */
        const stopAnsweringNext = () => {
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

        it("has a repeatable request retried at another server long before the deadline", async () => {
            stopAnsweringNext();
            const answer = await ask("/lookup/", { deadlineMs: 60_000 });
            expect(answer.status).to.equal(200);
            expect(runs()).to.have.length(2);
        });

        /** Starts another service's server at the address of the server that has the request. */
        const replaceSilentServer = async (ports: ReadonlyMap<ServerStandIn, number>) => {
            await waitUntil(() => runs().length === 1, "the request runs");
            const silent = first.runs.length === 1 ? first : second;
            await deployment.addServer({ id: "i-9", service: "packs", port: ports.get(silent) });
        };
        const portsOfServers = () =>
            new Map([first, second].map(server => [server, Number(server.address().split(":")[1])]));

        it("has a repeatable request retried once another server has its address", async () => {
            const ports = portsOfServers();
            stopAnsweringNext();
            const answer = ask("/patient/", { deadlineMs: 60_000 });
            await replaceSilentServer(ports);
            expect((await answer).status).to.equal(200);
        });

        it("ends an unsafe request, not reported as not run, once another server has its address [P4]", async () => {
            const ports = portsOfServers();
            stopAnsweringNext();
            const answer = ask("/patient-save/", { method: "POST", body: "b", deadlineMs: 60_000 });
            await replaceSilentServer(ports);
            expect((await answer).status).to.equal(502);
            expect(runs()).to.have.length(1);
        });

        it("keeps an unsafe request until its deadline [P5]", async () => {
            stopAnsweringNext();
            expect((await ask("/save/", { method: "POST", body: "b" })).status).to.equal(504);
            expect(runs()).to.have.length(1);
        });
    });

    describe("a server that is overdue but still accepts connections", () => {
        const loseFirstAnswer = () => misbehave({ kind: "loseAnswer", by: "silence" }, 1);
        const hedged = () => box.logLines.filter(line => line.includes("event=attempt.hedged")).length;

        it("is hedged by a second server, which answers long before the deadline", async () => {
            loseFirstAnswer();
            const answer = await ask("/patient/", { deadlineMs: 60_000 });
            expect(answer.status).to.equal(200);
            expect(hedged()).to.equal(1);
            expect(runs()).to.have.length(2);
        });

        it("has its connection closed once the second server has answered, and stops its work", async () => {
            first.setWork(60_000);
            second.setWork(60_000);
            const slow = ask("/patient/", { deadlineMs: 60_000 });
            await waitUntil(() => runs().length === 1, "the first server has the request");
            const other = first.runs.length === 1 ? second : first;
            other.setWork(0);
            expect((await slow).status).to.equal(200);
            await waitUntil(() => first.abortedRequests() + second.abortedRequests() === 1, "the work is aborted");
        });

        it("is waited for if the second one answers 429 without saying that it did not run the request [P4]", async () => {
            first.setWork(3000);
            second.setWork(3000);
            const slow = ask("/patient/", { deadlineMs: 60_000 });
            await waitUntil(() => runs().length === 1, "the first server has the request");
            const other = first.runs.length === 1 ? second : first;
            other.setWork(0);
            other.setBehaviour(() => ({ kind: "fail", status: 429 }));
            expect((await slow).status).to.equal(200);
            expect(hedged()).to.equal(1);
        });

        /** The first request loses its connection when its work is done; later ones meet the given behaviour. */
        const loseFirstAnswerThen = (later: ServerBehaviour) => {
            let count = 0;
            for (const backend of [first, second]) {
                backend.setWork(3000);
                backend.setBehaviour(() => {
                    count += 1;
                    return count === 1 ? { kind: "loseAnswer", by: "reset" } : later;
                });
            }
        };

        it("fails the request when the second server refuses it unrun, since the first may have run it", async () => {
            loseFirstAnswerThen({ kind: "shed" });
            expect((await ask("/patient/", { deadlineMs: 60_000 })).status).to.equal(502);
            expect(hedged()).to.equal(1);
        });

        it("fails the request when the second server fails too", async () => {
            loseFirstAnswerThen({ kind: "loseAnswer", by: "reset" });
            expect((await ask("/patient/", { deadlineMs: 60_000 })).status).to.equal(502);
            expect(hedged()).to.equal(1);
            expect(runs()).to.have.length(2);
        });

        it("stops its work, like the second server, once the caller leaves [P12]", async () => {
            first.setWork(60_000);
            second.setWork(60_000);
            const caller = await connectRaw(box);
            caller.send(`GET /patient/ HTTP/1.1\r\nHost: ${testHost}\r\nDeadline-Ms: 60000\r\n\r\n`);
            await waitUntil(() => runs().length === 2, "both have the request");
            caller.socket.destroy();
            await waitUntil(
                () => first.abortedRequests() + second.abortedRequests() === 2,
                "the work of both is aborted",
            );
        });

        it("is not hedged for a request that may not run twice [P5]", async () => {
            loseFirstAnswer();
            expect((await ask("/save/", { method: "POST", body: "b" })).status).to.equal(504);
            expect(runs()).to.have.length(1);
            expect(hedged()).to.equal(0);
        });

        it("is not hedged beyond the route's attempts [P11]", async () => {
            misbehave({ kind: "loseAnswer", by: "silence" });
            expect((await ask("/lookup/")).status).to.equal(504);
            expect(runs()).to.have.length(2);
        });
    });

    describe("a server that fails requests but accepts connections", () => {
        /** The server that receives the next request misbehaves from then on; the other one serves. */
        const misbehaveAtFirstServer = (behaviour: ServerBehaviour) => {
            let faulty: ServerStandIn | undefined;
            for (const backend of [first, second]) {
                backend.setBehaviour(() => {
                    faulty ??= backend;
                    return faulty === backend ? behaviour : { kind: "serve" };
                });
            }
        };
        const save = () => ask("/save/", { method: "POST", body: "b", deadlineMs: 900 });

        for (
            const [name, behaviour] of [
                ["by answering with failures", { kind: "fail", status: 500 }],
                ["by never answering", { kind: "loseAnswer", by: "silence" }],
                ["by refusing with free slots", { kind: "shed" }],
            ] as const
        ) {
            it(`loses the key to another server, ${name} [P7]`, async () => {
                misbehaveAtFirstServer(behaviour);
                await save();
                await save();
                const before = [first.runs.length, second.runs.length];
                expect((await save()).status).to.equal(200);
                expect((await save()).status).to.equal(200);
                expect(runs()).to.have.length(before[0] + before[1] + 2);
                expect(box.logLines.filter(line => line.includes("event=attempt.failed")).length).to.be.lessThan(4);
            });
        }
    });

    describe("an answer that is malformed or unexpected", () => {
        it("without a length is passed on without a length [P3]", async () => {
            misbehave({ kind: "unframed" });
            const answer = await ask("/lookup/");
            expect(answer.status).to.equal(200);
            expect(answer.headers["content-length"]).to.equal(undefined);
            expect(answer.headers["transfer-encoding"]).to.equal(undefined);
            expect(answer.headers.connection).to.equal("close");
        });

        for (const afterMs of [0, 30]) {
            it(`that follows another one after ${afterMs} ms reaches no caller [P3]`, async () => {
                misbehave({ kind: "extra", afterMs });
                for (let count = 0; count < 5; count++) {
                    const requestId = `extra-${afterMs}-${count}`;
                    const answer = await ask("/lookup/", { requestId });
                    expect(answer.body).to.match(new RegExp(`${requestId}$`));
                    await pause(milliseconds(afterMs / 2));
                }
            });
        }

        it("that arrives over an idle connection does not affect later requests [P3]", async () => {
            misbehave({ kind: "extra", afterMs: 20 });
            const save = () => ask("/save/", { method: "POST", body: "b" });
            expect((await save()).status).to.equal(200);
            await pause(milliseconds(150));
            expect((await save()).status).to.equal(200);
        });

        it("with a server's error keeps its status and stamp", async () => {
            misbehave({ kind: "fail", status: 500 });
            const answer = await ask("/save/", { method: "POST", body: "b", requestId: "f-1" });
            expect(answer.status).to.equal(500);
            expect(answer.headers["server-stamp"]).to.equal("stamp.f-1");
        });
    });

    describe("servers that refuse requests with free slots", () => {
        it("are retried before a server where the key is cold [P5]", async () => {
            await ask("/lookup/");
            const [{ headers }] = runs();
            misbehave({ kind: "shed", includesLoad: true }, 1);
            expect((await ask("/lookup/")).status).to.equal(200);
            expect(runs().map(run => run.warm)).to.deep.equal([false, true]);
            expect(runs()[1].headers["expect-instance"]).to.equal(headers["expect-instance"]);
        });

        it("lead to a refusal with a short Retry-After", async () => {
            misbehave({ kind: "shed", includesLoad: true });
            const answer = await ask("/lookup/");
            expect(answer.status).to.equal(503);
            expect(Number(answer.headers["retry-after"])).to.be.lessThan(0.1);
        });
    });

    describe("servers that leave or may not be used", () => {
        it("receive nothing once they are draining or their record is gone [P6]", async () => {
            deployment.writeServerRecord(first, { state: "draining" });
            await waitUntil(() => box.logLines.some(line => line.includes("draining=i-1")), "the box knows of it");
            deployment.store.delete("servers", "i-2");
            await waitUntil(() => box.logLines.some(line => line.includes("removed=i-2")), "the box knows of it");
            expect((await ask("/lookup/")).status).to.equal(503);
            expect(runs()).to.have.length(0);
        });

        it("receive nothing while their zone is evacuated, and requests again afterwards [P16]", async () => {
            deployment.store.put("evacuations", "north-a", {});
            deployment.store.put("evacuations", "south-a", {});
            await waitUntil(
                () => box.logLines.some(line => line.includes("closed=north-a,south-a")),
                "the box knows of it",
            );
            expect((await ask("/lookup/")).status).to.equal(503);
            deployment.store.delete("evacuations", "south-a");
            await waitUntil(async () => (await ask("/lookup/")).status === 200, "the zone serves again");
            expect(first.runs).to.have.length(0);
        });

        it("receive nothing if they are outside the home regions of a route [P15]", async () => {
            deployment.configure(3, [{ ...rules[0], homeRegions: ["south"] }]);
            await waitUntil(() => box.logLines.some(line => line.includes("version=3")), "the version is in force");
            for (let key = 0; key < 12; key++) {
                await ask("/lookup/", { affinityKey: `k-${key}` });
            }
            expect(first.runs).to.have.length(0);
            expect(second.runs).to.have.length(12);
        });
    });

    describe("connections that servers close", () => {
        it("because they are idle are not used for the next request", async () => {
            const brief = await deployment.addServer({ id: "i-8", service: "packs", idleMs: 1000 });
            deployment.store.delete("servers", "i-3");
            await waitUntil(() => box.logLines.some(line => line.includes("removed=i-3")), "the box knows of it");
            await ask("/pack/");
            await pause(milliseconds(1300));
            expect((await ask("/pack/")).status).to.equal(200);
            expect(brief.connections()).to.equal(2);
        });

        it("or reset when idle fail only the first of several unsafe requests [P5]", async () => {
            const statuses: number[] = [];
            world.first.setResetAfterIdle(200);
            world.second.setResetAfterIdle(200);
            for (let count = 0; count < 4; count++) {
                statuses.push((await ask("/save/", { method: "POST" })).status);
                await pause(milliseconds(350));
            }
            expect(statuses).to.deep.equal([200, 502, 200, 200]);
        });

        it("because they shut down are not reused", async () => {
            first.setShuttingDown(true);
            second.setShuttingDown(true);
            await ask("/lookup/");
            await ask("/lookup/");
            expect(first.connections() + second.connections()).to.equal(2);
        });
    });
});

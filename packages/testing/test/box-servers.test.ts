/**
 * One box on the users' platform, over real sockets: servers that refuse, fail,
 * fall silent, lose or spoil answers, or leave.
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

        it("is not promised unrun when the next server refuses, even if it may be repeated [P4]", async () => {
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

        /** Another service's server takes the address of the one that has the request. */
        const replaceSilentServer = async (ports: ReadonlyMap<ServerStandIn, number>) => {
            await waitUntil(() => runs().length === 1, "the request runs");
            const silent = first.runs.length === 1 ? first : second;
            await deployment.addServer({ id: "i-9", service: "packs", port: ports.get(silent) });
        };
        const portsOfBoth = () =>
            new Map([first, second].map(server => [server, Number(server.address().split(":")[1])]));

        it("loses a request that may be repeated once another server has its address", async () => {
            const ports = portsOfBoth();
            silence();
            const answer = ask("/patient/", { deadlineMs: 60_000 });
            await replaceSilentServer(ports);
            expect((await answer).status).to.equal(200);
        });

        it("ends one that may not, and promises nothing, once another server has its address [P4]", async () => {
            const ports = portsOfBoth();
            silence();
            const answer = ask("/patient-save/", { method: "POST", body: "b", deadlineMs: 60_000 });
            await replaceSilentServer(ports);
            expect((await answer).status).to.equal(502);
            expect(runs()).to.have.length(1);
        });

        it("keeps one that may not, until its time is over [P5]", async () => {
            silence();
            expect((await ask("/save/", { method: "POST", body: "b" })).status).to.equal(504);
            expect(runs()).to.have.length(1);
        });
    });

    describe("a server that is overdue while it goes on to take connections", () => {
        const loseFirstAnswer = () => misbehave({ kind: "loseAnswer", by: "silence" }, 1);
        const hedged = () => box.logLines.filter(line => line.includes("event=attempt.hedged")).length;

        it("is left waiting beside a second one, which answers long before the deadline", async () => {
            loseFirstAnswer();
            const answer = await ask("/patient/", { deadlineMs: 60_000 });
            expect(answer.status).to.equal(200);
            expect(hedged()).to.equal(1);
            expect(runs()).to.have.length(2);
        });

        it("loses the connection once the second one has answered, so that it stops its work", async () => {
            first.setWork(60_000);
            second.setWork(60_000);
            const slow = ask("/patient/", { deadlineMs: 60_000 });
            await waitUntil(() => runs().length === 1, "the first server has the request");
            const other = first.runs.length === 1 ? second : first;
            other.setWork(0);
            expect((await slow).status).to.equal(200);
            await waitUntil(() => first.abortedRequests() + second.abortedRequests() === 1, "the work is abandoned");
        });

        /** The first request breaks off once its work is done; what comes of those after it is given. */
        const breakFirst = (later: ServerBehaviour) => {
            let count = 0;
            for (const backend of [first, second]) {
                backend.setWork(3000);
                backend.setBehaviour(() => {
                    count += 1;
                    return count === 1 ? { kind: "loseAnswer", by: "reset" } : later;
                });
            }
        };

        it("fails beside one that did not run the request, which may have run all the same", async () => {
            breakFirst({ kind: "shed" });
            expect((await ask("/patient/", { deadlineMs: 60_000 })).status).to.equal(502);
            expect(hedged()).to.equal(1);
        });

        it("fails as the second one does, and so does the request", async () => {
            breakFirst({ kind: "loseAnswer", by: "reset" });
            expect((await ask("/patient/", { deadlineMs: 60_000 })).status).to.equal(502);
            expect(hedged()).to.equal(1);
            expect(runs()).to.have.length(2);
        });

        it("ends its work with the second one, once their caller leaves [P12]", async () => {
            first.setWork(60_000);
            second.setWork(60_000);
            const caller = await connectRaw(box);
            caller.send(`GET /patient/ HTTP/1.1\r\nHost: ${testHost}\r\nDeadline-Ms: 60000\r\n\r\n`);
            await waitUntil(() => runs().length === 2, "both have the request");
            caller.socket.destroy();
            await waitUntil(
                () => first.abortedRequests() + second.abortedRequests() === 2,
                "the work of both is abandoned",
            );
        });

        it("keeps a request that may not run twice to itself [P5]", async () => {
            loseFirstAnswer();
            expect((await ask("/save/", { method: "POST", body: "b" })).status).to.equal(504);
            expect(runs()).to.have.length(1);
            expect(hedged()).to.equal(0);
        });

        it("is the last one when the route allows no more servers [P11]", async () => {
            misbehave({ kind: "loseAnswer", by: "silence" });
            expect((await ask("/lookup/")).status).to.equal(504);
            expect(runs()).to.have.length(2);
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
                expect(box.logLines.filter(line => line.includes("event=attempt.failed")).length).to.be.lessThan(4);
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

    describe("servers that turn requests away with slots free", () => {
        it("are asked once more before one that does not know the key [P5]", async () => {
            await ask("/lookup/");
            const [{ headers }] = runs();
            misbehave({ kind: "shed", includesLoad: true }, 1);
            expect((await ask("/lookup/")).status).to.equal(200);
            expect(runs().map(run => run.warm)).to.deep.equal([false, true]);
            expect(runs()[1].headers["expect-instance"]).to.equal(headers["expect-instance"]);
        });

        it("let callers come back at once", async () => {
            misbehave({ kind: "shed", includesLoad: true });
            const answer = await ask("/lookup/");
            expect(answer.status).to.equal(503);
            expect(Number(answer.headers["retry-after"])).to.be.lessThan(0.1);
        });
    });

    describe("servers that leave", () => {
        it("get nothing once they are draining, nor once their record is gone [P6]", async () => {
            deployment.writeServerRecord(first, { state: "draining" });
            await waitUntil(() => box.logLines.some(line => line.includes("draining=i-1")), "the box knows");
            deployment.store.delete("servers", "i-2");
            await waitUntil(() => box.logLines.some(line => line.includes("removed=i-2")), "the box knows");
            expect((await ask("/lookup/")).status).to.equal(503);
            expect(runs()).to.have.length(0);
        });

        it("get nothing while their zone is evacuated, and again when it is taken back [P16]", async () => {
            deployment.store.put("evacuations", "north-a", {});
            deployment.store.put("evacuations", "south-a", {});
            await waitUntil(() => box.logLines.some(line => line.includes("closed=north-a,south-a")), "the box knows");
            expect((await ask("/lookup/")).status).to.equal(503);
            deployment.store.delete("evacuations", "south-a");
            await waitUntil(async () => (await ask("/lookup/")).status === 200, "the zone serves again");
            expect(first.runs).to.have.length(0);
        });

        it("outside the homes of a route get nothing [P15]", async () => {
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
        it("because they rested are not used for the next request", async () => {
            const brief = await deployment.addServer({ id: "i-8", service: "packs", idleMs: 1000 });
            deployment.store.delete("servers", "i-3");
            await waitUntil(() => box.logLines.some(line => line.includes("removed=i-3")), "the box knows");
            await ask("/pack/");
            await pause(milliseconds(1300));
            expect((await ask("/pack/")).status).to.equal(200);
            expect(brief.connections()).to.equal(2);
        });

        it("or forget while they rest cost one request that may not run twice, not each [P5]", async () => {
            const statuses: number[] = [];
            world.first.setResetAfterIdle(200);
            world.second.setResetAfterIdle(200);
            for (let count = 0; count < 4; count++) {
                statuses.push((await ask("/save/", { method: "POST" })).status);
                await pause(milliseconds(350));
            }
            expect(statuses).to.deep.equal([200, 502, 200, 200]);
        });

        it("since they are leaving are not kept", async () => {
            first.setShuttingDown(true);
            second.setShuttingDown(true);
            await ask("/lookup/");
            await ask("/lookup/");
            expect(first.connections() + second.connections()).to.equal(2);
        });
    });
});

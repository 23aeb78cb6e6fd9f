/**
 * Large bodies over real sockets: bodies that are too long, or that arrive late, in part or not at all, servers that
 * answer before they have read them, and the memory that they take.
 */

import { milliseconds } from "@chalkdale/kernel";
import { expect } from "chai";
import { createServer, type Socket } from "node:net";
import { sendRequest } from "../src/standins/client.js";
import { pause, type TestBox, testHost, waitUntil } from "../src/standins/deployment.js";
import { serverObject } from "../src/standins/platform-objects.js";
import { type OneBox, rules, startOneBox } from "./one-box.js";
import { connectRaw } from "./raw-caller.js";

/** Bytes of the largest usual upload, and of a body above the limit of the tests' configuration. */
const largeBytes = 360_000;
const tooLargeBytes = 1_200_000;
const metricsPort = 29_466;
/** Callers that stop in the middle of their bodies; together they send several times what the box may hold. */
const stalledCallers = 4;

describe("a box that takes uploads", () => {
    let world: OneBox;
    let box: TestBox;

    beforeEach(async () => {
        world = await startOneBox({ metricsPort });
        ({ box } = world);
    });

    afterEach(() => world.deployment.close());

    const upload: OneBox["ask"] = (path, options) => world.ask(path, { method: "POST", ...options });

    describe("of ordinary callers", () => {
        for (const chunked of [false, true]) {
            it(`passes on ${largeBytes} bytes ${chunked ? "in chunks" : "with a length"}`, async () => {
                const body = "photo".repeat(largeBytes / 5);
                expect((await upload("/photos/", { body, chunked })).status).to.equal(200);
                expect(world.runs().map(run => run.body === body)).to.deep.equal([true]);
            });
        }

        it("runs each at most once [P1]", async () => {
            world.misbehave({ kind: "loseAnswer", by: "reset" }, 1);
            expect((await upload("/photos/", { body: "photo" })).status).to.equal(502);
            expect(world.runs()).to.have.length(1);
        });

        it("counts the time in which the body arrives against the deadline [P11]", async () => {
            const caller = await connectRaw(box);
            caller.sendHead("/photos/", "slow", ["Deadline-Ms: 1400", "Content-Length: 8"]);
            caller.send("half");
            await pause(milliseconds(300));
            caller.send("half");
            await caller.receives("HTTP/1.1 200 ");
            expect(Number(world.runs()[0].headers["deadline-ms"])).to.be.at.most(1100);
            caller.socket.destroy();
        });
    });

    describe("of bodies that are too long", () => {
        it("refuses a body by its length, runs no later request, and ends the connection", async () => {
            const caller = await connectRaw(box);
            caller.sendHead("/photos/", "long", [`Content-Length: ${tooLargeBytes}`]);
            expect(await caller.receives("\r\n\r\n")).to.match(/^HTTP\/1.1 413 /).and.include("Connection: close");
            await waitUntil(caller.isEnded, "the box ends the connection");
            caller.send("x".repeat(tooLargeBytes));
            caller.sendHead("/save/", "behind", ["Content-Length: 0"]);
            await waitUntil(() => {
                caller.send("x");
                return caller.socket.destroyed;
            }, "the connection is gone");
            expect(world.runs()).to.have.length(0);
        });

        it("refuses a body in chunks as soon as it is too long, and the caller receives the answer", async () => {
            const caller = await connectRaw(box);
            caller.sendHead("/photos/", "chunks", ["Transfer-Encoding: chunked"]);
            const chunk = `${(100_000).toString(16)}\r\n${"x".repeat(100_000)}\r\n`;
            for (let sent = 0; sent < tooLargeBytes; sent += 100_000) {
                caller.send(chunk);
            }
            expect(await caller.receives("\r\n\r\n")).to.match(/^HTTP\/1.1 413 /);
            await waitUntil(caller.isEnded, "the box ends the connection");
            caller.socket.destroy();
        });

        it("keeps the connection of a refused request whose body is short", async () => {
            const caller = await connectRaw(box);
            caller.sendHead("/nowhere/", "short", ["Content-Length: 5"]);
            await caller.receives("HTTP/1.1 404 ");
            caller.send("photo");
            caller.sendHead("/photos/", "next", ["Content-Length: 5"]);
            caller.send("photo");
            await caller.receives("HTTP/1.1 200 ");
            expect(world.runs().map(run => run.requestId)).to.deep.equal(["next"]);
            caller.socket.destroy();
        });
    });

    describe("of callers that expect 100-continue", () => {
        it("sends 100 Continue when it is ready to read the body", async () => {
            const caller = await connectRaw(box);
            caller.sendHead("/photos/", "asks", ["Content-Length: 5", "Expect: 100-continue"]);
            await caller.receives("HTTP/1.1 100 Continue");
            caller.send("photo");
            await caller.receives("HTTP/1.1 200 ");
            expect(world.runs()[0].headers).not.to.have.property("expect");
            caller.socket.destroy();
        });

        for (
            const [what, path, length] of [["has no route", "/nowhere/", 5], ["is too long", "/photos/", tooLargeBytes]]
        ) {
            it(`does not send it when the request ${what}, and ends the connection`, async () => {
                const caller = await connectRaw(box);
                caller.sendHead(String(path), "asks", [`Content-Length: ${length}`, "Expect: 100-continue"]);
                await waitUntil(caller.isEnded, "the box ends the connection");
                expect(caller.received()).to.match(/^HTTP\/1.1 4(04|13) /).and.not.include("100 Continue");
                caller.socket.destroy();
            });
        }
    });

    describe("of callers that leave or stall", () => {
        it("passes nothing on, and frees the memory [P12]", async () => {
            const caller = await connectRaw(box);
            caller.sendHead("/photos/", "leaves", [`Content-Length: ${largeBytes}`]);
            caller.send("x".repeat(largeBytes / 2));
            await waitUntil(async () => await gauge(box, "bodies_bytes") > 0, "the box has a part of the body");
            caller.socket.destroy();
            await waitUntil(async () => await gauge(box, "bodies_bytes") === 0, "the memory is freed");
            expect(world.first.arrivals() + world.second.arrivals()).to.equal(0);
            await waitUntil(
                () => box.logLines.some(line => line.includes("request.callerLeft request=leaves")),
                "the departure is logged",
            );
        });

        it("closes the connection to a server that does not read, once the caller leaves [P12]", async () => {
            const sockets: Socket[] = [];
            const server = createServer(socket => sockets.push(socket.pause()));
            await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
            const port = (server.address() as { port: number; }).port;
            world.deployment.store.put("servers", "i-9", serverObject(`127.0.0.1:${port}`, { service: "packs" }));
            world.deployment.store.delete("servers", "i-3");
            world.deployment.configure(3, [{ ...rules[1], service: "packs", timeout: "60s" }]);
            await waitUntil(() => box.logLines.some(line => line.includes("version=3")), "the version is in force");
            void upload("/save/", { body: "x".repeat(largeBytes), disconnectAfterMs: 300 });
            await waitUntil(() => sockets.length === 1, "the server is connected");
            const closed = new Promise(resolve => sockets[0].on("close", resolve));
            await pause(milliseconds(400));
            sockets[0].on("error", () => undefined).resume();
            await closed;
            server.close();
        });
    });

    describe("for servers that answer before the body is complete", () => {
        it("passes on the answer, and the next request is sent correctly", async () => {
            world.misbehave({ kind: "early" }, 1);
            expect((await upload("/photos/", { body: "x".repeat(largeBytes) })).body).to.equal("early");
            expect((await upload("/photos/", { body: "photo" })).status).to.equal(200);
            expect(world.runs().map(run => run.body)).to.deep.equal(["photo"]);
        });

        it("tries another server if the first one did not run the request and closes the connection", async () => {
            world.misbehave({ kind: "shedAndDrop" }, 1);
            const body = "x".repeat(largeBytes);
            expect((await upload("/photos/", { body })).status).to.equal(200);
            expect(world.runs().map(run => run.body === body)).to.deep.equal([true]);
        });
    });

    describe("during a planned stop", () => {
        it("serves a request whose body had arrived in part [P7]", async () => {
            const caller = await connectRaw(box);
            caller.sendHead("/photos/", "half", ["Content-Length: 8"]);
            caller.send("half");
            await pause(milliseconds(50));
            const stopped = box.running.stop();
            caller.send("half");
            expect(await caller.receives("HTTP/1.1 200 ")).to.include("Connection: close");
            await stopped;
        });
    });
});

describe("a box whose memory for bodies is spent", () => {
    let world: OneBox;
    let box: TestBox;

    beforeEach(async () => {
        // An eighth of this limit is one megabyte.
        world = await startOneBox({ memoryMb: 8, metricsPort });
        ({ box } = world);
    });

    afterEach(() => world.deployment.close());

    it("pauses reading, and serves others once it has refused and logged the stalled uploads", async () => {
        const stalled = await Promise.all(Array.from({ length: stalledCallers }, () => connectRaw(box)));
        stalled.forEach((caller, index) => {
            caller.sendHead("/patient-save/", `stalled-${index}`, ["Content-Length: 900000"]);
            caller.send("x".repeat(899_000));
        });
        await waitUntil(async () => await gauge(box, "bodies_bytes") >= 1_000_000, "the memory is spent");
        let peak = 0;
        const body = "x".repeat(largeBytes);
        const answer = sendRequest({
            address: box.callerAddress,
            host: testHost,
            path: "/patient-save/",
            method: "POST",
            requestId: "late",
            body,
        });
        await waitUntil(async () => {
            peak = Math.max(peak, await gauge(box, "bodies_bytes"));
            return world.runs().some(run => run.requestId === "late" && run.body === body);
        }, "the late upload is served");
        expect((await answer).status).to.equal(200);
        // One body may exceed the bound, and of each connection, data that had been read when the bound was reached.
        expect(peak).to.be.below(1_000_000 + 900_000 + stalledCallers * 2 * 65_536);
        expect(box.logLines.some(line => line.includes("refusal=bodyStalled"))).to.equal(true);
        expect(world.runs()).to.have.length(1);
        stalled.forEach(caller => caller.socket.destroy());
        await waitUntil(async () => await gauge(box, "bodies_bytes") === 0, "the memory is freed");
    });

    it("sends 100 Continue only once it has refused the stalled uploads", async () => {
        const stalled = await Promise.all(Array.from({ length: stalledCallers }, () => connectRaw(box)));
        stalled.forEach((caller, index) => {
            caller.sendHead("/patient-save/", `stalled-${index}`, ["Content-Length: 900000"]);
            caller.send("x".repeat(899_000));
        });
        await waitUntil(async () => await gauge(box, "bodies_bytes") >= 1_000_000, "the memory is spent");
        const expecting = await connectRaw(box);
        let wasStalledRefused: boolean | undefined;
        expecting.socket.once("data", () => {
            wasStalledRefused = box.logLines.some(line => line.includes("refusal=bodyStalled"));
        });
        expecting.sendHead("/patient-save/", "asks", [`Content-Length: ${largeBytes}`, "Expect: 100-continue"]);
        await expecting.receives("HTTP/1.1 100 Continue");
        expect(wasStalledRefused).to.equal(true);
        expecting.send("x".repeat(largeBytes));
        await expecting.receives("HTTP/1.1 200 ");
        expect(world.runs().map(run => run.requestId)).to.deep.equal(["asks"]);
        [...stalled, expecting].forEach(caller => caller.socket.destroy());
    });

    it("sends no 100 Continue for a body that is refused for lack of memory", async () => {
        const callers = await Promise.all(Array.from({ length: 40 }, () => connectRaw(box)));
        callers.forEach((caller, index) => {
            caller.sendHead("/patient-save/", `asks-${index}`, ["Content-Length: 900000", "Expect: 100-continue"]);
        });
        const refused = () => callers.filter(caller => caller.received().includes("HTTP/1.1 503 "));
        await waitUntil(() => refused().length > 0, "some of them are refused");
        expect(refused().map(caller => caller.received()).join("")).not.to.include("100 Continue");
        callers.forEach(caller => caller.socket.destroy());
    });
});

/** Reads one gauge from the metrics of a box. */
async function gauge(box: TestBox, name: string): Promise<number> {
    const { body } = await sendRequest({ address: box.metrics, host: "box", path: "/metrics", requestId: "metrics" });
    return Number(new RegExp(`^chalkdale_${name} (\\d+)`, "m").exec(body)?.[1]);
}

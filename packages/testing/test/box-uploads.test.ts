/**
 * Large bodies over real sockets: bodies that come late, in part, too long or not
 * at all, servers that do not wait for them, and the memory that they take up.
 */

import { milliseconds } from "@chalkdale/kernel";
import { expect } from "chai";
import { createServer, type Socket } from "node:net";
import { sendRequest } from "../src/standins/client.js";
import { pause, type TestBox, testHost, waitUntil } from "../src/standins/deployment.js";
import { serverObject } from "../src/standins/platform-objects.js";
import { type OneBox, rules, startOneBox } from "./one-box.js";
import { connectRaw } from "./raw-caller.js";

/** Bytes of the largest usual upload, and of a body beyond the limit of the tests' configuration. */
const large = 360_000;
const tooLarge = 1_200_000;
const metricsPort = 29_466;
/** Together they send several times what the box may hold. */
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
            it(`passes on ${large} bytes ${chunked ? "in chunks" : "with a length"}`, async () => {
                const body = "photo".repeat(large / 5);
                expect((await upload("/photos/", { body, chunked })).status).to.equal(200);
                expect(world.runs().map(run => run.body === body)).to.deep.equal([true]);
            });
        }

        it("runs each at most once [P1]", async () => {
            world.misbehave({ kind: "loseAnswer", by: "reset" }, 1);
            expect((await upload("/photos/", { body: "photo" })).status).to.equal(502);
            expect(world.runs()).to.have.length(1);
        });

        it("lets the deadline run while the body comes [P11]", async () => {
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

    describe("too long", () => {
        it("refuses one by its length, reads nothing behind it, and ends the connection", async () => {
            const caller = await connectRaw(box);
            caller.sendHead("/photos/", "long", [`Content-Length: ${tooLarge}`]);
            expect(await caller.receives("\r\n\r\n")).to.match(/^HTTP\/1.1 413 /).and.include("Connection: close");
            await waitUntil(caller.isEnded, "the box ends the connection");
            caller.send("x".repeat(tooLarge));
            caller.sendHead("/save/", "behind", ["Content-Length: 0"]);
            await waitUntil(() => {
                caller.send("x");
                return caller.socket.destroyed;
            }, "the connection is gone");
            expect(world.runs()).to.have.length(0);
        });

        it("refuses one in chunks as soon as it is too long, and the caller gets the answer", async () => {
            const caller = await connectRaw(box);
            caller.sendHead("/photos/", "chunks", ["Transfer-Encoding: chunked"]);
            const chunk = `${(100_000).toString(16)}\r\n${"x".repeat(100_000)}\r\n`;
            for (let sent = 0; sent < tooLarge; sent += 100_000) {
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

    describe("of callers that ask before they send", () => {
        it("tells them to go on once the body is wanted", async () => {
            const caller = await connectRaw(box);
            caller.sendHead("/photos/", "asks", ["Content-Length: 5", "Expect: 100-continue"]);
            await caller.receives("HTTP/1.1 100 Continue");
            caller.send("photo");
            await caller.receives("HTTP/1.1 200 ");
            expect(world.runs()[0].headers).not.to.have.property("expect");
            caller.socket.destroy();
        });

        for (const [what, path, length] of [["has no route", "/nowhere/", 5], ["is too long", "/photos/", tooLarge]]) {
            it(`does not when the request ${what}, and ends the connection`, async () => {
                const caller = await connectRaw(box);
                caller.sendHead(String(path), "asks", [`Content-Length: ${length}`, "Expect: 100-continue"]);
                await waitUntil(caller.isEnded, "the box ends the connection");
                expect(caller.received()).to.match(/^HTTP\/1.1 4(04|13) /).and.not.include("100 Continue");
                caller.socket.destroy();
            });
        }
    });

    describe("of callers that leave or stall", () => {
        it("sends nothing on, and holds nothing of it [P12]", async () => {
            const caller = await connectRaw(box);
            caller.sendHead("/photos/", "leaves", [`Content-Length: ${large}`]);
            caller.send("x".repeat(large / 2));
            await waitUntil(async () => await gauge(box, "bodies_bytes") > 0, "the box has a part of the body");
            caller.socket.destroy();
            await waitUntil(async () => await gauge(box, "bodies_bytes") === 0, "the memory is given back");
            expect(world.first.arrivals() + world.second.arrivals()).to.equal(0);
            await waitUntil(
                () => box.logLines.some(line => line.includes("request.callerLeft request=leaves")),
                "a line",
            );
        });

        it("ends the work of a server that does not read, once its caller leaves [P12]", async () => {
            const sockets: Socket[] = [];
            const server = createServer(socket => sockets.push(socket.pause()));
            await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
            const port = (server.address() as { port: number; }).port;
            world.deployment.store.put("servers", "i-9", serverObject(`127.0.0.1:${port}`, { service: "packs" }));
            world.deployment.store.delete("servers", "i-3");
            world.deployment.configure(3, [{ ...rules[1], service: "packs", timeout: "60s" }]);
            await waitUntil(() => box.logLines.some(line => line.includes("version=3")), "the version is in force");
            void upload("/save/", { body: "x".repeat(large), disconnectAfterMs: 300 });
            await waitUntil(() => sockets.length === 1, "the server is connected");
            const closed = new Promise(resolve => sockets[0].on("close", resolve));
            await pause(milliseconds(400));
            sockets[0].on("error", () => undefined).resume();
            await closed;
            server.close();
        });
    });

    describe("for servers that answer before the body is in", () => {
        it("passes on the answer, and the next request over the same connection is sound", async () => {
            world.misbehave({ kind: "early" }, 1);
            expect((await upload("/photos/", { body: "x".repeat(large) })).body).to.equal("early");
            expect((await upload("/photos/", { body: "photo" })).status).to.equal(200);
            expect(world.runs().map(run => run.body)).to.deep.equal(["photo"]);
        });

        it("tries another one, if the first did not run it and drops the connection", async () => {
            world.misbehave({ kind: "shedAndDrop" }, 1);
            const body = "x".repeat(large);
            expect((await upload("/photos/", { body })).status).to.equal(200);
            expect(world.runs().map(run => run.body === body)).to.deep.equal([true]);
        });
    });

    describe("and stops as planned", () => {
        it("serves one whose body was half in [P7]", async () => {
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

    it("reads no further, serves the others once the stalled ones have lost their place, and says so", async () => {
        const stalled = await Promise.all(Array.from({ length: stalledCallers }, () => connectRaw(box)));
        stalled.forEach((caller, index) => {
            caller.sendHead("/patient-save/", `stalled-${index}`, ["Content-Length: 900000"]);
            caller.send("x".repeat(899_000));
        });
        await waitUntil(async () => await gauge(box, "bodies_bytes") >= 1_000_000, "the memory is spent");
        let most = 0;
        const body = "x".repeat(large);
        const answer = sendRequest({
            address: box.callerAddress,
            host: testHost,
            path: "/patient-save/",
            method: "POST",
            requestId: "late",
            body,
        });
        await waitUntil(async () => {
            most = Math.max(most, await gauge(box, "bodies_bytes"));
            return world.runs().some(run => run.requestId === "late" && run.body === body);
        }, "the late one is served");
        expect((await answer).status).to.equal(200);
        // One body beyond the bound, and the part of each connection that had been read when the bound was met.
        expect(most).to.be.below(1_000_000 + 900_000 + stalledCallers * 2 * 65_536);
        expect(box.logLines.some(line => line.includes("refusal=bodyStalled"))).to.equal(true);
        expect(world.runs()).to.have.length(1);
        stalled.forEach(caller => caller.socket.destroy());
        await waitUntil(async () => await gauge(box, "bodies_bytes") === 0, "the memory is given back");
    });

    it("tells a caller that asks to send its body only once the stalled ones have lost their place", async () => {
        const stalled = await Promise.all(Array.from({ length: stalledCallers }, () => connectRaw(box)));
        stalled.forEach((caller, index) => {
            caller.sendHead("/patient-save/", `stalled-${index}`, ["Content-Length: 900000"]);
            caller.send("x".repeat(899_000));
        });
        await waitUntil(async () => await gauge(box, "bodies_bytes") >= 1_000_000, "the memory is spent");
        const asks = await connectRaw(box);
        let wasFreed: boolean | undefined;
        asks.socket.once("data", () => {
            wasFreed = box.logLines.some(line => line.includes("refusal=bodyStalled"));
        });
        asks.sendHead("/patient-save/", "asks", [`Content-Length: ${large}`, "Expect: 100-continue"]);
        await asks.receives("HTTP/1.1 100 Continue");
        expect(wasFreed).to.equal(true);
        asks.send("x".repeat(large));
        await asks.receives("HTTP/1.1 200 ");
        expect(world.runs().map(run => run.requestId)).to.deep.equal(["asks"]);
        [...stalled, asks].forEach(caller => caller.socket.destroy());
    });

    it("tells no caller to send a body that is refused for want of room", async () => {
        const callers = await Promise.all(Array.from({ length: 40 }, () => connectRaw(box)));
        callers.forEach((caller, index) => {
            caller.sendHead("/patient-save/", `asks-${index}`, ["Content-Length: 900000", "Expect: 100-continue"]);
        });
        const refused = () => callers.filter(caller => caller.received().includes("HTTP/1.1 503 "));
        await waitUntil(() => refused().length > 0, "some are refused");
        expect(refused().map(caller => caller.received()).join("")).not.to.include("100 Continue");
        callers.forEach(caller => caller.socket.destroy());
    });
});

/** Reads one figure of a box. */
async function gauge(box: TestBox, name: string): Promise<number> {
    const { body } = await sendRequest({ address: box.metrics, host: "box", path: "/metrics", requestId: "metrics" });
    return Number(new RegExp(`^chalkdale_${name} (\\d+)`, "m").exec(body)?.[1]);
}

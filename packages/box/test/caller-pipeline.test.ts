/**
 * The pipeline of a connection over real sockets, with answers that the test gives.
 */

import { milliseconds } from "@chalkdale/kernel";
import { expect } from "chai";
import { once } from "node:events";
import { createServer, type Server } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { type CallerConnections, serveCallers } from "../src/callers/caller-connections.js";
import type { CallerAnswer, CallerExchange } from "../src/callers/caller-exchange.js";
import { forwardAnswer, refusalAnswer } from "../src/requests/caller-answers.js";
import type { ServerAnswer } from "../src/servers/exchange.js";

describe("the pipeline of a connection", () => {
    let server: Server;
    let connections: CallerConnections;
    let turns: CallerExchange[];
    let caller: Socket;
    let received: string;
    let isLeaving: boolean;
    /** Each request that is begun is refused at once. */
    let refusesAll: boolean;
    /** Heads that Node has parsed. */
    let parsed: number;

    beforeEach(async () => {
        turns = [];
        received = "";
        isLeaving = false;
        refusesAll = false;
        parsed = 0;
        server = createServer();
        connections = serveCallers(server, {
            clock: () => milliseconds(0),
            isIdempotent: request => request.method === "GET",
            isLeaving: () => isLeaving,
            serve: turn => {
                turns.push(turn);
                if (refusesAll) {
                    turn.respond(refusalAnswer("noRoute"));
                }
            },
        });
        server.on("request", () => parsed++);
        server.listen(0, "127.0.0.1");
        await once(server, "listening");
        caller = connect((server.address() as AddressInfo).port, "127.0.0.1");
        caller.on("data", chunk => {
            received += String(chunk);
        });
        caller.on("error", () => undefined);
    });

    afterEach(() => {
        caller.destroy();
        server.closeAllConnections();
        server.close();
    });

    const textOf = (path: string, padding = "") => `GET ${path} HTTP/1.1\r\nHost: a\r\nPadding: ${padding}\r\n\r\n`;
    const answerWith = (body: string | Buffer, changes: Partial<ServerAnswer> = {}): CallerAnswer =>
        forwardAnswer({
            status: 200,
            rawHeaders: [],
            headers: {},
            body: Buffer.from(body),
            framed: true,
            reusable: true,
            ...changes,
        }, () => undefined);
    const statuses = () => [...received.matchAll(/HTTP\/1\.1 (\d+)/g)].map(([, status]) => Number(status));

    async function until(condition: () => boolean, what: string): Promise<void> {
        const end = performance.now() + 10_000;
        while (!condition()) {
            if (performance.now() > end) {
                throw new Error(`did not come about: ${what}`);
            }
            await new Promise(resolve => setTimeout(resolve, 5));
        }
    }

    describe("with more requests than it takes", () => {
        it("stops reading its socket, and reads on once there is room", async () => {
            const count = 20_000;
            const padding = "x".repeat(1000);
            for (let index = 0; index < count; index++) {
                caller.write(textOf("/", padding));
            }
            await until(() => turns.length === 8, "some are begun");
            await until(() => caller.bytesWritten > 0 && caller.writableLength > 0, "the caller's sending is stopped");
            await settle();
            expect(parsed).to.be.lessThan(500);
            expect(turns.length).to.equal(8);
            refusesAll = true;
            turns.forEach(turn => turn.respond(refusalAnswer("noRoute")));
            await until(() => turns.length === count && connections.inFlight() === 0, "all are answered");
            expect(parsed).to.equal(count);
        });

        /** Waits until nothing more is parsed: as long as the box would take for much more than is allowed. */
        async function settle(): Promise<void> {
            let before = -1;
            while (before !== parsed) {
                before = parsed;
                await new Promise(resolve => setTimeout(resolve, 200));
            }
        }
    });

    describe("with ready answers behind a slow one", () => {
        it("begins no more once they hold much memory, and goes on when they have left", async () => {
            caller.write(["/0", "/1", "/2"].map(path => textOf(path)).join(""));
            await until(() => turns.length === 3, "three are begun");
            const large = Buffer.alloc(128 * 1024, "x");
            turns[1].respond(answerWith(large));
            turns[2].respond(answerWith(large));
            caller.write(textOf("/3"));
            await until(() => parsed === 4, "the fourth is read");
            expect(turns.length).to.equal(3);
            turns[0].respond(answerWith("first"));
            await until(() => turns.length === 4 && statuses().length === 3, "the fourth is begun");
            expect(statuses()).to.deep.equal([200, 200, 200]);
        });
    });

    describe("that ends", () => {
        it("aborts exactly what is not answered, and counts nothing any more [P12]", async () => {
            caller.write([0, 1, 2].map(index => textOf(`/${index}`)).join(""));
            await until(() => turns.length === 3, "three are begun");
            turns[0].respond(refusalAnswer("noRoute"));
            await until(() => connections.inFlight() === 2, "the first has its answer");
            turns[2].respond(refusalAnswer("noRoute"));
            caller.resetAndDestroy();
            await until(() => connections.count() === 0, "the connection has ended");
            expect(turns.map(turn => turn.controller.signal.aborted)).to.deep.equal([false, true, true]);
            expect(connections.inFlight()).to.equal(0);
            turns[1].respond(refusalAnswer("noRoute"));
            expect(connections.inFlight()).to.equal(0);
        });

        it("lets a large last answer arrive though requests behind it were not read [P7]", async () => {
            const size = 512 * 1024;
            isLeaving = true;
            caller.pause();
            caller.write(textOf("/0") + textOf("/1", "x".repeat(8000)).repeat(300));
            await until(() => turns.length === 1, "the first is begun");
            turns[0].respond(answerWith(Buffer.alloc(size, "x")));
            await until(() => connections.inFlight() === 0, "the answer has left the process");
            await new Promise(resolve => setTimeout(resolve, 100));
            caller.resume();
            await once(caller, "close");
            expect(received.length - received.indexOf("\r\n\r\n") - 4).to.equal(size);
            expect(turns.length).to.equal(1);
        });
    });

    describe("with an answer given twice, or one that can't be written", () => {
        it("takes the first, and leaves the others alone", async () => {
            caller.write(textOf("/0") + textOf("/1"));
            await until(() => turns.length === 2, "two are begun");
            turns[1].respond(answerWith("second"));
            turns[1].respond(refusalAnswer("internalFault"));
            turns[0].respond(answerWith("first", { status: 7 }));
            turns[0].respond(refusalAnswer("noRoute"));
            await until(() => statuses().length === 2, "both are answered");
            expect(statuses()).to.deep.equal([500, 200]);
            expect(connections.inFlight()).to.equal(0);
        });
    });

    describe("whose caller asks for other than it may", () => {
        it("begins what must not run twice only behind all others", async () => {
            caller.write(`${textOf("/0")}POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nab${textOf("/2")}`);
            await until(() => parsed === 3, "all are read");
            expect(turns.length).to.equal(1);
            turns[0].respond(refusalAnswer("noRoute"));
            await until(() => turns.length === 2, "the second is begun");
            await new Promise(resolve => setImmediate(resolve));
            expect(turns.length).to.equal(2);
            turns[1].respond(refusalAnswer("noRoute"));
            await until(() => turns.length === 3, "the third is begun");
        });
    });
});

/**
 * Runs the pipeline of a connection over real sockets; the test supplies the answers.
 */

import { createSendRecord, decideRefusal, decideStatus, internalFault } from "@chalkdale/decisions";
import { milliseconds } from "@chalkdale/kernel";
import { expect } from "chai";
import { once } from "node:events";
import { createServer, type Server } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { type CallerConnections, serveCallers } from "../src/callers/caller-connections.js";
import type { CallerAnswer, CallerExchange } from "../src/callers/caller-exchange.js";
import { createLoopShare } from "../src/loop-share.js";
import { type ForwardableAnswer, forwardAnswer, refusalAnswer } from "../src/requests/caller-answers.js";
import { bodyOf } from "../src/servers/answer-body.js";
import { createAmpleMemory } from "./ample-memory.js";

const unsent = createSendRecord();
const noRoute = decideRefusal("noRoute", unsent);

describe("the pipeline of a connection", () => {
    let server: Server;
    let connections: CallerConnections;
    let exchanges: CallerExchange[];
    let caller: Socket;
    let received: string;
    let isLeaving: boolean;
    /** True if each request is refused as soon as it is started. */
    let refusesImmediately: boolean;
    /** Number of request heads that Node has parsed. */
    let parsedCount: number;

    beforeEach(async () => {
        exchanges = [];
        received = "";
        isLeaving = false;
        refusesImmediately = false;
        parsedCount = 0;
        server = createServer();
        connections = serveCallers(server, {
            clock: () => milliseconds(0),
            loopShare: createLoopShare(() => milliseconds(0)),
            maxConnections: Infinity,
            unreadFor: () => milliseconds(0),
            isIdempotent: request => request.method === "GET",
            isLeaving: () => isLeaving,
            serve: exchange => {
                exchanges.push(exchange);
                if (refusesImmediately) {
                    exchange.respond(refusalAnswer(noRoute));
                }
            },
        });
        server.on("request", () => parsedCount++);
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

    const requestText = (path: string, padding = "") =>
        `GET ${path} HTTP/1.1\r\nHost: a\r\nPadding: ${padding}\r\n\r\n`;
    const answerWith = (body: string | Buffer, changes: Partial<ForwardableAnswer> = {}): CallerAnswer =>
        forwardAnswer(
            {
                status: decideStatus(200, unsent)!,
                rawHeaders: [],
                headers: {},
                body: bodyOf(Buffer.from(body)),
                framed: true,
                reusable: true,
                ...changes,
            },
            { memory: createAmpleMemory(), callerWaits: () => true, onFault: () => undefined },
        );
    const statuses = () => [...received.matchAll(/HTTP\/1\.1 (\d+)/g)].map(([, status]) => Number(status));

    async function until(condition: () => boolean, description: string): Promise<void> {
        const end = performance.now() + 10_000;
        while (!condition()) {
            if (performance.now() > end) {
                throw new Error(`timed out waiting until ${description}`);
            }
            await new Promise(resolve => setTimeout(resolve, 5));
        }
    }

    describe("with more requests than it may read ahead", () => {
        it("stops reading its socket, and resumes once requests are answered", async () => {
            const count = 20_000;
            const padding = "x".repeat(1000);
            for (let index = 0; index < count; index++) {
                caller.write(requestText("/", padding));
            }
            await until(() => exchanges.length === 8, "as many as allowed are started");
            await until(() => caller.bytesWritten > 0 && caller.writableLength > 0, "the caller's sending is blocked");
            await settle();
            expect(parsedCount).to.be.lessThan(500);
            expect(exchanges.length).to.equal(8);
            refusesImmediately = true;
            exchanges.forEach(exchange => exchange.respond(refusalAnswer(noRoute)));
            await until(() => exchanges.length === count && connections.inFlight() === 0, "all are answered");
            expect(parsedCount).to.equal(count);
        });

        /** Waits until no head was parsed for 200 ms: a box without the limit would parse many more in that time. */
        async function settle(): Promise<void> {
            let before = -1;
            while (before !== parsedCount) {
                before = parsedCount;
                await new Promise(resolve => setTimeout(resolve, 200));
            }
        }
    });

    describe("with ready answers behind a slow one", () => {
        it("starts no more once they hold too much memory, and continues when they have left", async () => {
            caller.write(["/0", "/1", "/2"].map(path => requestText(path)).join(""));
            await until(() => exchanges.length === 3, "three are started");
            const large = Buffer.alloc(128 * 1024, "x");
            exchanges[1].respond(answerWith(large));
            exchanges[2].respond(answerWith(large));
            caller.write(requestText("/3"));
            await until(() => parsedCount === 4, "the fourth is read");
            expect(exchanges.length).to.equal(3);
            exchanges[0].respond(answerWith("first"));
            await until(() => exchanges.length === 4 && statuses().length === 3, "the fourth is started");
            expect(statuses()).to.deep.equal([200, 200, 200]);
        });
    });

    describe("with an answer that its caller does not read, when its memory is needed", () => {
        const bodyBytes = 8_000_000;
        /** Resolves with the bytes that the caller gets, and whether the connection is still open. */
        async function receivedAfterStall(
            framed: boolean,
            callerWaits: boolean,
        ): Promise<readonly [bytes: number, isOpen: boolean]> {
            let giveUp = () => undefined as void;
            const memory = {
                ...createAmpleMemory(),
                startSending(onStalled: () => void) {
                    giveUp = onStalled;
                },
            };
            caller.write(requestText("/a"));
            await until(() => exchanges.length === 1, "the request is there");
            const status = decideStatus(200, unsent)!;
            // Sending removes its parts.
            const body = { length: bodyBytes, parts: Array.from({ length: 8 }, () => Buffer.alloc(bodyBytes / 8)) };
            const answer = { status, rawHeaders: [], headers: {}, body, framed, reusable: false };
            exchanges[0].respond(forwardAnswer(answer, {
                memory,
                callerWaits: () => callerWaits,
                onFault: () => undefined,
            }));
            caller.pause();
            await new Promise(resolve => setTimeout(resolve, 50));
            giveUp();
            await new Promise(resolve => setTimeout(resolve, 50));
            const isOpen = connections.count() === 1;
            caller.resume();
            await once(caller, "close");
            return [caller.bytesRead, isOpen];
        }

        it("is ended if its length shows that it is cut", async () => {
            const [bytes, isOpen] = await receivedAfterStall(true, true);
            expect(isOpen).to.equal(false);
            expect(bytes).to.be.lessThan(bodyBytes);
        });

        // Guards against the end of the connection being taken for the end of the answer.
        it("is sent whole if it has no length and its caller still waits", async () => {
            const [bytes, isOpen] = await receivedAfterStall(false, true);
            expect(isOpen).to.equal(true);
            expect(bytes).to.be.greaterThan(bodyBytes);
        });

        it("is ended if it has no length and its caller's deadline has passed", async () => {
            const [bytes, isOpen] = await receivedAfterStall(false, false);
            expect(isOpen).to.equal(false);
            expect(bytes).to.be.lessThan(bodyBytes);
        });
    });

    describe("that closes", () => {
        it("aborts exactly the unanswered requests, and counts none as in flight [P12]", async () => {
            caller.write([0, 1, 2].map(index => requestText(`/${index}`)).join(""));
            await until(() => exchanges.length === 3, "three are started");
            exchanges[0].respond(refusalAnswer(noRoute));
            await until(() => connections.inFlight() === 2, "the first is answered");
            exchanges[2].respond(refusalAnswer(noRoute));
            caller.resetAndDestroy();
            await until(() => connections.count() === 0, "the connection has closed");
            expect(exchanges.map(exchange => exchange.controller.signal.aborted)).to.deep.equal([false, true, true]);
            expect(connections.inFlight()).to.equal(0);
            exchanges[1].respond(refusalAnswer(noRoute));
            expect(connections.inFlight()).to.equal(0);
        });

        it("is known to have closed once a poll has read its reset, without an end before it", async () => {
            caller.write(requestText("/0"));
            await until(() => exchanges.length === 1, "the request is started");
            const handle = Reflect.get(caller, "_handle") as { readonly reset: (done: () => void) => void; };
            // Begins within a poll, where requests are read.
            const isThere = new Promise<boolean>(resolve =>
                server.once("request", () => {
                    handle.reset(() => undefined);
                    void exchanges[0].caller.confirm().then(resolve);
                })
            );
            const other = connect((server.address() as AddressInfo).port, "127.0.0.1");
            other.write(requestText("/1"));
            expect(await isThere).to.equal(false);
            expect(exchanges[0].controller.signal.aborted).to.equal(true);
            other.destroy();
        });

        it("delivers a large last answer although requests behind it were not read [P7]", async () => {
            const size = 512 * 1024;
            isLeaving = true;
            caller.pause();
            caller.write(requestText("/0") + requestText("/1", "x".repeat(8000)).repeat(300));
            await until(() => exchanges.length === 1, "the first is started");
            exchanges[0].respond(answerWith(Buffer.alloc(size, "x")));
            await until(() => connections.inFlight() === 0, "the answer has left the process");
            await new Promise(resolve => setTimeout(resolve, 100));
            caller.resume();
            await once(caller, "close");
            expect(received.length - received.indexOf("\r\n\r\n") - 4).to.equal(size);
            expect(exchanges.length).to.equal(1);
        });
    });

    describe("with a second answer to one request, or one that can't be written", () => {
        it("sends the first answer, and does not affect other requests", async () => {
            caller.write(requestText("/0") + requestText("/1"));
            await until(() => exchanges.length === 2, "two are started");
            exchanges[1].respond(answerWith("second"));
            exchanges[1].respond(refusalAnswer(internalFault));
            exchanges[0].respond(answerWith("first", { status: decideStatus(7, unsent) }));
            exchanges[0].respond(refusalAnswer(noRoute));
            await until(() => statuses().length === 2, "both are answered");
            expect(statuses()).to.deep.equal([500, 200]);
            expect(connections.inFlight()).to.equal(0);
        });
    });

    describe("with a request that may not run twice", () => {
        it("starts it only once all earlier ones are answered, and later ones only after it", async () => {
            caller.write(
                `${requestText("/0")}POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nab${requestText("/2")}`,
            );
            await until(() => parsedCount === 3, "all are read");
            expect(exchanges.length).to.equal(1);
            exchanges[0].respond(refusalAnswer(noRoute));
            await until(() => exchanges.length === 2, "the second is started");
            await new Promise(resolve => setImmediate(resolve));
            expect(exchanges.length).to.equal(2);
            exchanges[1].respond(refusalAnswer(noRoute));
            await until(() => exchanges.length === 3, "the third is started");
        });
    });
});

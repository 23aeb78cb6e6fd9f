import { milliseconds } from "@chalkdale/kernel";
import { expect } from "chai";
import fc from "fast-check";
import { type AddressInfo, connect, createServer, type Server, type Socket } from "node:net";
import { Duplex } from "node:stream";
import { createLoopShare } from "../src/loop-share.js";
import { type ConfirmedCaller, exchange, type ExchangeOutcome } from "../src/servers/exchange.js";
import { createAmpleMemory } from "./ample-memory.js";

const loopShare = createLoopShare(() => milliseconds(performance.now()));

/** A caller that is known to be there. */
const thereCaller: ConfirmedCaller = { isConfirmed: () => true, confirm: () => Promise.resolve(true) };

/** Runs a server that answers each request on one connection as scripted. */
async function withServer(
    answer: (socket: Socket, request: string) => void,
    run: (
        send: (requestId?: string, caller?: ConfirmedCaller, onHead?: () => void) => Promise<ExchangeOutcome>,
    ) => Promise<void>,
): Promise<void> {
    const server: Server = createServer(socket => {
        socket.on("error", () => undefined);
        socket.on("data", data => answer(socket, data.toString()));
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as AddressInfo;
    const socket = connect(port, "127.0.0.1");
    await new Promise(resolve => socket.once("connect", resolve));
    // An empty id stands for a request without one.
    const send = (requestId = "r-1", caller = thereCaller, onHead?: () => void) =>
        exchange({
            socket,
            method: "GET",
            path: "/a/",
            rawHeaders: ["Host", "example", "Request-Id", requestId, "Connection", "keep-alive"],
            body: Buffer.alloc(0),
            requestId: requestId === "" ? undefined : requestId,
            headers: { requestId: "request-id" },
            loopShare,
            memory: createAmpleMemory(),
            signal: new AbortController().signal,
            caller,
            onHead,
        });
    try {
        await run(send);
    }
    finally {
        socket.destroy();
        server.close();
    }
}

const head = (lines: string[] = [], id = "r-1") => `HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\n${lines.join("")}\r\n`;
const framed = (body: string, id = "r-1") => head([`Content-Length: ${body.length}\r\n`], id) + body;

/** Writes a text in pieces of the given sizes, repeated as often as needed, each in a turn of its own. */
function writeInPieces(socket: Socket, text: string, sizes: readonly number[]): void {
    socket.setNoDelay(true);
    let offset = 0;
    let piece = 0;
    const writeNext = () => {
        if (offset >= text.length || socket.destroyed) {
            return;
        }
        const size = sizes[piece % sizes.length];
        socket.write(text.slice(offset, offset + size), () => setImmediate(writeNext));
        offset += size;
        piece += 1;
    };
    writeNext();
}

/** Returns the body of an answer as text; undefined for another outcome. */
function textOf(outcome: ExchangeOutcome): string | undefined {
    return outcome.kind === "answer" ? Buffer.concat(outcome.answer.body.parts).toString() : undefined;
}

describe("exchange with a backend server [P3]", () => {
    describe("an answer with a length", () => {
        it("is received completely, and the connection carries the next request", async () => {
            await withServer((socket, request) => {
                socket.write(framed("whole", request.includes("r-2") ? "r-2" : "r-1"));
            }, async send => {
                const first = await send("r-1");
                const second = await send("r-2");
                expect([first, second].map(outcome => textOf(outcome)))
                    .to.deep.equal(["whole", "whole"]);
            });
        });

        it("is broken when it ends early", async () => {
            await withServer(socket => {
                socket.end(head(["Content-Length: 10\r\n"]) + "shor");
            }, async send => {
                expect((await send()).kind).to.equal("broken");
            });
        });
    });

    describe("an answer without a length", () => {
        it("is complete when the server closes its connection", async () => {
            await withServer(socket => socket.end(head() + "whole"), async send => {
                const outcome = await send();
                expect(textOf(outcome)).to.equal("whole");
                expect(outcome.kind === "answer" && outcome.answer.reusable).to.equal(false);
            });
        });

        it("is broken when the connection is reset before its end", async () => {
            await withServer(socket => {
                socket.write(head() + "part", () => setTimeout(() => socket.resetAndDestroy(), 20));
            }, async send => {
                expect((await send()).kind).to.equal("broken");
            });
        });
    });

    describe("an answer without a length whose last bytes are unread when its connection is reset", () => {
        it("is broken", async () => {
            await withServer(socket => {
                socket.write(head() + "part", () => socket.resetAndDestroy());
            }, async send => {
                expect((await send()).kind).to.equal("broken");
            });
        });
    });

    describe("an answer without a length whose end and reset arrive in one turn of the event loop", () => {
        it("is broken", async () => {
            const socket = new Duplex({
                read: () => undefined,
                write(_chunk, _encoding, done) {
                    done();
                    setImmediate(() => {
                        socket.push(head() + "part");
                        process.nextTick(() => socket.destroy(new Error("read ECONNRESET")));
                    });
                },
            });
            const outcome = await exchange({
                socket: socket as Socket,
                method: "GET",
                path: "/a/",
                rawHeaders: ["Host", "example", "Request-Id", "r-1"],
                body: Buffer.alloc(0),
                requestId: "r-1",
                headers: { requestId: "request-id" },
                loopShare,
                memory: createAmpleMemory(),
                signal: new AbortController().signal,
                caller: thereCaller,
            });
            expect(outcome.kind).to.equal("broken");
        });
    });

    describe("a request whose caller was confirmed too long ago", () => {
        const staleCaller = (isThere: boolean): ConfirmedCaller => ({
            isConfirmed: () => false,
            confirm: () => new Promise(resolve => setTimeout(() => resolve(isThere), 20)),
        });

        it("is not sent if the caller turns out to have left", async () => {
            const received: string[] = [];
            await withServer((_, request) => received.push(request), async send => {
                expect((await send("r-1", staleCaller(false))).kind).to.equal("cancelled");
                await new Promise(resolve => setTimeout(resolve, 50));
            });
            expect(received).to.deep.equal([]);
        });

        it("is not sent if the process is held up right before the first byte and the caller has left", async () => {
            const received: string[] = [];
            await withServer((socket, request) => {
                received.push(request);
                socket.write(framed("whole"));
            }, async send => {
                const startedAt = performance.now();
                const leavingCaller: ConfirmedCaller = {
                    isConfirmed: () => performance.now() - startedAt < 20,
                    confirm: () => Promise.resolve(false),
                };
                process.nextTick(() => {
                    while (performance.now() - startedAt < 30) {
                        // Stands for a process that is paused.
                    }
                });
                expect((await send("r-1", leavingCaller)).kind).to.equal("cancelled");
                await new Promise(resolve => setTimeout(resolve, 50));
            });
            expect(received).to.deep.equal([]);
        });

        it("is sent once the caller is confirmed again", async () => {
            await withServer(socket => socket.write(framed("whole")), async send => {
                expect((await send("r-1", staleCaller(true))).kind).to.equal("answer");
            });
        });
    });

    describe("data that does not belong to the request", () => {
        it("breaks the exchange when only the answer to another request comes before the connection ends", async () => {
            await withServer(socket => socket.end(framed("other", "r-0")), async send => {
                expect((await send()).kind).to.equal("broken");
            });
        });

        it("breaks the exchange when the answer to another request has no length", async () => {
            await withServer(socket => socket.write(head([], "r-0") + "other"), async send => {
                expect(await send()).to.deep.equal({
                    kind: "broken",
                    reason: "answer to another request, without a length",
                    closedByServer: false,
                });
            });
        });

        it("breaks the exchange when the connection is reset after the answer to another request", async () => {
            await withServer(socket => {
                socket.write(
                    head(["Content-Length: 0\r\n"], "r-0"),
                    () => setTimeout(() => socket.resetAndDestroy(), 20),
                );
            }, async send => {
                const outcome = await send();
                expect(outcome.kind === "broken" && outcome.closedByServer).to.equal(true);
            });
        });

        it("is not the answer to a request without an id, which ends its connection", async () => {
            await withServer(socket => socket.write(framed("other", "r-0") + framed("own", "")), async send => {
                const outcome = await send("");
                expect(textOf(outcome)).to.equal("own");
                expect(outcome.kind === "answer" && outcome.answer.reusable).to.equal(false);
            });
        });

        it("breaks the exchange when the bytes are not HTTP", async () => {
            await withServer(socket => socket.write("nonsense\r\n\r\n"), async send => {
                expect((await send()).kind).to.equal("broken");
            });
        });

        it("does not reach the next request when a second answer follows the first", async () => {
            await withServer((socket, request) => {
                const id = request.includes("r-2") ? "r-2" : "r-1";
                socket.write(framed("first", id) + framed("extra", id));
            }, async send => {
                const first = await send("r-1");
                expect(textOf(first)).to.equal("first");
            });
        });
    });

    // Guards against boxes that end with an uncaught error: nobody listens for a change of protocol, Node frees its
    // parser, and what follows the head has none.
    describe("a change of protocol that no request asked for", () => {
        const upgrade = "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n\r\n";
        const texts = {
            "with bytes behind it": `${upgrade}hello`,
            "without bytes behind it": upgrade,
            "with the own answer behind it": upgrade + framed("own"),
            "behind the answer to another request": `${framed("other", "r-0")}${upgrade}hello`,
            "behind an interim answer": `HTTP/1.1 102 Processing\r\n\r\n${upgrade}hello`,
            "twice": `${upgrade}${upgrade}hello`,
        };

        for (const [kind, text] of Object.entries(texts)) {
            for (const size of [1, 7, text.length - 5, text.length]) {
                it(`breaks only its exchange (${kind}, in parts of ${size} bytes)`, async () => {
                    await withServer(socket => writeInPieces(socket, text, [size]), async send => {
                        expect(await send()).to.deep.include({
                            kind: "broken",
                            reason: "change of protocol that was not asked for",
                        });
                    });
                });
            }
        }

        it("breaks only its exchange on a connection that has carried an answer", async () => {
            await withServer((socket, request) => {
                socket.write(request.includes("r-2") ? `${upgrade}hello` : framed("first"));
            }, async send => {
                expect((await send("r-1")).kind).to.equal("answer");
                expect((await send("r-2")).kind).to.equal("broken");
            });
        });
    });

    // Guards against callers that get a status which is none, or an internal fault in its place.
    describe("an answer whose status ends no request", () => {
        for (const status of ["000", "001", "099", "101", "600", "999"]) {
            const odd = (id: string) => `HTTP/1.1 ${status} Odd\r\nRequest-Id: ${id}\r\nContent-Length: 5\r\n\r\nwhole`;
            const reason = `status ${Number(status)} ends no request`;

            it(`is none (${status})`, async () => {
                await withServer(socket => socket.write(odd("r-1")), async send => {
                    expect(await send()).to.deep.equal({ kind: "broken", reason, closedByServer: false });
                });
            });

            it(`is none if it answers another request (${status})`, async () => {
                await withServer(socket => socket.write(odd("r-0") + framed("own")), async send => {
                    expect(await send()).to.deep.equal({ kind: "broken", reason, closedByServer: false });
                });
            });
        }
    });

    // Guards against parts of answers whose order or division makes an error that no exchange catches.
    describe("answers of any form in any order, divided anywhere", () => {
        const statuses = ["000", "099", "100", "101", "102", "199", "200", "204", "304", "426", "600", "999"];
        const headers = [
            "Request-Id: r-1",
            "Request-Id: r-0",
            "Connection: Upgrade\r\nUpgrade: other",
            "Connection: close",
            "Content-Length: 5",
            "Content-Length: 0",
            "Transfer-Encoding: chunked",
            "Transfer-Encoding: gzip",
        ];
        const bodies = [
            "",
            "hello",
            "5\r\nhello\r\n0\r\n\r\n",
            "0\r\nTrailer: x\r\n\r\n",
            "\r\n",
            "\u0000\u0081\u0005",
        ];
        const answers = fc.record({
            version: fc.constantFrom("1.1", "1.1", "1.0"),
            status: fc.constantFrom(...statuses),
            lines: fc.uniqueArray(fc.constantFrom(...headers), { maxLength: 3 }),
            body: fc.constantFrom(...bodies),
        }).map(({ body, lines, status, version }) =>
            [`HTTP/${version} ${status} Any`, ...lines, "", body].join("\r\n")
        );

        it("are an answer or break their exchange, and nothing else", async () => {
            const sizes = fc.array(fc.integer({ min: 1, max: 90 }), { minLength: 1, maxLength: 8 });
            await fc.assert(
                fc.asyncProperty(
                    fc.array(answers, { minLength: 1, maxLength: 4 }),
                    fc.oneof(sizes, fc.constant([10_000])),
                    async (chosen, pieces) => {
                        await withServer(socket => {
                            writeInPieces(socket, chosen.join(""), pieces);
                            // The end comes behind the bytes, so that an answer without a length is complete.
                            setTimeout(() => socket.end(), 30);
                        }, async send => {
                            const outcome = await send();
                            expect(["answer", "broken"]).to.include(outcome.kind);
                            if (outcome.kind === "answer") {
                                expect(outcome.answer.status).to.be.within(200, 599);
                            }
                        });
                    },
                ),
                { numRuns: 300 },
            );
        });
    });

    describe("an error while received bytes are handled", () => {
        it("breaks only its exchange", async () => {
            await withServer(socket => socket.write(framed("whole")), async send => {
                const failing = () => {
                    throw new Error("a fault in the handling of answers");
                };
                expect(await send("r-1", thereCaller, failing)).to.deep.include({
                    kind: "broken",
                    reason: "a fault in the handling of answers",
                });
            });
        });
    });

    describe("answers to other requests before the own one", () => {
        const chunked = (id: string) =>
            `${head(["Transfer-Encoding: chunked\r\n"], id)}3\r\nab\n\r\n1;x=\r\nc\r\n0\r\nTrailer: x\r\n\r\n`;
        const surplusAnswers = [
            framed("HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nContent-Length: 4\r\n\r\nfake", "r-0"),
            framed("", "r-0"),
            chunked("r-0"),
            `HTTP/1.1 204 No Content\r\nRequest-Id: r-0\r\n\r\n`,
            `HTTP/1.1 102 Processing\r\n\r\n`,
        ];

        it("are passed over wherever the received bytes are divided", async () => {
            const texts = fc.array(fc.constantFrom(...surplusAnswers), { minLength: 1, maxLength: 4 });
            const sizes = fc.array(fc.integer({ min: 1, max: 90 }), { minLength: 1, maxLength: 40 });
            await fc.assert(
                fc.asyncProperty(
                    texts,
                    sizes,
                    fc.constantFrom(framed("own"), chunked("r-1")),
                    async (before, pieces, own) => {
                        await withServer(socket => writeInPieces(socket, before.join("") + own, pieces), async send => {
                            const outcome = await send();
                            expect(outcome.kind).to.equal("answer");
                            expect(textOf(outcome))
                                .to.equal(own === framed("own") ? "own" : "ab\nc");
                        });
                    },
                ),
                { numRuns: 100 },
            );
        });

        const large = "x".repeat(300_000);
        const largeChunked = `${head(["Transfer-Encoding: chunked\r\n"], "r-0")}${
            large.length.toString(16)
        }\r\n${large}\r\n0\r\n\r\n`;
        const surplusBefore = {
            "with a length": framed(large, "r-0"),
            "in chunks": largeChunked,
            "without a body": framed("", "r-0"),
            "that announces a close": head(["Content-Length: 0\r\n", "Connection: close\r\n"], "r-0"),
            "with a body, that announces a close": head(["Content-Length: 1\r\n", "Connection: close\r\n"], "r-0")
                + "x",
        };

        for (const [kind, surplus] of Object.entries(surplusBefore)) {
            it(`cost a large answer nothing, and the connection is not reused (${kind})`, async () => {
                await withServer(socket => socket.write(surplus + framed(large)), async send => {
                    const outcome = await send();
                    expect(outcome.kind === "answer" && outcome.answer.body.length).to.equal(large.length);
                    expect(outcome.kind === "answer" && outcome.answer.reusable).to.equal(false);
                });
            });
        }
    });

    describe("bytes that never become an answer, in one read", () => {
        const endless = {
            "interim answers": "HTTP/1.1 102 Processing\r\n\r\n".repeat(2000),
            "empty lines": "\r\n".repeat(30_000),
            "chunks of one byte": `${head(["Transfer-Encoding: chunked\r\n"])}${"1\r\nx\r\n".repeat(10_000)}`,
        };

        for (const [kind, text] of Object.entries(endless)) {
            it(`break the exchange before all of them are handled (${kind})`, async () => {
                await withServer(socket => socket.write(text), async send => {
                    const outcome = await send();
                    expect(outcome).to.deep.include({
                        kind: "broken",
                        reason: "too many bytes that belong to no body",
                    });
                });
            });
        }
    });

    it("is broken when the connection closes without an answer", async () => {
        await withServer(socket => socket.end(), async send => {
            expect((await send()).kind).to.equal("broken");
        });
    });
});

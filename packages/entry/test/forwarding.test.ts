import { expect } from "chai";
import { randomBytes } from "node:crypto";
import { connect } from "node:net";
import { Readable } from "node:stream";
import { request } from "undici";
import { closedPort, type RawServer, startRawServer, until } from "./raw-server.js";
import { startTestBox, type TestBox } from "./test-box.js";

describe("forwarding", () => {
    let owner: AbortController;
    beforeEach(() => {
        owner = new AbortController();
    });
    afterEach(() => owner.abort());

    async function boxWith(...servers: readonly (RawServer | number)[]): Promise<TestBox> {
        const ports = servers.map(server => typeof server === "number" ? server : server.port);
        return startTestBox("box-1", ports, owner.signal);
    }

    function path(box: TestBox, rest = "/"): string {
        return `${box.url}/v1/services/profil-api${rest}`;
    }

    async function errorOf(response: Awaited<ReturnType<typeof request>>) {
        const body = await response.body.json() as { error: string; ran: string; };
        expect(response.headers["chalkdale-error"]).to.equal(body.error);
        expect(response.headers["chalkdale-ran"]).to.equal(body.ran);
        return { status: response.statusCode, error: body.error, ran: body.ran };
    }

    describe("a whole answer [P3]", () => {
        it("comes as it was sent, method, path, body and header included", async () => {
            const server = await startRawServer((incoming, response) => {
                response.writeHead(201, { "x-answer": "yes", connection: "x-hop", "x-hop": "1" });
                incoming.pipe(response);
            }, owner.signal);
            const box = await boxWith(server);
            const answer = await request(path(box, "/climbs?id=7"), {
                method: "POST",
                body: "steep",
                headers: { "x-ask": "me", te: "trailers", "chalkdale-deadline-ms": "5000" },
            });
            expect(answer.statusCode).to.equal(201);
            expect(await answer.body.text()).to.equal("steep");
            expect(answer.headers["x-answer"]).to.equal("yes");
            expect(answer.headers["x-hop"]).to.equal(undefined);
            expect(answer.headers["chalkdale-zone"]).to.equal("north-a");
            const seen = server.requests[0];
            expect(seen.url).to.equal("/climbs?id=7");
            expect(seen.headers["x-ask"]).to.equal("me");
            expect(seen.headers.te).to.equal(undefined);
            expect(seen.headers["chalkdale-deadline-ms"]).to.equal("5000");
            expect(seen.headers["x-forwarded-for"]).to.equal("127.0.0.1");
        });

        it("streams a large body both ways", async () => {
            const server = await startRawServer((incoming, response) => incoming.pipe(response), owner.signal);
            const box = await boxWith(server);
            const bytes = randomBytes(3_000_000);
            const answer = await request(path(box), { method: "POST", body: Readable.from([bytes]) });
            expect(Buffer.from(await answer.body.arrayBuffer()).equals(bytes)).to.equal(true);
        });

        it("goes to its own caller among many at once", async () => {
            const server = await startRawServer((incoming, response) => {
                setTimeout(() => response.end(incoming.url), Math.random() * 20);
            }, owner.signal);
            const box = await startTestBox("box-1", [server.port], owner.signal, { slots: 1000 });
            const answers = await Promise.all(Array.from({ length: 300 }, async (_, index) => {
                const answer = await request(path(box, `/r/${index}`));
                return answer.body.text();
            }));
            answers.forEach((text, index) => expect(text).to.equal(`/r/${index}`));
        });
    });

    describe("an answer that breaks off [P3]", () => {
        const cases: Record<string, (response: import("node:http").ServerResponse) => void> = {
            "with a length": response => {
                response.writeHead(200, { "content-length": "1000" });
                response.write("half");
                setTimeout(() => response.socket?.destroy(), 20);
            },
            "in chunks": response => {
                response.write("half");
                setTimeout(() => response.socket?.destroy(), 20);
            },
            "by a reset": response => {
                response.write("half");
                setTimeout(() => response.socket?.resetAndDestroy(), 20);
            },
        };
        for (const [name, answer] of Object.entries(cases)) {
            it(`is never ended as if it were whole: ${name}`, async () => {
                const server = await startRawServer((_, response) => answer(response), owner.signal);
                const box = await boxWith(server);
                const response = await request(path(box));
                const outcome = await response.body.text().then(() => "whole", () => "broken off");
                expect(outcome).to.equal("broken off");
            });
        }

        it("is not passed on when its end could not be told from a break", async () => {
            const server = await startRawServer((_, response) => {
                response.socket?.end("HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nmaybe all");
            }, owner.signal);
            const box = await boxWith(server);
            const answer = await request(path(box), { method: "POST" });
            expect(await errorOf(answer)).to.deep.equal({ status: 502, error: "serverBrokeOff", ran: "unknown" });
        });
    });

    describe("a server that breaks off before it answers [P4] [P5]", () => {
        it("is replaced by another for a request that may run twice", async () => {
            let broken = 0;
            const answer = (
                incoming: import("node:http").IncomingMessage,
                response: import("node:http").ServerResponse,
            ) => {
                if (broken++ === 0) {
                    incoming.socket.destroy();
                    return;
                }
                response.end("served");
            };
            const servers = [await startRawServer(answer, owner.signal), await startRawServer(answer, owner.signal)];
            const box = await boxWith(...servers);
            expect(await (await request(path(box))).body.text()).to.equal("served");
        });

        it("ends a request that may not run twice as unknown", async () => {
            const answer = (incoming: import("node:http").IncomingMessage) => incoming.socket.destroy();
            const servers = [await startRawServer(answer, owner.signal), await startRawServer(answer, owner.signal)];
            const box = await boxWith(...servers);
            const response = await request(path(box), { method: "POST", body: "climb" });
            expect(await errorOf(response)).to.deep.equal({ status: 502, error: "serverBrokeOff", ran: "unknown" });
            expect(servers[0].requests.length + servers[1].requests.length).to.equal(1);
        });
    });

    describe("a server that cannot be reached, or sheds", () => {
        it("is replaced by another, a request with a body included", async () => {
            const server = await startRawServer((incoming, response) => incoming.pipe(response), owner.signal);
            const box = await boxWith(await closedPort(), server);
            for (let count = 0; count < 4; count++) {
                const answer = await request(path(box), { method: "POST", body: "climb" });
                expect(await answer.body.text()).to.equal("climb");
            }
        });

        it("gives an error that says it was not run, when there is no other", async () => {
            const box = await boxWith(await closedPort());
            expect(await errorOf(await request(path(box)))).to.deep.equal({
                status: 502,
                error: "serverUnreachable",
                ran: "not-run",
            });
        });

        it("gives the shedding on as not run, with a time to come back", async () => {
            const server = await startRawServer((_, response) => {
                response.writeHead(503, { "chalkdale-ran": "not-run" }).end("full");
            }, owner.signal);
            const box = await boxWith(server);
            const answer = await request(path(box), { method: "POST" });
            expect(Number(answer.headers["chalkdale-retry-after-ms"])).to.be.greaterThan(0);
            expect(await errorOf(answer)).to.deep.equal({ status: 503, error: "serverShed", ran: "not-run" });
        });
    });

    describe("cancellation and deadlines", () => {
        it("reach the backend server when the caller goes away", async () => {
            let cancelled = false;
            const server = await startRawServer((_, response) => {
                response.once("close", () => {
                    cancelled = true;
                });
            }, owner.signal);
            const box = await boxWith(server);
            const caller = new AbortController();
            const answer = request(path(box), { signal: caller.signal }).catch(() => "aborted");
            await until(() => server.requests.length === 1);
            caller.abort();
            await until(() => cancelled);
            expect(await answer).to.equal("aborted");
            await until(() => box.router.inFlight() === 0);
        });

        it("end the request when the deadline passes, and cancel it at the backend server", async () => {
            let cancelled = false;
            const server = await startRawServer((_, response) => {
                response.once("close", () => {
                    cancelled = true;
                });
            }, owner.signal);
            const box = await boxWith(server);
            const answer = await request(path(box), { headers: { "chalkdale-deadline-ms": "50" } });
            expect(await errorOf(answer)).to.deep.equal({ status: 504, error: "deadlineExpired", ran: "unknown" });
            await until(() => cancelled);
        });
    });

    describe("back-pressure", () => {
        it("holds a fast backend server back for a slow caller", async () => {
            const total = 64 * 1024 * 1024;
            let written = 0;
            const server = await startRawServer((_, response) => {
                response.writeHead(200, { "content-length": total });
                const chunk = Buffer.alloc(64 * 1024);
                const write = () => {
                    while (written < total && response.write(chunk)) {
                        written += chunk.length;
                    }
                };
                response.on("drain", () => {
                    written += chunk.length;
                    write();
                });
                write();
            }, owner.signal);
            const box = await boxWith(server);
            const answer = await request(path(box));
            let steady = -1;
            while (written !== steady) {
                steady = written;
                await new Promise(resolve => setTimeout(resolve, 200));
            }
            expect(written).to.be.lessThan(total / 2);
            answer.body.destroy();
        });
    });

    describe("bad requests", () => {
        it("get their own errors, each not run", async () => {
            const server = await startRawServer((_, response) => response.end("ok"), owner.signal);
            const box = await startTestBox("box-1", [server.port], owner.signal, { maximumBodyBytes: 1000 });
            const get = async (url: string, options: Parameters<typeof request>[1] = {}) =>
                errorOf(await request(`${box.url}${url}`, options));
            expect(await get("/nowhere")).to.deep.equal({ status: 400, error: "badRequest", ran: "not-run" });
            expect(await get("/v1/lookup")).to.deep.equal({ status: 400, error: "badRequest", ran: "not-run" });
            expect(await get("/v1/lookup?service=none")).to.deep.equal({
                status: 404,
                error: "unknownService",
                ran: "not-run",
            });
            expect(await get("/v1/services/none/")).to.deep.equal({
                status: 404,
                error: "unknownService",
                ran: "not-run",
            });
            expect(await get("/v1/services/profil-api/", { headers: { "chalkdale-deadline-ms": "soon" } })).to.deep
                .equal({
                    status: 400,
                    error: "badRequest",
                    ran: "not-run",
                });
            expect(await get("/v1/services/profil-api/", { method: "POST", body: "x".repeat(1001) })).to.deep.equal({
                status: 413,
                error: "bodyTooLarge",
                ran: "not-run",
            });
            expect(await get("/v1/services/profil-api/", { headers: { "x-long": "x".repeat(20_000) } })).to.deep.equal({
                status: 431,
                error: "headerTooLarge",
                ran: "not-run",
            });
            expect(server.requests).to.have.length(0);
        });

        it("end a body without a length at the limit as unknown", async () => {
            const server = await startRawServer((incoming, response) => {
                incoming.resume();
                incoming.on("end", () => response.end("ok"));
            }, owner.signal);
            const box = await startTestBox("box-1", [server.port], owner.signal, { maximumBodyBytes: 1000 });
            const body = Readable.from([Buffer.alloc(800), Buffer.alloc(800)]);
            const answer = await request(path(box), { method: "POST", body });
            expect(await errorOf(answer)).to.deep.equal({ status: 413, error: "bodyTooLargeMidway", ran: "unknown" });
        });

        it("are answered even when they are no HTTP", async () => {
            const box = await boxWith(await closedPort());
            const text = await new Promise<string>(resolve => {
                let received = "";
                const socket = connect(box.port, "127.0.0.1", () => socket.write("nonsense\r\n\r\n"));
                socket.on("data", chunk => {
                    received += String(chunk);
                });
                socket.on("close", () => resolve(received));
            });
            expect(text).to.match(/^HTTP\/1\.1 400 /);
            expect(text).to.include("chalkdale-ran: not-run");
        });

        it("do no harm when they are drawn at random", async () => {
            const server = await startRawServer((_, response) => response.end("ok"), owner.signal);
            const box = await boxWith(server);
            const pieces = [
                "GET ",
                "POST ",
                "/v1/services/profil-api/",
                "/v1/lookup?service=",
                "%",
                "\r\n",
                " HTTP/1.1",
                "host: x",
                "content-length: 5",
                "transfer-encoding: chunked",
                "\0",
                "é",
                "chalkdale-ticket: t1~",
                "5\r\nhello",
            ];
            let state = 1;
            const next = (limit: number) => {
                state = (state * 1103515245 + 12345) % 2147483648;
                return state % limit;
            };
            for (let round = 0; round < 200; round++) {
                const text = Array.from({ length: 1 + next(12) }, () => pieces[next(pieces.length)]).join("");
                await new Promise<void>(resolve => {
                    const socket = connect(box.port, "127.0.0.1", () => socket.end(`${text}\r\n\r\n`));
                    socket.on("error", () => resolve());
                    socket.on("close", () => resolve());
                    socket.resume();
                });
            }
            expect((await request(path(box))).statusCode).to.equal(200);
            await until(() => box.router.inFlight() === 0);
        });
    });

    describe("tickets", () => {
        it("run an operation once, through this box or another", async () => {
            const server = await startRawServer((_, response) => response.writeHead(201).end("saved"), owner.signal);
            const box = await startTestBox("box-1", [server.port], owner.signal, { ticketMethods: ["POST"] });
            const other = await startTestBox("box-2", [server.port], owner.signal, { ticketMethods: ["POST"] });
            const lookup = await request(`${box.url}/v1/lookup?service=profil-api&ticket=1`);
            const { ticket, boxes } = await lookup.body.json() as { ticket: string; boxes: { box: string; }[]; };
            expect(boxes[0].box).to.equal("box-1");
            const save = (at: TestBox, headers: Record<string, string>) =>
                request(path(at, "/save"), { method: "POST", body: "climb", headers });
            expect(await errorOf(await save(box, {}))).to.include({ error: "ticketRequired", ran: "not-run" });
            expect(await errorOf(await save(other, { "chalkdale-ticket": ticket }))).to.include({
                error: "ticketOfOtherBox",
                ran: "not-run",
            });
            expect((await save(box, { "chalkdale-ticket": ticket })).statusCode).to.equal(201);
            expect(await errorOf(await save(box, { "chalkdale-ticket": ticket }))).to.include({
                error: "ticketSpent",
                ran: "ran",
            });
            expect(server.requests).to.have.length(1);
        });
    });

    describe("a box that is stopping [P7]", () => {
        it("refuses new work as not run and names another, while a download runs on", async () => {
            let finish: () => void = () => undefined;
            const server = await startRawServer((_, response) => {
                response.writeHead(200, { "content-length": "8" });
                response.write("half");
                finish = () => response.end("done");
            }, owner.signal);
            const box = await boxWith(server);
            const download = await request(path(box, "/pack"));
            box.router.leave();
            const refused = await request(path(box));
            const body = await refused.body.json() as { error: string; ran: string; boxes: { box: string; }[]; };
            expect(body).to.include({ error: "boxLeaving", ran: "not-run" });
            expect(body.boxes.map(({ box: name }) => name)).to.deep.equal(["other"]);
            const lookup = await request(`${box.url}/v1/lookup?service=profil-api`);
            const named = await lookup.body.json() as { boxes: { box: string; }[]; };
            expect(named.boxes.map(({ box: name }) => name)).to.deep.equal(["other"]);
            finish();
            expect(await download.body.text()).to.equal("halfdone");
        });
    });
});

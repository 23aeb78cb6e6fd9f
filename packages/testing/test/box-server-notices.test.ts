/**
 * Servers whose answers say that they are leaving got requests until their record said it; those that ask a
 * box for rest got its requests as before.
 */

import { milliseconds } from "@chalkdale/kernel";
import { expect } from "chai";
import type { ServerStandIn } from "../src/standins/backend-server.js";
import { type ClientAnswer, sendRequest } from "../src/standins/client.js";
import { pause, startTestDeployment, type TestBox, type TestDeployment, testHost } from "../src/standins/deployment.js";

const callers = 16;
const keys = 40;
/** Every so many requests of a caller are writes. */
const writeEvery = 5;
const serverCount = 12;
const zones = ["north-a", "north-b", "south-a"];
/** Milliseconds after it has passed on such an answer, from when a box must send the server nothing more. */
const drain = 2500;

/** Milliseconds for which servers turn requests away, of the rest that they ask for then, and after which it is to be kept. */
const turnsAwayFor = 800;
const rest = 3000;
const toldAfter = 500;
/** Requests of a box that a server bears in its rest. */
const mostAllowedInRest = 2;

/** A request that came to a server: from which box, and when. */
interface Arrival {
    readonly box: string;
    readonly at: number;
}

/** What came to a server, and of that what it answered by asking for rest. */
interface RestingServer {
    readonly asked: readonly Arrival[];
    readonly arrived: readonly Arrival[];
}

/** One request as its caller saw it; times in milliseconds of the steady clock. */
interface PlayedRequest extends ClientAnswer {
    readonly box: number;
    readonly sentAt: number;
    readonly answeredAt: number;
}

describe("boxes and what servers say of themselves in their answers", () => {
    let deployment: TestDeployment;
    let boxes: readonly TestBox[];
    let servers: readonly ServerStandIn[];

    beforeEach(async () => {
        deployment = await startTestDeployment();
        servers = await Promise.all(Array.from({ length: serverCount }, async (_, index) => {
            const server = await deployment.addServer({ id: `i-${index}`, zone: zones[index % zones.length] });
            server.setWork(30);
            return server;
        }));
        deployment.configure(2, [
            { name: "look", path: "/look/", kind: "safe" },
            { name: "save", path: "/save/", kind: "unsafe" },
        ]);
        const zonesOfBoxes = [...zones, ...zones, ...zones];
        boxes = await deployment.startBoxes(zonesOfBoxes, zonesOfBoxes.map((_, index) => `127.0.0.${10 + index}`));
    });

    afterEach(() => deployment.close());

    /** Callers ask without pause for so long, each request at another box. */
    async function play(duration: number): Promise<readonly PlayedRequest[]> {
        const until = performance.now() + duration;
        const played: PlayedRequest[] = [];
        await Promise.all(Array.from({ length: callers }, async (_, caller) => {
            for (let count = 0; performance.now() < until; count++) {
                played.push(await ask(caller, count));
                await pause(milliseconds(20));
            }
        }));
        return played;
    }

    async function ask(caller: number, count: number): Promise<PlayedRequest> {
        const isWrite = count % writeEvery === 0;
        const box = (caller + count) % boxes.length;
        const sentAt = performance.now();
        const answer = await sendRequest({
            address: boxes[box].callerAddress,
            host: testHost,
            path: isWrite ? "/save/" : "/look/",
            method: isWrite ? "POST" : "GET",
            body: isWrite ? "a climb" : undefined,
            requestId: `r-${caller}-${count}`,
            affinityKey: `k${(caller * 7 + count) % keys}`,
        });
        return { ...answer, box, sentAt, answeredAt: performance.now() };
    }

    /** Requests that a server ran later than the bound after their box had passed on an answer of it. */
    function lateRequests(played: readonly PlayedRequest[], server: ServerStandIn): readonly PlayedRequest[] {
        const ofServer = played.filter(({ body }) => body.startsWith(`answer of ${server.id} to `));
        return ofServer.filter(({ box, sentAt }) => {
            const told = ofServer.filter(other => other.box === box).map(({ answeredAt }) => answeredAt);
            return sentAt > Math.min(...told) + drain;
        });
    }

    /** The server turns requests away for a while, asks for rest with each such answer, and serves afterwards. */
    function askForRest(server: ServerStandIn): RestingServer {
        const until = performance.now() + turnsAwayFor;
        const arrived: Arrival[] = [];
        const asked: Arrival[] = [];
        server.setBehaviour(request => {
            const arrival = { box: request.socket.remoteAddress ?? "", at: performance.now() };
            arrived.push(arrival);
            if (arrival.at >= until) {
                return { kind: "serve" };
            }
            asked.push(arrival);
            return { kind: "shed", includesLoad: true, retryAfter: String(rest / 1000) };
        });
        return { asked, arrived };
    }

    /** The most requests of a box that came in the rest which the server had asked it for. */
    function mostInRest({ arrived, asked }: RestingServer): number {
        return Math.max(
            0,
            ...asked.map(({ at, box }) =>
                arrived.filter(other => other.box === box && other.at > at + toldAfter && other.at < at + rest).length
            ),
        );
    }

    const servedShare = (played: readonly PlayedRequest[]) =>
        played.filter(({ status }) => status === 200).length / played.length;

    describe("that they want nothing from a box for a while [P28]", () => {
        it("keep to it where some servers of a service say so, and serve by the others", async () => {
            await play(1500);
            const resting = servers.slice(0, 4).map(server => askForRest(server));
            const played = await play(5000);
            expect(resting.map(mostInRest).filter(most => most > mostAllowedInRest)).to.deep.equal([]);
            expect(resting.flatMap(({ asked }) => asked)).not.to.be.empty;
            expect(servedShare(played)).to.be.greaterThan(0.99);
        });

        it("keep to it where all servers say so, refuse at once meanwhile, and serve again after it", async () => {
            await play(1500);
            const resting = servers.map(server => askForRest(server));
            const played = await play(5000);
            expect(resting.map(mostInRest).filter(most => most > mostAllowedInRest)).to.deep.equal([]);
            expect(new Set(played.map(({ status }) => status))).to.deep.equal(new Set([200, 503]));
            const refused = played.filter(({ status }) => status === 503);
            expect(refused.every(({ headers }) => Number(headers["retry-after"]) > 0)).to.equal(true);
            expect(servedShare(await play(2000))).to.be.greaterThan(0.99);
        });
    });

    describe("that they are leaving [P6]", () => {
        it("send nothing more to servers that say so, though their records do not", async () => {
            await play(1500);
            const leaving = servers.slice(0, 3);
            leaving.forEach(server => server.setLeavingHeader("1"));
            const played = await play(8000);
            expect(leaving.map(server => lateRequests(played, server).length)).to.deep.equal([0, 0, 0]);
            expect(servedShare(played)).to.be.greaterThan(0.99);
        });
    });
});

/**
 * Guards against boxes that ignore what servers announce in their answers: servers that announced a shutdown received
 * requests until their records said so too, and servers that asked a box for back-off received its requests as before.
 */

import { milliseconds } from "@chalkdale/kernel";
import { expect } from "chai";
import type { ServerStandIn } from "../src/standins/backend-server.js";
import { type ClientAnswer, sendRequest } from "../src/standins/client.js";
import { pause, startTestDeployment, type TestBox, type TestDeployment, testHost } from "../src/standins/deployment.js";

const callers = 16;
const keys = 40;
/** Each caller sends one write in this many requests. */
const writeEvery = 5;
const serverCount = 12;
const zones = ["north-a", "north-b", "south-a"];
/** Milliseconds after a box passes on an answer that announces a shutdown, from which it must not use the server. */
const leavingGracePeriod = 2500;

/** Milliseconds: how long servers refuse, the back-off that they ask for, and the time until boxes must respect it. */
const refusesFor = 800;
const backoff = 3000;
const respectedAfter = 500;
/** Requests of one box that a server tolerates during a back-off. */
const toleratedInBackoff = 2;

/** The arrival of a request at a server: address of its box, and time in milliseconds of `performance.now`. */
interface Arrival {
    readonly box: string;
    readonly at: number;
}

/** The arrivals at a server, and those of them that it refused with a back-off. */
interface BackoffServer {
    readonly refusedWithBackoff: readonly Arrival[];
    readonly arrived: readonly Arrival[];
}

/** One request as its caller saw it; times are in milliseconds of `performance.now`. */
interface CallerRequest extends ClientAnswer {
    readonly box: number;
    readonly sentAt: number;
    readonly answeredAt: number;
}

describe("boxes and notices in the answers of servers", () => {
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

    /** Lets all callers send requests for a time, each one to the next box in turn. */
    async function sendTraffic(duration: number): Promise<readonly CallerRequest[]> {
        const until = performance.now() + duration;
        const requests: CallerRequest[] = [];
        await Promise.all(Array.from({ length: callers }, async (_, caller) => {
            for (let count = 0; performance.now() < until; count++) {
                requests.push(await ask(caller, count));
                await pause(milliseconds(20));
            }
        }));
        return requests;
    }

    async function ask(caller: number, count: number): Promise<CallerRequest> {
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

    /** Requests that a server ran later than the grace period after its first answer that their box passed on. */
    function lateRequests(requests: readonly CallerRequest[], server: ServerStandIn): readonly CallerRequest[] {
        const ofServer = requests.filter(({ body }) => body.startsWith(`answer of ${server.id} to `));
        return ofServer.filter(({ box, sentAt }) => {
            const passedOnAt = ofServer.filter(other => other.box === box).map(({ answeredAt }) => answeredAt);
            return sentAt > Math.min(...passedOnAt) + leavingGracePeriod;
        });
    }

    /** Lets the server refuse requests and ask for back-off for a while, and serve afterwards. */
    function refuseWithBackoff(server: ServerStandIn): BackoffServer {
        const until = performance.now() + refusesFor;
        const arrived: Arrival[] = [];
        const refusedWithBackoff: Arrival[] = [];
        server.setBehaviour(request => {
            const arrival = { box: request.socket.remoteAddress ?? "", at: performance.now() };
            arrived.push(arrival);
            if (arrival.at >= until) {
                return { kind: "serve" };
            }
            refusedWithBackoff.push(arrival);
            return { kind: "shed", includesLoad: true, retryAfter: String(backoff / 1000) };
        });
        return { refusedWithBackoff, arrived };
    }

    /** Returns the largest number of requests that one box sent during a back-off that the server had asked it for. */
    function maxArrivalsInBackoff({ arrived, refusedWithBackoff }: BackoffServer): number {
        return Math.max(
            0,
            ...refusedWithBackoff.map(({ at, box }) =>
                arrived.filter(other => other.box === box && other.at > at + respectedAfter && other.at < at + backoff)
                    .length
            ),
        );
    }

    const servedShare = (requests: readonly CallerRequest[]) =>
        requests.filter(({ status }) => status === 200).length / requests.length;

    describe("that ask a box for back-off [P28]", () => {
        it("are respected when some servers of a service send them, and other servers are used", async () => {
            await sendTraffic(1500);
            const backingOff = servers.slice(0, 4).map(server => refuseWithBackoff(server));
            const requests = await sendTraffic(5000);
            expect(backingOff.map(maxArrivalsInBackoff).filter(most => most > toleratedInBackoff)).to.deep.equal([]);
            expect(backingOff.flatMap(({ refusedWithBackoff }) => refusedWithBackoff)).not.to.be.empty;
            expect(servedShare(requests)).to.be.greaterThan(0.99);
        });

        it("are respected when all servers send them: boxes refuse at once, and serve again later", async () => {
            await sendTraffic(1500);
            const backingOff = servers.map(server => refuseWithBackoff(server));
            const requests = await sendTraffic(5000);
            expect(backingOff.map(maxArrivalsInBackoff).filter(most => most > toleratedInBackoff)).to.deep.equal([]);
            expect(new Set(requests.map(({ status }) => status))).to.deep.equal(new Set([200, 503]));
            const refused = requests.filter(({ status }) => status === 503);
            expect(refused.every(({ headers }) => Number(headers["retry-after"]) > 0)).to.equal(true);
            expect(servedShare(await sendTraffic(2000))).to.be.greaterThan(0.99);
        });
    });

    describe("that announce a shutdown [P6]", () => {
        it("end all requests to the servers that send them, although their records are unchanged", async () => {
            await sendTraffic(1500);
            const leaving = servers.slice(0, 3);
            leaving.forEach(server => server.setLeavingHeader("1"));
            const requests = await sendTraffic(8000);
            expect(leaving.map(server => lateRequests(requests, server).length)).to.deep.equal([0, 0, 0]);
            expect(servedShare(requests)).to.be.greaterThan(0.99);
        });
    });
});

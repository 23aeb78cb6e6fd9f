/**
 * Servers whose answers say that they are leaving got requests until their record said it.
 */

import { milliseconds } from "@chalkdale/kernel";
import { expect } from "chai";
import type { ServerStandIn } from "../src/standins/backend-server.js";
import { type ClientAnswer, sendRequest } from "../src/standins/client.js";
import { type Deployment, pause, startDeployment, type TestBox, testHost } from "../src/standins/deployment.js";

const callers = 16;
const keys = 40;
/** Every so many requests of a caller are writes. */
const writeEvery = 5;
const serverCount = 12;
const zones = ["north-a", "north-b", "south-a"];
/** Milliseconds after it has passed on such an answer, from when a box must send the server nothing more. */
const drain = 2500;

/** One request as its caller saw it; times in milliseconds of the steady clock. */
interface PlayedRequest extends ClientAnswer {
    readonly box: number;
    readonly sentAt: number;
    readonly answeredAt: number;
}

describe("boxes and what servers say of themselves in their answers", () => {
    let deployment: Deployment;
    let boxes: readonly TestBox[];
    let servers: readonly ServerStandIn[];

    beforeEach(async () => {
        deployment = await startDeployment();
        servers = await Promise.all(Array.from({ length: serverCount }, async (_, index) => {
            const server = await deployment.addServer({ id: `i-${index}`, zone: zones[index % zones.length] });
            server.setWork(30);
            return server;
        }));
        deployment.configure(2, [
            { name: "look", path: "/look/", kind: "safe" },
            { name: "save", path: "/save/", kind: "unsafe" },
        ]);
        boxes = await deployment.startBoxes([...zones, ...zones, ...zones]);
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
            address: boxes[box].callers,
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

    const servedShare = (played: readonly PlayedRequest[]) =>
        played.filter(({ status }) => status === 200).length / played.length;

    describe("that they are leaving", () => {
        it("send nothing more to servers that say so, though their records do not", async () => {
            await play(1500);
            const leaving = servers.slice(0, 3);
            leaving.forEach(server => server.setSaysLeaving("1"));
            const played = await play(8000);
            expect(leaving.map(server => lateRequests(played, server).length)).to.deep.equal([0, 0, 0]);
            expect(servedShare(played)).to.be.greaterThan(0.99);
        });
    });
});

/**
 * Servers that name a limit got what they got before: no box read it.
 */

import { milliseconds } from "@chalkdale/kernel";
import { expect } from "chai";
import { type ClientAnswer, sendRequest } from "../src/standins/client.js";
import { pause, startTestDeployment, type TestBox, type TestDeployment, testHost } from "../src/standins/deployment.js";
import { maxAllowedArrivals, maxArrivalsInSpan, startLimitingServers } from "../src/standins/limiting-servers.js";

const callers = 16;
const keys = 40;
/** Every so many requests of a caller are writes. */
const writeEvery = 5;
/** Part of the limits that is used at least while more is asked for. */
const usedPart = 0.8;
const zones = ["north-a", "north-b", "south-a"];

describe("boxes and servers that name the rate which they take [P27]", () => {
    let deployment: TestDeployment;
    let boxes: readonly TestBox[];
    let servers: Awaited<ReturnType<typeof startLimitingServers>>;

    beforeEach(async () => {
        deployment = await startTestDeployment();
        servers = await startLimitingServers(deployment, { count: 12, zones, work: 30 });
        deployment.configure(2, [
            { name: "look", path: "/look/", kind: "safe" },
            { name: "save", path: "/save/", kind: "unsafe" },
        ]);
        boxes = await deployment.startBoxes([...zones, ...zones, ...zones]);
    });

    afterEach(() => deployment.close());

    /** Callers ask without pause but for `rest` milliseconds after each answer; returns all answers. */
    async function play(duration: number, rest: number): Promise<readonly ClientAnswer[]> {
        const until = performance.now() + duration;
        const answers: ClientAnswer[] = [];
        await Promise.all(Array.from({ length: callers }, async (_, caller) => {
            for (let count = 0; performance.now() < until; count++) {
                answers.push(await ask(caller, count));
                await pause(milliseconds(rest));
            }
        }));
        return answers;
    }

    function ask(caller: number, count: number): Promise<ClientAnswer> {
        const isWrite = count % writeEvery === 0;
        return sendRequest({
            address: boxes[(caller + count) % boxes.length].callerAddress,
            host: testHost,
            path: isWrite ? "/save/" : "/look/",
            method: isWrite ? "POST" : "GET",
            body: isWrite ? "a climb" : undefined,
            requestId: `r-${caller}-${count}`,
            affinityKey: `k${(caller * 7 + count) % keys}`,
        });
    }

    const servedShare = (answers: readonly ClientAnswer[]) =>
        answers.filter(({ status }) => status === 200).length / answers.length;

    it("keep some servers within their limits together, and serve by the others", async () => {
        await play(2000, 20);
        const limited = servers.slice(0, 3);
        limited.forEach(server => server.setLimit(1.5));
        const answers = await play(9000, 20);
        expect(Math.max(...limited.map(maxArrivalsInSpan))).to.be.within(1, maxAllowedArrivals(1.5));
        expect(servedShare(answers)).to.be.greaterThan(0.99);
    });

    it("keep all servers of a service within their limits, and refuse the rest at once", async () => {
        await play(2000, 20);
        servers.forEach(server => server.setLimit(5));
        const startedAt = performance.now();
        const answers = await play(9000, 40);
        expect(Math.max(...servers.map(maxArrivalsInSpan))).to.be.at.most(maxAllowedArrivals(5));
        const served = answers.filter(({ status }) => status === 200).length;
        expect(served / ((performance.now() - startedAt) / 1000)).to.be.greaterThan(12 * 5 * usedPart);
        expect(new Set(answers.map(({ status }) => status))).to.deep.equal(new Set([200, 503]));
    });

    it("use servers as before once they name no limit any more", async () => {
        servers.slice(0, 3).forEach(server => server.setLimit(1.5));
        await play(6000, 20);
        const before = servers[0].arrivedAt.length;
        servers.slice(0, 3).forEach(server => server.setLimit(undefined));
        await play(15_000, 20);
        expect(servers[0].arrivedAt.length - before).to.be.greaterThan(1.5 * 15 * 3);
    }).timeout(90_000);
});

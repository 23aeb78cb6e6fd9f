/**
 * Guards against boxes that ignore the rate limits of servers: a server that reported one received as many requests as
 * before.
 */

import { milliseconds } from "@chalkdale/kernel";
import { expect } from "chai";
import { type ClientAnswer, sendRequest } from "../src/standins/client.js";
import { pause, startTestDeployment, type TestBox, type TestDeployment, testHost } from "../src/standins/deployment.js";
import { maxAllowedArrivals, maxArrivalsInSpan, startLimitingServers } from "../src/standins/limiting-servers.js";
import { partitionFromEachOther } from "../src/standins/partition.js";

const callers = 16;
const keys = 40;
/** Each caller sends one write in this many requests. */
const writeEvery = 5;
/** Minimum fraction of the limits that boxes use while there are more requests. */
const minUsedFraction = 0.8;
const zones = ["north-a", "north-b", "south-a"];

describe("boxes and servers that report a rate limit [P27]", () => {
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

    /** Lets all callers send requests for a time, each with a pause after each answer; returns all answers. */
    async function sendTraffic(duration: number, pauseAfterAnswer: number): Promise<readonly ClientAnswer[]> {
        const until = performance.now() + duration;
        const answers: ClientAnswer[] = [];
        await Promise.all(Array.from({ length: callers }, async (_, caller) => {
            for (let count = 0; performance.now() < until; count++) {
                answers.push(await ask(caller, count));
                await pause(milliseconds(pauseAfterAnswer));
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

    it("keep some servers within their limits together, and use the other servers instead", async () => {
        await sendTraffic(2000, 20);
        const limited = servers.slice(0, 3);
        limited.forEach(server => server.setLimit(1.5));
        const answers = await sendTraffic(9000, 20);
        expect(Math.max(...limited.map(maxArrivalsInSpan))).to.be.within(1, maxAllowedArrivals(1.5));
        expect(servedShare(answers)).to.be.greaterThan(0.99);
    });

    it("keep all servers of a service within their limits, and refuse other requests at once", async () => {
        await sendTraffic(2000, 20);
        servers.forEach(server => server.setLimit(5));
        const startedAt = performance.now();
        const answers = await sendTraffic(9000, 40);
        expect(Math.max(...servers.map(maxArrivalsInSpan))).to.be.at.most(maxAllowedArrivals(5));
        const served = answers.filter(({ status }) => status === 200).length;
        expect(served / ((performance.now() - startedAt) / 1000)).to.be.greaterThan(12 * 5 * minUsedFraction);
        expect(new Set(answers.map(({ status }) => status))).to.deep.equal(new Set([200, 503]));
    });

    it("keep servers within their limits while boxes don't see each other", async () => {
        const endPartition = partitionFromEachOther(boxes.map(({ peerAddress }) => peerAddress));
        await sendTraffic(5000, 20);
        servers.slice(0, 3).forEach(server => server.setLimit(1.5));
        const answers = await sendTraffic(9000, 20);
        endPartition();
        expect(Math.max(...servers.slice(0, 3).map(maxArrivalsInSpan))).to.be.within(1, maxAllowedArrivals(1.5));
        expect(servedShare(answers)).to.be.greaterThan(0.99);
    });

    it("use servers as before once they no longer report a limit", async () => {
        servers.slice(0, 3).forEach(server => server.setLimit(1.5));
        await sendTraffic(6000, 20);
        const before = servers[0].arrivedAt.length;
        servers.slice(0, 3).forEach(server => server.setLimit(undefined));
        await sendTraffic(15_000, 20);
        expect(servers[0].arrivedAt.length - before).to.be.greaterThan(1.5 * 15 * 3);
    }).timeout(90_000);
});

/**
 * Guards against a poison request that crashes one server after another. Its caller repeats it with a new id each time,
 * at any box. A box that tells requests apart by their ids only takes each repeat for a new request, chooses another
 * server for it, and retries a read at a second server when the first one has crashed. Neither one box nor all of them
 * together can then notice that servers crash under it.
 *
 * Without a record of such requests, 28 crashes of 24 servers followed within 7 s with nine boxes, and 18 to 20 sends
 * arrived later than 3 s after the third crash. With the four boxes and 16 servers of this test, 66 to 77 crashes
 * followed within 10 s.
 */

import { milliseconds } from "@chalkdale/kernel";
import { expect } from "chai";
import { type ClientAnswer, sendRequest } from "../src/standins/client.js";
import { type CrashingServers, startCrashingServers } from "../src/standins/crashing-servers.js";
import {
    pause,
    startTestDeployment,
    type TestBox,
    type TestDeployment,
    testHost,
    waitUntil,
} from "../src/standins/deployment.js";

/** Milliseconds after the third crash from which connected boxes must send the request to no server. */
const enforcedAfter = 3000;
/** Number of later sends that is tolerated. */
const maxLateSends = 3;
/** Milliseconds between two repeats of the poison request. */
const repeatInterval = 100;
/** Milliseconds for which it is repeated. */
const repeatDuration = 7000;
/** Body with which a write crashes its server; with another body it is harmless. */
const poisonBody = "a climb";
/** Callers that send other requests meanwhile. */
const otherCallers = 12;

describe("boxes and a request that crashes the servers that run it [P26]", () => {
    let deployment: TestDeployment;
    let boxes: readonly TestBox[];
    let servers: CrashingServers;
    let requests: number;

    beforeEach(async () => {
        requests = 0;
        deployment = await startTestDeployment();
        servers = await startCrashingServers(deployment, {
            count: 16,
            zones: ["north-a", "north-b", "south-a"],
            work: 60,
            isPoisonRequest: ({ headers, url }) =>
                url === "/look/deadly"
                || url === "/save/deadly" && headers["content-length"] === String(poisonBody.length),
        });
        deployment.configure(2, [
            { name: "look", path: "/look/", kind: "safe" },
            { name: "save", path: "/save/", kind: "unsafe" },
        ]);
        boxes = await deployment.startBoxes(["north-a", "north-b", "south-a", "south-a"]);
    });

    afterEach(async () => {
        servers.stop();
        await deployment.close();
    });

    function ask(box: TestBox, path: string, body?: string): Promise<ClientAnswer> {
        requests += 1;
        const method = body === undefined ? "GET" : "POST";
        const affinityKey = path;
        const requestId = `r-${requests}`;
        return sendRequest({ address: box.callerAddress, host: testHost, path, method, body, requestId, affinityKey });
    }

    /** Repeats the poison request while other callers send other requests; returns the fraction of those served. */
    async function repeatPoisonRequest(send: (index: number) => Promise<ClientAnswer>): Promise<number> {
        const until = performance.now() + repeatDuration;
        const others: ClientAnswer[] = [];
        const callers = Array.from({ length: otherCallers }, async (_, caller) => {
            for (let index = 0; performance.now() < until; index++) {
                others.push(await ask(boxes[(caller + index) % boxes.length], `/look/${caller}-${index % 5}`));
                await pause(milliseconds(40));
            }
        });
        const poisonAnswers: Promise<ClientAnswer>[] = [];
        while (performance.now() < until) {
            poisonAnswers.push(send(poisonAnswers.length));
            await pause(milliseconds(repeatInterval));
        }
        await Promise.all([...callers, ...poisonAnswers]);
        return others.filter(({ status }) => status === 200).length / others.length;
    }

    function countLateSends(): number {
        const third = servers.crashedAt.at(2) ?? Infinity;
        return servers.poisonArrivedAt.filter(at => at > third + enforcedAfter).length;
    }

    const boxInTurn = (index: number) => boxes[index % boxes.length];

    it("stop sending a read to servers once three have crashed under it", async () => {
        await repeatPoisonRequest(index => ask(boxInTurn(index), "/look/deadly"));
        expect(servers.crashedAt.length).to.be.at.least(3);
        expect(countLateSends()).to.be.at.most(maxLateSends);
    });

    it("stop sending it if all repeats arrive at one box", async () => {
        await repeatPoisonRequest(() => ask(boxes[0], "/look/deadly"));
        expect(servers.crashedAt.length).to.be.at.least(3);
        expect(countLateSends()).to.be.at.most(maxLateSends);
    });

    it("stop sending a write to servers once three have crashed under it, and serve it with another body", async () => {
        let harmless: ClientAnswer | undefined;
        await repeatPoisonRequest(async index => {
            const answer = await ask(boxInTurn(index), "/save/deadly", poisonBody);
            harmless = await ask(boxInTurn(index), "/save/deadly", "another climb");
            return answer;
        });
        expect(servers.crashedAt.length).to.be.at.least(3);
        expect(countLateSends()).to.be.at.most(maxLateSends);
        expect(harmless?.status).to.equal(200);
    });

    it("serve a popular read while servers that run it crash for another reason", async () => {
        const crashTimer = setInterval(servers.crashOne, 600);
        const popular: ClientAnswer[] = [];
        const requestTimer = setInterval(() => {
            void ask(boxInTurn(requests), "/look/popular").then(answer => popular.push(answer));
        }, 20);
        await repeatPoisonRequest(index => ask(boxInTurn(index), "/look/other"));
        clearInterval(requestTimer);
        clearInterval(crashTimer);
        await waitUntil(() => popular.length > 250, "most are answered");
        expect(popular.filter(({ status }) => status !== 200)).to.deep.equal([]);
    });
});

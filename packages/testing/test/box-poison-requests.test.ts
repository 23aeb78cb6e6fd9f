/**
 * A request ends each server that begins to run it, and its caller sends it again and again, under
 * another id each time and to any box. Each box took it for a new request: it chose a server, sent a read to a second one
 * when the first had ended, and forgot it with the answer. Nothing but its id told it from others, so
 * neither one box nor all of them together could know that servers end under it.
 *
 * In a run of nine boxes and 24 servers 28 servers ended within 7 s, and 18 to 20 sends came later than 3 s after the third
 * end: `route=r-wg5e7ry server=i-84b820af6b sent=1 reason="socket hang up"`, then the same route at i-aff12660e7,
 * i-51ec4b8835, i-5d1bccdd35 and so on, from five boxes. With four boxes and 16 servers here, 66 to 77 end in 10 s.
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

/** Milliseconds after the third end from which boxes that are in touch keep the request from servers. */
const contact = 3000;
/** Sends beyond which that is broken. */
const mostLaterSends = 3;
/** Milliseconds between two repeats of the deadly request. */
const repeatPause = 100;
/** Milliseconds for which it comes. */
const repeatTime = 7000;
/** Body under which a write ends its server; with another one the same write is harmless. */
const deadlyBody = "a climb";
/** Callers that ask for other things meanwhile. */
const otherCallers = 12;

describe("boxes and a request that ends the servers that run it [P26]", () => {
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
                || url === "/save/deadly" && headers["content-length"] === String(deadlyBody.length),
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

    /** Sends the deadly request again and again while others ask for other things; returns the share of these that is served. */
    async function play(send: (index: number) => Promise<ClientAnswer>): Promise<number> {
        const until = performance.now() + repeatTime;
        const others: ClientAnswer[] = [];
        const callers = Array.from({ length: otherCallers }, async (_, caller) => {
            for (let index = 0; performance.now() < until; index++) {
                others.push(await ask(boxes[(caller + index) % boxes.length], `/look/${caller}-${index % 5}`));
                await pause(milliseconds(40));
            }
        });
        const deadly: Promise<ClientAnswer>[] = [];
        while (performance.now() < until) {
            deadly.push(send(deadly.length));
            await pause(milliseconds(repeatPause));
        }
        await Promise.all([...callers, ...deadly]);
        return others.filter(({ status }) => status === 200).length / others.length;
    }

    function laterSends(): number {
        const third = servers.crashedAt.at(2) ?? Infinity;
        return servers.poisonArrivedAt.filter(at => at > third + contact).length;
    }

    const inTurn = (index: number) => boxes[index % boxes.length];

    it("keep a read from servers once three have ended under it", async () => {
        await play(index => ask(inTurn(index), "/look/deadly"));
        expect(servers.crashedAt.length).to.be.at.least(3);
        expect(laterSends()).to.be.at.most(mostLaterSends);
    });

    it("keep it from servers if all repeats come to one box", async () => {
        await play(() => ask(boxes[0], "/look/deadly"));
        expect(servers.crashedAt.length).to.be.at.least(3);
        expect(laterSends()).to.be.at.most(mostLaterSends);
    });

    it("keep a write from servers once three have ended under it, and serve it with another body", async () => {
        let harmless: ClientAnswer | undefined;
        await play(async index => {
            const answer = await ask(inTurn(index), "/save/deadly", deadlyBody);
            harmless = await ask(inTurn(index), "/save/deadly", "another climb");
            return answer;
        });
        expect(servers.crashedAt.length).to.be.at.least(3);
        expect(laterSends()).to.be.at.most(mostLaterSends);
        expect(harmless?.status).to.equal(200);
    });

    it("serve a popular read while servers that have it end by themselves", async () => {
        const ending = setInterval(servers.crashOne, 600);
        const popular: ClientAnswer[] = [];
        const asking = setInterval(() => {
            void ask(inTurn(requests), "/look/popular").then(answer => popular.push(answer));
        }, 20);
        await play(index => ask(inTurn(index), "/look/other"));
        clearInterval(asking);
        clearInterval(ending);
        await waitUntil(() => popular.length > 250, "most are answered");
        expect(popular.filter(({ status }) => status !== 200)).to.deep.equal([]);
    });
});

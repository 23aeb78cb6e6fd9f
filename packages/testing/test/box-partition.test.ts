/**
 * Guards against boxes that refuse their callers because their own links to servers are cut, while other boxes still
 * reach the same servers.
 */

import { milliseconds } from "@chalkdale/kernel";
import { expect } from "chai";
import { monitorEventLoopDelay } from "node:perf_hooks";
import { type FaultProxy, startFaultProxy } from "../src/soak/fault-proxy.js";
import type { ServerStandIn } from "../src/standins/backend-server.js";
import { type ClientAnswer, sendRequest } from "../src/standins/client.js";
import { pause, startTestDeployment, type TestBox, type TestDeployment, testHost } from "../src/standins/deployment.js";
import { partition, partitionKinds } from "../src/standins/partition.js";
import { serverObject } from "../src/standins/platform-objects.js";

const zones = ["north-a", "north-b", "south-a"];
const boxesPerZone = 3;
const serverCount = 12;
const callersPerBox = 4;
const keyCount = 40;
/** Each caller sends one write in this many requests. */
const writeEvery = 5;
/** Milliseconds of work at a server for a request with a new key. */
const work = 30;
/** Milliseconds from the cut, and from its end, until its boxes serve as others do. */
const servedWithin = 2000;
const cutDuration = 5000;
/** Fraction of the first attempts that are served at a cut box. */
const minServed = 0.98;
/** Nanoseconds in a millisecond. */
const nanoseconds = 1_000_000;
/** Milliseconds within which nine of ten requests are refused while no box reaches a server. */
const refusedWithin = 100;

/** One request as its caller saw it; times are in milliseconds of `performance.now`. */
interface CallerRequest extends ClientAnswer {
    readonly requestId: string;
    readonly isWrite: boolean;
    readonly box: number;
    readonly sentAt: number;
    readonly took: number;
}

describe("boxes that lose their links to servers", () => {
    let deployment: TestDeployment;
    let boxes: readonly TestBox[];
    let servers: readonly ServerStandIn[];
    let proxies: readonly FaultProxy[];

    const hostOf = (box: number) => `127.0.0.${30 + box}`;
    const boxesOf = (zone: string) => boxes.map((_, box) => box).filter(box => zones[box % zones.length] === zone);

    beforeEach(async () => {
        deployment = await startTestDeployment();
        servers = await Promise.all(
            Array.from({ length: serverCount }, (_, index) => deployment.addServer({ id: `i-${index}` })),
        );
        proxies = await Promise.all(servers.map(server => startFaultProxy(server.address())));
        servers.forEach((server, index) => {
            server.setWork(work);
            const record = serverObject(proxies[index].address(), { zone: zones[index % zones.length] });
            deployment.store.put("servers", server.id, record);
        });
        deployment.configure(2, [
            { name: "look", path: "/look/", kind: "safe" },
            { name: "save", path: "/save/", kind: "unsafe" },
        ]);
        const zonesOfBoxes = Array.from({ length: boxesPerZone }, () => zones).flat();
        boxes = await deployment.startBoxes(zonesOfBoxes, zonesOfBoxes.map((_, box) => hostOf(box)));
    });

    afterEach(async () => {
        await deployment.close();
        proxies.forEach(proxy => proxy.close());
    });

    /** Lets each box's callers send requests for a time, one after the other. */
    async function sendTraffic(duration: number): Promise<readonly CallerRequest[]> {
        const until = performance.now() + duration;
        const requests: CallerRequest[] = [];
        await Promise.all(boxes.flatMap((_, box) =>
            Array.from({ length: callersPerBox }, async (_, caller) => {
                for (let count = 0; performance.now() < until; count++) {
                    requests.push(await ask(box, caller, count));
                    await pause(milliseconds(20));
                }
            })
        ));
        return requests;
    }

    async function ask(box: number, caller: number, count: number): Promise<CallerRequest> {
        const isWrite = count % writeEvery === 0;
        const sentAt = performance.now();
        const requestId = `r-${box}-${caller}-${Math.round(sentAt)}`;
        const answer = await sendRequest({
            address: boxes[box].callerAddress,
            host: testHost,
            path: isWrite ? "/save/" : "/look/",
            method: isWrite ? "POST" : "GET",
            body: isWrite ? "a climb" : undefined,
            requestId,
            affinityKey: `k${(box * 5 + caller * 7 + count) % keyCount}`,
            deadlineMs: 3000,
        });
        return { ...answer, requestId, isWrite, box, sentAt, took: performance.now() - sentAt };
    }

    const servedShare = (requests: readonly CallerRequest[]) =>
        requests.filter(({ status }) => status === 200).length / requests.length;

    /** Writes that ran more than once, or that ran although they were refused. */
    function brokenPromises(requests: readonly CallerRequest[]): readonly string[] {
        const runs = servers.flatMap(server => server.runs.map(({ requestId }) => requestId));
        const ranCount = (id: string) => runs.filter(requestId => requestId === id).length;
        const writes = requests.filter(({ isWrite }) => isWrite);
        return writes.filter(({ requestId, status }) => ranCount(requestId) > (status === 503 ? 0 : 1))
            .map(({ requestId, status }) => `${requestId} got ${status} and ran ${ranCount(requestId)} times`);
    }

    const affected: readonly [name: string, select: () => readonly number[]][] = [
        ["two boxes", () => [3, 7]],
        ["all boxes of an availability zone", () => boxesOf("north-b")],
        ["all boxes but one", () => boxes.map((_, box) => box).slice(1)],
    ];

    for (const kind of partitionKinds) {
        describe(`for a while (${kind}), while others reach the servers [P29]`, () => {
            for (const [name, select] of affected) {
                it(`serve as the others do two seconds later: ${name}`, async () => {
                    const cut = select();
                    await sendTraffic(1500);
                    const endPartition = partition(cut.map(hostOf), proxies, kind);
                    const cutAt = performance.now();
                    const during = await sendTraffic(cutDuration);
                    endPartition();
                    const endedAt = performance.now();
                    const after = await sendTraffic(servedWithin + 1000);
                    const atCutBoxes = during.filter(({ box, sentAt }) =>
                        cut.includes(box) && sentAt >= cutAt + servedWithin
                    );
                    const atOthers = during.filter(({ box }) => !cut.includes(box));
                    expect(servedShare(atCutBoxes), "at cut boxes").to.be.at.least(minServed);
                    expect(servedShare(atOthers), "at others").to.be.at.least(minServed);
                    const afterwards = after.filter(({ sentAt }) => sentAt >= endedAt + servedWithin);
                    expect(servedShare(afterwards), "afterwards").to.be.at.least(minServed);
                    expect(brokenPromises([...during, ...after])).to.deep.equal([]);
                });
            }
        });
    }

    describe("all together [P29]", () => {
        for (const kind of ["silent", "reset"] as const) {
            it(`refuse at once with a Retry-After, and serve two seconds after the end: ${kind}`, async () => {
                await sendTraffic(1500);
                const endPartition = partition(boxes.map((_, box) => hostOf(box)), proxies, kind);
                const cutAt = performance.now();
                // Boxes, servers and callers share this process, so that its own delays explain a slow answer.
                const loopDelay = monitorEventLoopDelay({ resolution: 5 });
                loopDelay.enable();
                const during = await sendTraffic(cutDuration);
                loopDelay.disable();
                endPartition();
                const endedAt = performance.now();
                const after = await sendTraffic(servedWithin + 1000);
                const refused = during.filter(({ sentAt }) => sentAt >= cutAt + servedWithin);
                const slowest = refused.map(({ took }) => took).sort((a, b) => a - b)[Math.floor(refused.length * 0.9)];
                const delays = [50, 90, 99].map(percent => Math.round(loopDelay.percentile(percent) / nanoseconds));
                expect(slowest, `nine of ten; delays of the event loop: ${delays.join(", ")} ms`)
                    .to.be.at.most(refusedWithin);
                expect(new Set(refused.map(({ status }) => status))).to.deep.equal(new Set([503]));
                expect(refused.every(({ headers }) => Number(headers["retry-after"]) > 0)).to.equal(true);
                const afterwards = after.filter(({ sentAt }) => sentAt >= endedAt + servedWithin);
                expect(servedShare(afterwards), "afterwards").to.be.at.least(minServed);
                expect(brokenPromises([...during, ...after])).to.deep.equal([]);
            });
        }
    });
});

/**
 * Guards against cold servers that get more requests than they bear, counted at the servers over all boxes: whoever is
 * apart, learns late or has no store.
 */

import { milliseconds } from "@chalkdale/kernel";
import { expect } from "chai";
import type { ServerStandIn } from "../src/standins/backend-server.js";
import { sendRequest } from "../src/standins/client.js";
import { pause, startTestDeployment, type TestBox, type TestDeployment, testHost } from "../src/standins/deployment.js";
import { partitionFromEachOther } from "../src/standins/partition.js";

const zones = ["north-a", "north-b", "south-a"];
const boxCount = 12;
const serverCount = 9;
const callersPerBox = 5;
/** Milliseconds between two requests of a caller: 600 requests a second of all callers together. */
const callerInterval = 100;
/** Milliseconds for which a server is cold. */
const coldTime = 3000;
/** Milliseconds between two writes of a server's record. */
const heartbeatInterval = 1500;
/** Requests a second that a cold server of the deployment bears, and what it tolerates in any second. */
const coldRate = 14;
const tolerated = 1.5 * coldRate + 5;
const second = 1000;

describe("cold servers of a deployment of 12 boxes [P14]", () => {
    let deployment: TestDeployment;
    let boxes: readonly TestBox[];
    let servers: readonly ServerStandIn[];
    let arrivals: Map<string, number[]>;
    /** When each server last turned cold. */
    let coldSince: Map<string, number>;
    let isTrafficOn: boolean;
    let traffic: Promise<unknown>;

    const hostOf = (box: number) => `127.0.0.${60 + box}`;
    const zoneOf = (index: number) => zones[index % zones.length];

    beforeEach(async () => {
        arrivals = new Map();
        coldSince = new Map();
        deployment = await startTestDeployment();
        servers = await Promise.all(Array.from({ length: serverCount }, (_, index) => {
            const times: number[] = [];
            arrivals.set(`i-${index}`, times);
            return deployment.addServer({
                id: `i-${index}`,
                zone: zoneOf(index),
                onArrival: () => times.push(performance.now()),
            });
        }));
        deployment.configure(2, [{ name: "look", path: "/look/", kind: "safe", maxAttempts: 2 }]);
        const indexes = Array.from({ length: boxCount }, (_, box) => box);
        boxes = await deployment.startBoxes(indexes.map(zoneOf), indexes.map(hostOf));
        isTrafficOn = true;
        traffic = Promise.all(indexes.flatMap(box => Array.from({ length: callersPerBox }, () => callUntilEnd(box))));
        await pause(milliseconds(1000));
    });

    afterEach(async () => {
        isTrafficOn = false;
        await traffic;
        await deployment.close();
    });

    async function callUntilEnd(box: number): Promise<void> {
        await pause(milliseconds(Math.random() * callerInterval));
        for (let count = 0; isTrafficOn; count++) {
            void sendRequest({
                address: boxes[box].callerAddress,
                host: testHost,
                path: "/look/",
                method: "GET",
                requestId: `r-${box}-${count}-${Math.random()}`,
                affinityKey: `k${Math.floor(Math.random() * 200)}`,
                deadlineMs: 2000,
            }).catch(() => undefined);
            await pause(milliseconds(callerInterval));
        }
    }

    function serversOf(zone: string): readonly ServerStandIn[] {
        return servers.filter((_, index) => zoneOf(index) === zone);
    }

    /** The servers turn cold without a restart, and say so in their records and health answers until they are warm. */
    function turnCold(turning: readonly ServerStandIn[]): void {
        for (const server of turning) {
            coldSince.set(server.id, performance.now());
            server.setColdFor(coldTime);
            for (let elapsed = 0; elapsed <= coldTime; elapsed += heartbeatInterval) {
                setTimeout(() => writeRecord(server, coldTime - elapsed), elapsed);
            }
            setTimeout(() => server.setColdFor(0), coldTime);
        }
    }

    function writeRecord(server: ServerStandIn, coldLeft: number): void {
        deployment.writeServerRecord(server, { zone: zoneOf(servers.indexOf(server)), coldLeft: `${coldLeft}ms` });
    }

    async function untilWarm(): Promise<void> {
        await pause(milliseconds(coldTime + 500));
    }

    function coldArrivals(server: string): readonly number[] {
        const since = coldSince.get(server)!;
        return arrivals.get(server)!.filter(at => at >= since && at < since + coldTime);
    }

    /** Largest number of requests that one cold server got in a second. */
    function mostInASecond(): number {
        const counts = [...coldSince.keys()].flatMap(server => {
            const times = coldArrivals(server);
            return times.map((from, index) => times.slice(index).filter(at => at < from + second).length);
        });
        return Math.max(0, ...counts);
    }

    /** Requests a second of all cold servers, as a fraction of what they bear. */
    function usedFraction(): number {
        const total = [...coldSince.keys()].reduce((sum, server) => sum + coldArrivals(server).length, 0);
        return total / (coldSince.size * coldRate * coldTime / second);
    }

    it("are not flooded when the servers of a zone turn cold together", async () => {
        turnCold(serversOf("south-a"));
        await untilWarm();
        expect(mostInASecond()).to.be.at.most(tolerated);
    }).timeout(30_000);

    it("are not flooded when they turn cold right after another change", async () => {
        deployment.writeServerRecord(servers[8], { zone: zoneOf(8), version: "v2" });
        await pause(milliseconds(20));
        turnCold(servers.slice(0, 3));
        await untilWarm();
        expect(mostInASecond()).to.be.at.most(tolerated);
    }).timeout(30_000);

    it("are not flooded when they turn cold again with the same record", async () => {
        const [server] = servers;
        turnCold([server]);
        await untilWarm();
        await pause(milliseconds(2500));
        turnCold([server]);
        await untilWarm();
        expect(mostInASecond()).to.be.at.most(tolerated);
    }).timeout(30_000);

    it("are not flooded while boxes are apart", async () => {
        const endPartition = partitionFromEachOther(boxes.map(({ peerAddress }) => peerAddress));
        await pause(milliseconds(5000));
        turnCold([servers[0]]);
        await untilWarm();
        endPartition();
        expect(mostInASecond()).to.be.at.most(tolerated);
    }).timeout(30_000);

    it("are not flooded while boxes are apart and all servers are cold", async () => {
        const endPartition = partitionFromEachOther(boxes.map(({ peerAddress }) => peerAddress));
        await pause(milliseconds(5000));
        turnCold(servers);
        await untilWarm();
        endPartition();
        expect(mostInASecond()).to.be.at.most(tolerated);
    }).timeout(30_000);

    it("are not flooded while half of the boxes have no store", async () => {
        const withoutStore = new Set(boxes.map((_, box) => hostOf(box)).filter((_, box) => box % 2 === 0));
        deployment.storeServer.setFault(({ caller }) =>
            withoutStore.has(caller) ? { kind: "refused", status: 503 } : { kind: "none" }
        );
        deployment.storeServer.dropConnections();
        await pause(milliseconds(4000));
        turnCold([servers[0]]);
        await untilWarm();
        expect(mostInASecond()).to.be.at.most(tolerated);
    }).timeout(30_000);

    it("are not flooded while no box has the store", async () => {
        deployment.storeServer.setFault(() => ({ kind: "refused", status: 503 }));
        deployment.storeServer.dropConnections();
        await pause(milliseconds(4000));
        turnCold([servers[0]]);
        await untilWarm();
        expect(mostInASecond()).to.be.at.most(tolerated);
    }).timeout(30_000);

    it("use half of their rate at least when all are cold", async () => {
        turnCold(servers);
        await untilWarm();
        expect(usedFraction()).to.be.at.least(0.5);
    }).timeout(30_000);
});

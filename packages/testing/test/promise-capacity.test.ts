import { bucketWindow } from "@chalkdale/core";
import { expect } from "chai";
import { runLoad } from "../src/session/load.js";
import type { Session } from "../src/session/session.js";
import { withValues } from "../src/session/trees.js";
import { smallRegions, smallSession, smallStreams, smallTree } from "./small-deployment.js";

const capacity = 60;

/** Checks that no region was sent more than its capacity in any window. */
function expectWithinCapacity(session: Session): void {
    for (const region of smallRegions) {
        const index = smallRegions.indexOf(region);
        const times = session.servers.all()
            .filter(({ member }) => (Number(member.id.split("-")[1]) - 1) % smallRegions.length === index)
            .flatMap(server => server.startedAt)
            .sort((a, b) => a - b);
        let first = 0;
        times.forEach((time, last) => {
            while (times[first] <= time - bucketWindow) {
                first++;
            }
            const allowed = capacity * bucketWindow / 1000;
            expect(last - first + 1, `${region} at ${time}`).to.be.at.most(allowed);
        });
    }
}

/** Every box is asked for far more than the regions can serve, from everywhere. */
const overload = [
    ...smallStreams(120),
    { service: "search", caller: "10.1.0.1", boxes: ["north-1", "west-1"], rate: () => 80 },
];

describe("promise 2: no region is pushed past its capacity by a steering decision [P2]", () => {
    async function run(events: (session: Session) => readonly (readonly [number, () => void])[]): Promise<Session> {
        const session = smallSession(smallTree({}, { capacity }));
        await session.advance(8000);
        for (const [length, act] of events(session)) {
            await runLoad(session, overload, length);
            act();
        }
        await runLoad(session, overload, 15_000);
        expectWithinCapacity(session);
        await session.end();
        return session;
    }

    it("under twice its load, and uses most of the capacity", async () => {
        const session = await run(() => []);
        const served = session.servers.all().reduce((sum, server) => sum + server.startedAt.length, 0);
        expect(served / 15).to.be.greaterThan(capacity * smallRegions.length * 0.7);
    });

    it("when a box is paused for longer than its lease, and others take what it had", () =>
        run(session => [
            [6000, () => {
                session.box("north-1").paused = true;
            }],
            [9000, () => {
                session.box("north-1").paused = false;
            }],
        ]));

    it("when a box loses its agent and all others, and they take what it had", () =>
        run(session => [
            [8000, () => {
                session.kill("north-1", "agent");
                session.network.reaches = (from, to) => from === to || (from !== "north-1" && to !== "north-1");
            }],
            [12_000, () => undefined],
        ]));

    it("when a box is replaced while the old one runs on, cut off from all", () =>
        run(session => [
            [6000, () => {
                session.replaceCutOff("north-1");
                session.network.reaches = (from, to) => from === to || (from !== "north-1~old" && to !== "north-1~old");
                overload.push(...smallStreams(120).map(stream => ({ ...stream, boxes: ["north-1~old"] })));
            }],
            [15_000, () => {
                overload.splice(overload.length - smallRegions.length);
            }],
        ]));

    it("when regions lose each other, and the platform is out for a while", () =>
        run(session => [
            [5000, () => {
                session.store.faults.outage = true;
            }],
            [8000, () => {
                session.network.reaches = (from, to) => from.slice(0, 4) === to.slice(0, 4);
            }],
            [8000, () => {
                session.store.faults.outage = false;
                session.network.reaches = () => true;
            }],
        ]));

    it("when writes of leases take effect while their answers are lost", () =>
        run(session => [
            [4000, () => {
                session.store.faults.lostAnswers = 5;
            }],
            [4000, () => {
                session.store.faults.lostRequests = 5;
            }],
            [6000, () => {
                session.kill("east-1", "agent");
            }],
            [6000, () => session.startAgent("east-1")],
        ]));

    it("when the platform is slow, so that renewals take effect long after they were sent", () =>
        run(session => [
            [4000, () => {
                session.platformDelay.milliseconds = 1500;
            }],
            [12_000, () => {
                session.platformDelay.milliseconds = 0;
            }],
        ]));

    it("when the platform is slow and boxes are replaced meanwhile", () =>
        run(session => [
            [2000, () => {
                session.platformDelay.milliseconds = 2500;
            }],
            [6000, () => {
                session.kill("west-1");
                session.startBox("west-1");
            }],
            [8000, () => {
                session.platformDelay.milliseconds = 0;
            }],
        ]));

    it("when all boxes are killed and replaced at once, again and again", () =>
        run(session =>
            Array.from({ length: 4 }, () => [3000, () =>
                smallRegions.forEach(region => {
                    session.kill(`${region}-1`);
                    session.startBox(`${region}-1`);
                })])
        ));
});

describe("the limit of a link between two regions [P2]", () => {
    it("holds while a drained region's traffic goes over it", async () => {
        const linkLimit = 5;
        const session = smallSession(smallTree({ shiftCap: 6 }, { capacity: 3000, linkLimit }));
        session.editSettings(document => withValues(document, "/regions/north", { drain: true }));
        await session.advance(8000);
        const results = await runLoad(session, [smallStreams(40)[1]], 40_000);
        const sent = results.filter(result => result.zone !== "" && result.zone !== "north-a");
        for (const region of ["east", "west"]) {
            const times = sent.filter(result => result.zone === `${region}-a`).map(result => result.startedAt);
            for (const end of times) {
                const inWindow = times.filter(time => time > end - bucketWindow && time <= end).length;
                expect(inWindow).to.be.at.most(linkLimit * bucketWindow / 1000);
            }
            expect(times.length).to.be.greaterThan(linkLimit * 20);
        }
        expect(results.some(result => result.kind === "linkLimitReached")).to.equal(true);
        await session.end();
    });
});

/**
 * Guards against requests that a box sends to servers although their callers have closed their connections while the
 * box could not read. What counts is what servers receive.
 */

import { milliseconds } from "@chalkdale/kernel";
import { expect } from "chai";
import type { IncomingMessage } from "node:http";
import type { BoxProcess } from "../src/soak/box-process.js";
import { pause, waitUntil } from "../src/standins/deployment.js";
import type { ServerBehaviour } from "../src/standins/server-answers.js";
import { type CallerOptions, type DepartureFixture, startDepartureFixture } from "./departing-callers.js";

/** Milliseconds after which a caller leaves. */
const patience = 300;
const pauseDuration = milliseconds(1500);
/** Milliseconds for a signal to take effect. */
const signalDelay = milliseconds(30);
/** Milliseconds after a pause for which arrivals are observed. */
const observedAfter = milliseconds(800);
/** Milliseconds after which a box has closed its idle connections to servers. */
const idleConnectionsClosed = milliseconds(5000);
/** One caller in this many stays. */
const stayEvery = 5;
/** Deadline of callers that stay, in milliseconds. */
const longDeadline = 8000;
const uploadSize = 20_000;

describe("a box and callers that leave [P12]", () => {
    let fixture: DepartureFixture;
    let box: BoxProcess;

    afterEach(() => fixture.close());

    async function startBoxes(count: number): Promise<void> {
        fixture = await startDepartureFixture(count);
        [box] = fixture.boxes;
    }

    /** Starts two boxes of which the first one serves through the other. */
    async function startConnectedBoxes(): Promise<void> {
        await startBoxes(2);
        box.cutNewConnections("refuse");
        await pause(idleConnectionsClosed);
        await waitUntil(async () => {
            fixture.call(box);
            await fixture.settle();
            return fixture.arrivals.at(-1)!.boxHost === fixture.boxes[1].host;
        }, "it serves through the other box");
    }

    /** Most callers leave early, the others stay. */
    const mixed = (index: number, options: CallerOptions = {}): CallerOptions => ({
        deadlineMs: longDeadline,
        ...options,
        leaveAfter: index % stayEvery === 0 ? undefined : patience,
    });

    /** Pauses the process while callers call, and observes what reaches servers afterwards. */
    async function pauseDuring(paused: BoxProcess, calls: () => Promise<void>): Promise<void> {
        paused.signal("SIGSTOP");
        await pause(signalDelay);
        const calling = calls();
        await pause(pauseDuration);
        paused.signal("SIGCONT");
        await calling;
        await pause(observedAfter);
    }

    /** Lets the process run for a part of the time only. */
    async function starve(starved: BoxProcess, duration: number): Promise<void> {
        const end = performance.now() + duration;
        while (performance.now() < end) {
            starved.signal("SIGSTOP");
            await pause(milliseconds(940));
            starved.signal("SIGCONT");
            await pause(milliseconds(60));
        }
    }

    async function expectNoneLate(minLeft: number): Promise<void> {
        await fixture.settle();
        const left = fixture.requests.filter(({ leftAt }) => leftAt !== undefined);
        expect(left.length, "callers that left").to.be.at.least(minLeft);
        expect(fixture.lateArrivals()).to.deep.equal([]);
    }

    function expectStayingServed(): void {
        const staying = fixture.requests.filter(({ leftAt }) => leftAt === undefined);
        expect(staying.filter(({ status }) => status !== 200)).to.deep.equal([]);
    }

    describe("while it runs", () => {
        beforeEach(() => startBoxes(1));

        it("sends nothing for callers that have left before", async () => {
            fixture.servers.forEach(server => server.setWork(2 * patience));
            await fixture.callRepeatedly(box, 40, 15, index => mixed(index));
            await fixture.callRepeatedly(box, 10, 15, index => mixed(index, { pipelined: 60 }));
            await expectNoneLate(30);
        });
    });

    describe("after a pause", () => {
        beforeEach(() => startBoxes(1));

        it("sends nothing for callers that have left their new connections", async () => {
            for (let round = 0; round < 2; round++) {
                await pauseDuring(box, () => fixture.callRepeatedly(box, 40, 15, index => mixed(index)));
            }
            await expectNoneLate(60);
            expectStayingServed();
        });

        it("sends nothing for callers that have reset their new connections", async () => {
            await pauseDuring(
                box,
                () => fixture.callRepeatedly(box, 40, 15, index => mixed(index, { leaveBy: "reset" })),
            );
            await expectNoneLate(30);
            expectStayingServed();
        });

        it("sends nothing for callers that have left connections that were open before", async () => {
            const connections = await fixture.openUsed(box, 40);
            await pauseDuring(
                box,
                () => fixture.callRepeatedly(box, 40, 15, index => mixed(index, { connection: connections[index] })),
            );
            await expectNoneLate(30);
            expectStayingServed();
        });

        it("sends nothing of the four requests that callers have pipelined and left", async () => {
            await pauseDuring(
                box,
                () => fixture.callRepeatedly(box, 40, 15, index => mixed(index, { pipelined: 4 })),
            );
            await expectNoneLate(120);
            expectStayingServed();
        });

        it("sends nothing of pipelines that are longer than it reads ahead", async () => {
            await pauseDuring(
                box,
                () => fixture.callRepeatedly(box, 10, 15, index => mixed(index, { pipelined: 60 })),
            );
            await expectNoneLate(480);
            expectStayingServed();
        });

        it("sends nothing of uploads whose callers have left", async () => {
            const body = "x".repeat(uploadSize);
            await pauseDuring(box, () => fixture.callRepeatedly(box, 40, 15, index => mixed(index, { body })));
            await expectNoneLate(30);
            expectStayingServed();
        });

        it("sends nothing for callers that have left while it drains", async () => {
            const connections = await fixture.openUsed(box, 40);
            await pauseDuring(box, async () => {
                await fixture.callRepeatedly(box, 40, 15, index => mixed(index, { connection: connections[index] }));
                box.signal("SIGTERM");
            });
            await expectNoneLate(30);
            const staying = fixture.requests.filter(({ leftAt }) => leftAt === undefined);
            expect(staying.filter(({ status }) => status === 0)).to.deep.equal([]);
        });

        it("sends no retry for callers that left before it read the server's rejection", async () => {
            await warmUp();
            setFirstAttempt({ kind: "shed", afterMs: 200 });
            await callThenPause(20);
            await expectNoneLate(16);
            expectStayingServed();
        });

        it("sends no hedged attempt for callers that left before it was due", async () => {
            await warmUp();
            setFirstAttempt({ kind: "loseAnswer", by: "silence" });
            await callThenPause(20);
            await expectNoneLate(16);
            expectStayingServed();
        });
    });

    describe("without enough processor time", () => {
        beforeEach(() => startBoxes(1));

        it("sends nothing for callers that have left", async () => {
            const starving = starve(box, 6000);
            await fixture.callRepeatedly(box, 500, 10, index => mixed(index));
            await starving;
            await expectNoneLate(300);
            expectStayingServed();
        });

        it("sends nothing for callers that have left while it is flooded as well", async () => {
            const starving = starve(box, 6000);
            await fixture.callRepeatedly(box, 2000, 2.5, index => mixed(index));
            await starving;
            await expectNoneLate(1200);
        });
    });

    describe("after a pause, with its links to servers cut", () => {
        beforeEach(() => startConnectedBoxes());

        it("sends nothing through another box for callers that have left", async () => {
            await pauseDuring(box, () => fixture.callRepeatedly(box, 40, 15, index => mixed(index)));
            await expectNoneLate(30);
            expectStayingServed();
        });

        it("sends nothing for callers of another box that has withdrawn their requests", async () => {
            await pauseDuring(fixture.boxes[1], () => fixture.callRepeatedly(box, 40, 15, index => mixed(index)));
            await expectNoneLate(16);
        });
    });

    /** Makes the box know how its servers answer. */
    async function warmUp(): Promise<void> {
        await fixture.callRepeatedly(box, 300, 5, () => ({}));
        await fixture.settle();
    }

    describe("after a pause of two boxes, of which one forwards for the other", () => {
        beforeEach(() => startConnectedBoxes());

        it("sends nothing for callers that have left the one that goes on later", async () => {
            const [, other] = fixture.boxes;
            other.signal("SIGSTOP");
            await pause(signalDelay);
            await fixture.callRepeatedly(box, 20, 8, index => mixed(index, { path: "/save/", method: "POST" }));
            await pause(signalDelay);
            box.signal("SIGSTOP");
            await pause(pauseDuration);
            other.signal("SIGCONT");
            await pause(observedAfter);
            box.signal("SIGCONT");
            await pause(observedAfter);
            await expectNoneLate(16);
            expectStayingServed();
        });
    });

    /** Makes the first attempt of each request fail in this way, whichever server gets it. */
    function setFirstAttempt(behaviour: ServerBehaviour): void {
        const attempted = new Set<string>();
        const behaviourOf = ({ headers }: IncomingMessage): ServerBehaviour => {
            const requestId = String(headers["request-id"]);
            if (attempted.has(requestId)) {
                return { kind: "serve" };
            }
            attempted.add(requestId);
            return behaviour;
        };
        fixture.servers.forEach(server => server.setBehaviour(behaviourOf));
    }

    /** Lets callers call before a pause that begins while their first attempts are in progress. */
    async function callThenPause(count: number): Promise<void> {
        await fixture.callRepeatedly(box, count, 2, index => mixed(index));
        await pause(signalDelay);
        await pauseDuring(box, () => Promise.resolve());
    }
});

/**
 * Guards against what a box does to callers that stay when it could not read for a while: it counts their time from
 * when it reads, and runs its timers before it reads what has arrived.
 */

import { milliseconds } from "@chalkdale/kernel";
import { expect } from "chai";
import { pause, waitUntil } from "../src/standins/deployment.js";
import { type DepartureFixture, startDepartureFixture } from "./departing-callers.js";

const pauseDuration = milliseconds(1500);
/** Milliseconds for a signal to take effect. */
const signalDelay = milliseconds(30);
/** Milliseconds by which a server may be handed more time than is left; from the users' rules. */
const deadlineTolerance = 500;

describe("a box that could not read for a while", () => {
    let fixture: DepartureFixture;

    beforeEach(async () => {
        fixture = await startDepartureFixture(1);
    });

    afterEach(() => fixture.close());

    it("hands servers no more time than its callers have left [P11]", async () => {
        const [box] = fixture.boxes;
        const deadlineMs = 1900;
        box.signal("SIGSTOP");
        await pause(signalDelay);
        const calling = fixture.callRepeatedly(box, 80, 15, () => ({ deadlineMs }));
        await pause(pauseDuration);
        box.signal("SIGCONT");
        await calling;
        await expectTimesLeft(deadlineMs);
    });

    it("hands servers no more time than its callers have left, paused again before it has read all [P11]", async () => {
        const [box] = fixture.boxes;
        const deadlineMs = 4000;
        box.signal("SIGSTOP");
        await pause(signalDelay);
        const calling = fixture.callRepeatedly(box, 300, 4, () => ({ deadlineMs }));
        await pause(pauseDuration);
        box.signal("SIGCONT");
        await pause(milliseconds(20));
        box.signal("SIGSTOP");
        await pause(milliseconds(300));
        box.signal("SIGCONT");
        await calling;
        await expectTimesLeft(deadlineMs);
    });

    it("delivers answers that arrived in time, although their deadline passed meanwhile", async () => {
        const [box] = fixture.boxes;
        fixture.servers.forEach(server => server.setWork(200));
        const count = 20;
        const arrivalsBefore = fixture.arrivals.length;
        await fixture.callRepeatedly(box, count, 2, () => ({ deadlineMs: 1000 }));
        await waitUntil(() => fixture.arrivals.length === arrivalsBefore + count, "all are at servers");
        box.signal("SIGSTOP");
        await pause(pauseDuration);
        box.signal("SIGCONT");
        await fixture.settle();
        expect(fixture.requests.filter(({ status }) => status !== 200)).to.deep.equal([]);
    });

    async function expectTimesLeft(deadlineMs: number): Promise<void> {
        await fixture.settle();
        const sentAt = new Map(fixture.requests.map(request => [request.requestId, request.sentAt]));
        const excesses = fixture.arrivals.flatMap(({ at, deadline, requestId }) => {
            const sent = sentAt.get(requestId);
            const excess = sent === undefined ? 0 : at + deadline - (sent + deadlineMs);
            return excess > deadlineTolerance ? [`${requestId}: ${Math.round(excess)} ms too much`] : [];
        });
        expect(excesses).to.deep.equal([]);
        expect(fixture.requests.filter(({ status }) => status !== 200)).to.deep.equal([]);
    }
});

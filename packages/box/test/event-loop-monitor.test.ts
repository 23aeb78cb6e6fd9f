import { type Milliseconds, milliseconds } from "@chalkdale/kernel";
import { createLog } from "@chalkdale/runtime";
import { expect } from "chai";
import { channel } from "node:diagnostics_channel";
import { type EventLoopMonitor, startEventLoopMonitor } from "../src/event-loop-monitor.js";

describe("the monitor of the event loop", () => {
    let lifetime: AbortController;
    let lines: string[];
    let monitor: EventLoopMonitor;

    beforeEach(() => {
        lifetime = new AbortController();
        lines = [];
        const clock = () => milliseconds(performance.now());
        monitor = startEventLoopMonitor(clock, createLog({ write: line => lines.push(line) }), lifetime.signal);
    });

    afterEach(() => lifetime.abort());

    const sleep = (duration: Milliseconds) => new Promise(resolve => setTimeout(resolve, duration));

    function holdUpLoop(duration: number): void {
        const end = performance.now() + duration;
        while (performance.now() < end) {
            // Nothing else runs meanwhile.
        }
    }

    /** Holds up the loop, which then runs its expired timers and polls its sockets without ever being idle. */
    async function holdUpThenPoll(duration: number, polls: number): Promise<void> {
        const timer = sleep(milliseconds(1));
        holdUpLoop(duration);
        await timer;
        for (let poll = 0; poll < polls; poll++) {
            await new Promise(resolve => setImmediate(resolve));
        }
    }

    it("bounds how long bytes may have been unread, right after a delay and after its timer", async () => {
        await sleep(milliseconds(120));
        holdUpLoop(400);
        expect(monitor.unreadFor()).to.be.at.least(400);
        await new Promise(resolve => setTimeout(resolve, 1));
        expect(monitor.unreadFor()).to.be.at.least(400);
    });

    it("counts from the first of two delays between which nothing shows that all was read", async () => {
        await sleep(milliseconds(120));
        for (const duration of [400, 200]) {
            await holdUpThenPoll(duration, 1);
        }
        expect(monitor.unreadFor()).to.be.at.least(600);
    });

    it("counts from the first of two delays, however long the second one is", async () => {
        await sleep(milliseconds(120));
        for (const duration of [400, 1200]) {
            await holdUpThenPoll(duration, 1);
        }
        expect(monitor.unreadFor()).to.be.at.least(1600);
    });

    it("counts from a delay for as long as connections that waited are accepted", async () => {
        await sleep(milliseconds(120));
        await holdUpThenPoll(400, 1);
        for (let connection = 0; connection < 100; connection++) {
            channel("net.server.socket").publish({});
            await holdUpThenPoll(20, 1);
        }
        expect(monitor.unreadFor()).to.be.at.least(2400);
    });

    it("counts from a later time once more connections were accepted than can have waited", async () => {
        await sleep(milliseconds(120));
        await holdUpThenPoll(400, 1);
        const delayedUntil = performance.now();
        for (let connection = 0; connection < 1200; connection++) {
            channel("net.server.socket").publish({});
            await holdUpThenPoll(1.5, 1);
        }
        expect(monitor.unreadFor()).to.be.within(100, performance.now() - delayedUntil);
    });

    it("counts from the second of two delays between which all was read", async () => {
        await sleep(milliseconds(120));
        for (const duration of [400, 200]) {
            await holdUpThenPoll(duration, 10);
        }
        expect(monitor.unreadFor()).to.be.within(200, 399);
    });

    it("reports each delay once", async () => {
        await sleep(milliseconds(120));
        holdUpLoop(400);
        await sleep(milliseconds(120));
        monitor.report();
        monitor.report();
        expect(lines.filter(line => /event=eventLoop.delayed count=\d+ longest=\d+ total=\d+/.test(line)))
            .to.have.length(1);
        expect(monitor.totalDelay()).to.be.at.least(300);
    });
});

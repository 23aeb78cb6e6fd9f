/**
 * The clock for the age of state must include the time in which the machine was
 * suspended. Otherwise a box would take outdated state for fresh after a
 * suspension, since the monotonic clock stops meanwhile. The tests inject a
 * monotonic clock and a wall clock.
 */

import { type Clock, milliseconds } from "@chalkdale/kernel";
import { expect } from "chai";
import { createSuspendAwareClock } from "../src/clock.js";

describe("the suspend-aware clock [P8]", () => {
    let monotonic: number;
    let wallClock: number;
    let clock: Clock;

    beforeEach(() => {
        monotonic = 1000;
        wallClock = 1_700_000_000_000;
        clock = createSuspendAwareClock(() => milliseconds(monotonic), () => wallClock);
    });

    function advance(duration: number): void {
        monotonic += duration;
        wallClock += duration;
    }

    it("advances with the monotonic clock", () => {
        advance(700);
        expect(clock()).to.equal(1700);
    });

    it("includes the time in which the machine was suspended, however often it is read meanwhile", () => {
        const before = clock();
        advance(200);
        wallClock += 5000;
        expect(clock() - before).to.equal(5200);
        advance(100);
        wallClock += 3000;
        advance(100);
        expect(clock() - before).to.equal(8400);
    });

    it("does not count drift of the wall clock as a suspension", () => {
        const before = clock();
        for (let index = 0; index < 1000; index++) {
            advance(250);
            wallClock += 20;
            clock();
        }
        expect(clock() - before).to.equal(250_000);
    });

    it("ignores a backward step of the wall clock, and counts a suspension after it in full", () => {
        const before = clock();
        wallClock -= 60_000;
        expect(clock()).to.equal(before);
        advance(100);
        wallClock += 4000;
        expect(clock() - before).to.equal(4100);
    });

    it("counts a forward step of the wall clock as a suspension, since state may be outdated", () => {
        const before = clock();
        wallClock += 2000;
        expect(clock() - before).to.equal(2000);
    });
});

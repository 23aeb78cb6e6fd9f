/**
 * The clock for ages, by an injected pair of clocks: a machine that was suspended, and a time of day that is set.
 */

import { type Clock, milliseconds } from "@chalkdale/kernel";
import { expect } from "chai";
import { createSuspendAwareClock } from "../src/clock.js";

describe("the clock for ages [P8]", () => {
    let steady: number;
    let day: number;
    let clock: Clock;

    beforeEach(() => {
        steady = 1000;
        day = 1_700_000_000_000;
        clock = createSuspendAwareClock(() => milliseconds(steady), () => day);
    });

    function pass(duration: number): void {
        steady += duration;
        day += duration;
    }

    it("goes on as the steady one does", () => {
        pass(700);
        expect(clock()).to.equal(1700);
    });

    it("counts the time in which the machine was suspended, whenever it is read", () => {
        const before = clock();
        pass(200);
        day += 5000;
        expect(clock() - before).to.equal(5200);
        pass(100);
        day += 3000;
        pass(100);
        expect(clock() - before).to.equal(8400);
    });

    it("does not take the drift of the time of day for a suspension", () => {
        const before = clock();
        for (let index = 0; index < 1000; index++) {
            pass(250);
            day += 20;
            clock();
        }
        expect(clock() - before).to.equal(250_000);
    });

    it("never goes back, and counts no suspension that a time of day set back hides nothing of", () => {
        const before = clock();
        day -= 60_000;
        expect(clock()).to.equal(before);
        pass(100);
        day += 4000;
        expect(clock() - before).to.equal(4100);
    });

    it("takes a time of day that is set forward for a suspension: what may be old is confirmed once more", () => {
        const before = clock();
        day += 2000;
        expect(clock() - before).to.equal(2000);
    });
});

import { milliseconds } from "@chalkdale/kernel";
import { expect } from "chai";
import { createWatchPause } from "../src/index.js";

describe("pauses between watches of the store [P14]", () => {
    /** Answers of watches in a time, if a change always waits. */
    function answersWithin(duration: number, hasColdStart: boolean): readonly number[] {
        const pauseAfter = createWatchPause("servers");
        const times: number[] = [];
        for (let now = 0; now < duration; now += pauseAfter(milliseconds(now), hasColdStart)) {
            times.push(now);
        }
        return times;
    }

    it("are short after single changes, and half a second in a series", () => {
        expect(answersWithin(200, false).length).to.be.within(3, 4);
        expect(answersWithin(20_000, false).length).to.be.within(38, 44);
    });

    it("are short after a change by which a server has turned cold, also in a series", () => {
        const times = answersWithin(5000, true);
        expect(Math.max(...times.slice(1).map((time, index) => time - times[index]))).to.be.at.most(50);
    });

    it("are the same after each change of other kinds", () => {
        const pauseAfter = createWatchPause("configuration");
        expect([0, 200, 400].map(at => pauseAfter(milliseconds(at), false))).to.deep.equal([200, 200, 200]);
    });
});

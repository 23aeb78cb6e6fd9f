import { expect } from "chai";
import fc from "fast-check";
import { mayStartNext, type PipelineState, shouldPauseReading } from "../src/admit/pipelining.js";

describe("the rule on pipelined requests", () => {
    const begins = (changes: Partial<PipelineState>) =>
        mayStartNext({ inProgress: 1, isIdempotent: true, bufferedBytes: 0, isClosing: false, ...changes });

    it("begins the first of a connection whatever it is, and what may run twice behind others", () => {
        expect(begins({ inProgress: 0, isClosing: true, isIdempotent: false })).to.equal(true);
        expect(begins({})).to.equal(true);
    });

    it("begins nothing beside what must not run twice [P5]", () => {
        expect(begins({ isIdempotent: false })).to.equal(false);
    });

    it("begins nothing behind an answer that is to end the connection [P7]", () => {
        expect(begins({ isClosing: true })).to.equal(false);
    });

    it("begins no more than the bounds on requests and on ready answers allow", () => {
        expect([7, 8].map(inProgress => begins({ inProgress }))).to.deep.equal([true, false]);
        expect([262_143, 262_144].map(waitingBytes => begins({ bufferedBytes: waitingBytes }))).to.deep.equal([
            true,
            false,
        ]);
    });

    it("lets reading stop only with more read than may be in progress", () => {
        fc.assert(fc.property(fc.nat(100), count => !shouldPauseReading(count) || !begins({ inProgress: count })));
        expect(shouldPauseReading(100)).to.equal(true);
    });
});

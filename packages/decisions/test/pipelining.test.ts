import { expect } from "chai";
import fc from "fast-check";
import { mayStartNext, type PipelineState, shouldPauseReading } from "../src/admit/pipelining.js";

describe("the rule on pipelined requests", () => {
    const startsNext = (changes: Partial<PipelineState>) =>
        mayStartNext({ inProgress: 1, isIdempotent: true, bufferedBytes: 0, isClosing: false, ...changes });

    it("starts the first request of a connection in any case, and idempotent requests behind idempotent ones", () => {
        expect(startsNext({ inProgress: 0, isClosing: true, isIdempotent: false })).to.equal(true);
        expect(startsNext({})).to.equal(true);
    });

    it("starts nothing beside a non-idempotent request [P5]", () => {
        expect(startsNext({ isIdempotent: false })).to.equal(false);
    });

    it("starts nothing behind an answer that closes the connection [P7]", () => {
        expect(startsNext({ isClosing: true })).to.equal(false);
    });

    it("starts no more than the bounds on requests and on buffered answers allow", () => {
        expect([7, 8].map(inProgress => startsNext({ inProgress }))).to.deep.equal([true, false]);
        expect([262_143, 262_144].map(bufferedBytes => startsNext({ bufferedBytes }))).to.deep.equal([
            true,
            false,
        ]);
    });

    it("pauses reading only with more unanswered requests than may be in progress", () => {
        fc.assert(fc.property(fc.nat(100), count => !shouldPauseReading(count) || !startsNext({ inProgress: count })));
        expect(shouldPauseReading(100)).to.equal(true);
    });
});

import { milliseconds } from "@chalkdale/kernel";
import { expect } from "chai";
import {
    type AnswerClassInputs,
    type AttemptEnd,
    classifyAnswer,
    decideRetry,
    type RetryInputs,
} from "../src/index.js";

describe("a retry", () => {
    const inputs = (changes: Partial<RetryInputs> = {}): RetryInputs => ({
        isIdempotent: true,
        maxAttempts: 2,
        sent: 1,
        notSent: 0,
        timeLeft: milliseconds(1000),
        consumeRetry: () => true,
        ...changes,
    });
    const unsafe = (changes: Partial<RetryInputs> = {}) => inputs({ isIdempotent: false, ...changes });
    const answered = (status: number, isVerified = true): AttemptEnd => ({ kind: "answered", status, isVerified });
    const giveUp = (refusal: string) => ({ kind: "giveUp", refusal });

    describe("of a request that may not run twice [P4] [P5]", () => {
        it("is never made once a server may have run it", () => {
            expect(decideRetry({ kind: "broken" }, unsafe())).to.deep.equal(giveUp("brokenOff"));
            expect(decideRetry({ kind: "broken" }, unsafe({ timeLeft: milliseconds(0) }))).to.deep.equal(
                giveUp("brokenOff"),
            );
            for (const status of [200, 404, 500, 504]) {
                expect(decideRetry(answered(status, false), unsafe())).to.deep.equal({ kind: "finalAnswer" });
            }
        });

        it("is made when nothing was sent, or the server says that it did not run", () => {
            for (const kind of ["notRun", "notSent"] as const) {
                expect(decideRetry({ kind }, unsafe())).to.deep.equal({ kind: "tryNext" });
            }
        });
    });

    describe("of an idempotent request", () => {
        it("follows a failure of the server, a break, and a success without the server's stamp", () => {
            for (const end of [answered(500), answered(200, false), { kind: "broken" } as const]) {
                expect(decideRetry(end, inputs())).to.deep.equal({ kind: "tryNext" });
            }
            expect(decideRetry(answered(404), inputs())).to.deep.equal({ kind: "finalAnswer" });
        });

        it("stays within the route's attempts and the time that is left [P11]", () => {
            expect(decideRetry({ kind: "broken" }, inputs({ sent: 2 }))).to.deep.equal(giveUp("brokenOff"));
            expect(decideRetry({ kind: "notRun" }, inputs({ sent: 2 }))).to.deep.equal(giveUp("serversFull"));
            const late = { timeLeft: milliseconds(19) };
            expect(decideRetry({ kind: "notRun" }, inputs(late))).to.deep.equal(giveUp("timedOut"));
            expect(decideRetry({ kind: "notSent" }, inputs({ ...late, sent: 0 }))).to.deep.equal(
                giveUp("timedOutUnsent"),
            );
        });

        it("takes the budget last, and only for what reached a server [P11]", () => {
            let taken = 0;
            const takeRetry = () => {
                taken += 1;
                return false;
            };
            expect(decideRetry({ kind: "broken" }, inputs({ sent: 2, consumeRetry: takeRetry })).kind).to.equal(
                "giveUp",
            );
            expect(decideRetry({ kind: "notSent" }, inputs({ consumeRetry: takeRetry })).kind).to.equal("tryNext");
            expect(taken).to.equal(0);
            expect(decideRetry({ kind: "broken" }, inputs({ consumeRetry: takeRetry }))).to.deep.equal(
                giveUp("budgetSpent"),
            );
            expect(taken).to.equal(1);
        });

        it("ends after four servers that took no connection", () => {
            expect(decideRetry({ kind: "notSent" }, inputs({ notSent: 3 }))).to.deep.equal({ kind: "tryNext" });
            expect(decideRetry({ kind: "notSent" }, inputs({ notSent: 4 }))).to.deep.equal(giveUp("unreachable"));
        });
    });
});

describe("an answer", () => {
    const free = { running: 1, waiting: 0, slots: 4 };
    const full = { running: 4, waiting: 2, slots: 4 };
    const judge = (changes: Partial<AnswerClassInputs>) =>
        classifyAnswer({
            status: 200,
            saysNotRun: false,
            requestsBackoff: false,
            load: free,
            isCold: false,
            isOverdue: false,
            ...changes,
        });

    it("of another server at the address is none of this one", () => {
        expect(judge({ status: 421, saysNotRun: true })).to.deep.equal({ kind: "otherServer" });
    });

    it("that refuses unrun is a failure only of a warm server that tells free slots", () => {
        expect(judge({ status: 503, saysNotRun: true, load: full })).to.deep.equal({ kind: "full", isFailure: false });
        expect(judge({ status: 503, saysNotRun: true })).to.deep.equal({ kind: "full", isFailure: true });
        expect(judge({ status: 503, saysNotRun: true, isCold: true }).kind).to.equal("full");
        expect(judge({ status: 503, saysNotRun: true, isCold: true })).to.include({ isFailure: false });
        expect(judge({ status: 503, saysNotRun: true, load: undefined })).to.include({ isFailure: false });
    });

    it("that asks for back-off is no failure, also where the server has free slots or does not say that it has not run the request", () => {
        const asksBackoff = { status: 503, requestsBackoff: true };
        expect(judge({ ...asksBackoff, saysNotRun: true })).to.deep.equal({ kind: "backedOff", mayHaveRun: false });
        expect(judge(asksBackoff)).to.deep.equal({ kind: "backedOff", mayHaveRun: true });
    });

    it("is a failure from 500 on, but for 504 within the expected time", () => {
        expect(judge({})).to.deep.equal({ kind: "ran", isFailure: false, isSuccess: true });
        expect(judge({ status: 404 })).to.deep.equal({ kind: "ran", isFailure: false, isSuccess: false });
        expect(judge({ status: 500 })).to.include({ isFailure: true });
        expect(judge({ status: 504 })).to.include({ isFailure: false });
        expect(judge({ status: 504, isOverdue: true })).to.include({ isFailure: true });
    });
});

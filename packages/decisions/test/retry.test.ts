import { milliseconds } from "@chalkdale/kernel";
import { expect } from "chai";
import {
    type AnswerClassInputs,
    type AttemptEnd,
    classifyAnswer,
    decideRetry,
    type RetryInputs,
} from "../src/index.js";

describe("the retry decision", () => {
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

    describe("for a request that may not run twice [P4] [P5]", () => {
        it("forbids a retry once a server may have run it", () => {
            expect(decideRetry({ kind: "broken" }, unsafe())).to.deep.equal(giveUp("brokenOff"));
            expect(decideRetry({ kind: "broken" }, unsafe({ timeLeft: milliseconds(0) }))).to.deep.equal(
                giveUp("brokenOff"),
            );
            for (const status of [200, 404, 500, 504]) {
                expect(decideRetry(answered(status, false), unsafe())).to.deep.equal({ kind: "finalAnswer" });
            }
        });

        it("allows a retry if nothing was sent, or the server reports that it did not run the request", () => {
            for (const kind of ["notRun", "notSent"] as const) {
                expect(decideRetry({ kind }, unsafe())).to.deep.equal({ kind: "tryNext" });
            }
        });
    });

    describe("for an idempotent request", () => {
        it("allows a retry after a server failure, a broken exchange, and a success without the server's stamp", () => {
            for (const end of [answered(500), answered(200, false), { kind: "broken" } as const]) {
                expect(decideRetry(end, inputs())).to.deep.equal({ kind: "tryNext" });
            }
            expect(decideRetry(answered(404), inputs())).to.deep.equal({ kind: "finalAnswer" });
        });

        it("allows a retry after a status that guarantees without proof that the request has not run [P4]", () => {
            for (const status of [408, 421, 429, 503]) {
                expect(decideRetry(answered(status), inputs())).to.deep.equal({ kind: "tryNext" });
            }
        });

        it("stays within the route's attempts and the time left [P11]", () => {
            expect(decideRetry({ kind: "broken" }, inputs({ sent: 2 }))).to.deep.equal(giveUp("brokenOff"));
            expect(decideRetry({ kind: "notRun" }, inputs({ sent: 2 }))).to.deep.equal(giveUp("serversFull"));
            const late = { timeLeft: milliseconds(19) };
            expect(decideRetry({ kind: "notRun" }, inputs(late))).to.deep.equal(giveUp("timedOut"));
            expect(decideRetry({ kind: "notSent" }, inputs({ ...late, sent: 0 }))).to.deep.equal(
                giveUp("timedOutUnsent"),
            );
        });

        it("consumes the budget last, and only for requests that reached a server [P11]", () => {
            let consumed = 0;
            const consumeRetry = () => {
                consumed += 1;
                return false;
            };
            expect(decideRetry({ kind: "broken" }, inputs({ sent: 2, consumeRetry })).kind).to.equal(
                "giveUp",
            );
            expect(decideRetry({ kind: "notSent" }, inputs({ consumeRetry })).kind).to.equal("tryNext");
            expect(consumed).to.equal(0);
            expect(decideRetry({ kind: "broken" }, inputs({ consumeRetry }))).to.deep.equal(
                giveUp("budgetSpent"),
            );
            expect(consumed).to.equal(1);
        });

        it("gives up after four servers that accepted no connection", () => {
            expect(decideRetry({ kind: "notSent" }, inputs({ notSent: 3 }))).to.deep.equal({ kind: "tryNext" });
            expect(decideRetry({ kind: "notSent" }, inputs({ notSent: 4 }))).to.deep.equal(giveUp("unreachable"));
        });
    });
});

describe("the classification of an answer", () => {
    const free = { running: 1, waiting: 0, slots: 4 };
    const full = { running: 4, waiting: 2, slots: 4 };
    const classify = (changes: Partial<AnswerClassInputs>) =>
        classifyAnswer({
            status: 200,
            reportsNotRun: false,
            requestsBackoff: false,
            load: free,
            isCold: false,
            isOverdue: false,
            ...changes,
        });

    it("tells an answer of another server at the address from the server's own", () => {
        expect(classify({ status: 421, reportsNotRun: true })).to.deep.equal({
            kind: "otherServer",
            mayHaveRun: false,
        });
    });

    it("takes an answer of another server for \"not run\" only if it says so [P4] [P5]", () => {
        expect(classify({ status: 421 })).to.deep.equal({ kind: "otherServer", mayHaveRun: true });
    });

    it("counts a request that was not run as a failure only for a warm server that reports free slots", () => {
        expect(classify({ status: 503, reportsNotRun: true, load: full })).to.deep.equal({
            kind: "full",
            isFailure: false,
        });
        expect(classify({ status: 503, reportsNotRun: true })).to.deep.equal({ kind: "full", isFailure: true });
        expect(classify({ status: 503, reportsNotRun: true, isCold: true }).kind).to.equal("full");
        expect(classify({ status: 503, reportsNotRun: true, isCold: true })).to.include({ isFailure: false });
        expect(classify({ status: 503, reportsNotRun: true, load: undefined })).to.include({ isFailure: false });
    });

    it("counts a request for back-off as no failure, also with free slots or if the request may have run", () => {
        const requestsBackoff = { status: 503, requestsBackoff: true };
        expect(classify({ ...requestsBackoff, reportsNotRun: true })).to.deep.equal({
            kind: "backedOff",
            mayHaveRun: false,
        });
        expect(classify(requestsBackoff)).to.deep.equal({ kind: "backedOff", mayHaveRun: true });
    });

    it("counts statuses from 500 on as failures, except for 504 within the expected time", () => {
        expect(classify({})).to.deep.equal({ kind: "ran", isFailure: false, isSuccess: true });
        expect(classify({ status: 404 })).to.deep.equal({ kind: "ran", isFailure: false, isSuccess: false });
        expect(classify({ status: 500 })).to.include({ isFailure: true });
        expect(classify({ status: 504 })).to.include({ isFailure: false });
        expect(classify({ status: 504, isOverdue: true })).to.include({ isFailure: true });
    });
});

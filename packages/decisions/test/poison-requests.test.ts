/**
 * Records of suspected poison requests: how records of several boxes are merged, which
 * terminations count, that an answer clears a request, and when a trial is made.
 */

import { answerId, milliseconds, requestFingerprint, serverIncarnationId } from "@chalkdale/kernel";
import { expect } from "chai";
import * as fc from "fast-check";
import {
    createPoisonRequestRecord,
    endsSinceLastAnswer,
    mergePoisonRequestRecords,
    poisonRecordLifetime,
    type PoisonRequestRecord,
    restrictionOf,
    trialDueAt,
} from "../src/poison-requests/poison-request-record.js";
import { collectorsOf, createPoisonRequests, type PoisonRequests } from "../src/poison-requests/poison-requests.js";

const fingerprint = requestFingerprint("0011223344");
const incarnation = (index: number) => serverIncarnationId(`i-${index}@1`);
const at = (time: number) => milliseconds(time);

function recordOf(endTimes: readonly number[], answerTimes: readonly number[] = []): PoisonRequestRecord {
    const ends = endTimes.map((time, index) => ({ id: incarnation(index), at: at(time) }));
    const answers = answerTimes.map((time, index) => ({ id: answerId(`b#${index}`), at: at(time) }));
    return { ...createPoisonRequestRecord(fingerprint, at(0)), ends, answers };
}

describe("the record of a suspected poison request [P26]", () => {
    describe("its restriction", () => {
        const cases: readonly (readonly [string, readonly number[], ReturnType<typeof restrictionOf>])[] = [
            ["no termination", [], "unsuspected"],
            ["one termination", [1000], "watched"],
            ["two terminations", [1000, 1200], "oneAtATime"],
            ["three terminations", [1000, 1200, 1400], "held"],
            ["the loss of a rack of six at once", [1000, 1000, 1010, 1020, 1050, 1099], "watched"],
            ["the loss of a rack, and of another one later", [1000, 1001, 1002, 5000, 5001, 5002], "oneAtATime"],
        ];
        for (const [what, times, restriction] of cases) {
            it(`is ${restriction} after ${what}`, () => {
                expect(restrictionOf(recordOf(times))).to.equal(restriction);
            });
        }
    });

    describe("merged with another box's", () => {
        it("counts a termination once that two boxes observed", () => {
            const other = {
                ...recordOf([]),
                ends: [{ id: incarnation(0), at: at(1130) }, { id: incarnation(7), at: at(1400) }],
            };
            const merged = mergePoisonRequestRecords(recordOf([1000]), other);
            expect(merged.ends.map(end => end.at)).to.deep.equal([1000, 1400]);
            expect(restrictionOf(merged)).to.equal("oneAtATime");
        });

        it("counts no termination before an answer that another box observed", () => {
            const merged = mergePoisonRequestRecords(recordOf([1000, 1200, 1900]), recordOf([], [1500]));
            expect(endsSinceLastAnswer(merged).map(end => end.at)).to.deep.equal([1900]);
        });

        it("is unchanged when the same events are reported again with a delay", () => {
            const known = mergePoisonRequestRecords(recordOf([1000, 1200, 1900]), recordOf([], [1500]));
            const late = mergePoisonRequestRecords(known, recordOf([1600, 1700, 2400], [2000]));
            expect(late).to.deep.equal(known);
        });

        it("keeps the earliest and the latest of many terminations", () => {
            const many = Array.from({ length: 30 }, (_, index) => 1000 + index * 200);
            const merged = mergePoisonRequestRecords(recordOf(many), recordOf([]));
            expect([merged.ends.length, merged.ends[0].at, merged.ends.at(-1)?.at]).to.deep.equal([8, 1000, 6800]);
            expect(restrictionOf(merged)).to.equal("held");
        });

        const anyEvent = fc.record({ index: fc.nat(5), time: fc.nat(4000) });
        const anyRecord = fc.record({
            ends: fc.array(anyEvent, { maxLength: 4 }),
            answers: fc.array(anyEvent.filter(({ index }) => index < 3), { maxLength: 3 }),
            seenAt: fc.nat(4000),
        }).map(({ answers, ends, seenAt }): PoisonRequestRecord =>
            mergePoisonRequestRecords(recordOf([]), {
                fingerprint,
                ends: ends.map(({ index, time }) => ({ id: incarnation(index), at: at(time) })),
                answers: answers.map(({ index, time }) => ({ id: answerId(`b#${index}`), at: at(time) })),
                seenAt: at(seenAt),
            })
        );

        it("is the same in any order and any number of times", () => {
            fc.assert(
                fc.property(anyRecord, anyRecord, (first, second) => {
                    const merged = mergePoisonRequestRecords(first, second);
                    expect(mergePoisonRequestRecords(second, first)).to.deep.equal(merged);
                    expect(mergePoisonRequestRecords(merged, second)).to.deep.equal(merged);
                    expect(mergePoisonRequestRecords(merged, merged)).to.deep.equal(merged);
                }),
                { seed: 1, numRuns: 500 },
            );
        });
    });
});

describe("the suspected poison requests of a box [P26]", () => {
    const free = { isInProgress: false, makesTrials: false };
    let poisonRequests: PoisonRequests;
    const terminateAt = (...times: readonly number[]) =>
        times.forEach((time, index) =>
            poisonRequests.onServerEnded(fingerprint, serverIncarnationId(`${time}-${index}`), at(time))
        );
    const decideAt = (time: number, inputs = free) =>
        poisonRequests.decide(fingerprint, { ...inputs, at: at(time) }).kind;

    beforeEach(() => {
        poisonRequests = createPoisonRequests();
    });

    it("are sent after one termination, one at a time after two, and not at all after three", () => {
        expect(decideAt(0)).to.equal("go");
        terminateAt(1000);
        expect(decideAt(1001, { ...free, isInProgress: true })).to.equal("go");
        terminateAt(1200);
        expect([decideAt(1201), decideAt(1201, { ...free, isInProgress: true })]).to.deep.equal(["go", "wait"]);
        terminateAt(1400);
        expect(decideAt(1401)).to.equal("refuse");
    });

    it("do not restrict other requests", () => {
        terminateAt(1000, 1200, 1400);
        const other = poisonRequests.decide(requestFingerprint("aabbccddee"), { ...free, at: at(1500) });
        expect(other.kind).to.equal("go");
    });

    it("are cleared by an answer, and watched again from the next termination on", () => {
        terminateAt(1000, 1200, 1400);
        expect(poisonRequests.onAnswer(fingerprint, answerId("b#1"), at(1500))).to.include({
            before: "held",
            now: "unsuspected",
        });
        expect(decideAt(1501)).to.equal("go");
        terminateAt(2000);
        expect(poisonRequests.restriction(fingerprint)).to.equal("watched");
    });

    it("do not record an answer to an unsuspected request", () => {
        expect(poisonRequests.onAnswer(fingerprint, answerId("b#1"), at(1500))).to.equal(undefined);
        expect(poisonRequests.isEmpty()).to.equal(true);
    });

    it("are tried by one box, one at a time, at most twice while they terminate servers", () => {
        const trial = { isInProgress: false, makesTrials: true };
        terminateAt(1000, 1200, 1400);
        expect([decideAt(31_399, trial), decideAt(31_400), decideAt(31_400, { ...trial, isInProgress: true })])
            .to.deep.equal(["refuse", "refuse", "refuse"]);
        expect(decideAt(31_400, trial)).to.equal("go");
        terminateAt(31_500);
        expect([decideAt(336_499, trial), decideAt(336_500, trial)]).to.deep.equal(["refuse", "go"]);
        terminateAt(336_600);
        const last = poisonRequests.find(fingerprint)!;
        expect(trialDueAt(last) - 336_600).to.be.greaterThan(poisonRecordLifetime);
    });

    it("are removed once no caller sends them", () => {
        terminateAt(1000, 1200, 1400);
        poisonRequests.onSeen(fingerprint, at(60_000));
        poisonRequests.sweep(at(60_000 + poisonRecordLifetime));
        expect(poisonRequests.restriction(fingerprint)).to.equal("held");
        poisonRequests.sweep(at(60_001 + poisonRecordLifetime));
        expect(poisonRequests.isEmpty()).to.equal(true);
    });

    it("are bounded, and a held one stays when hundreds of others are added", () => {
        terminateAt(1000, 1200, 1400);
        for (let index = 0; index < 1000; index++) {
            poisonRequests.onServerEnded(requestFingerprint(`f-${index}`), incarnation(1), at(2000 + index));
        }
        expect(poisonRequests.records().length).to.be.at.most(256);
        expect(poisonRequests.restriction(fingerprint)).to.equal("held");
    });

    it("are collected by the same two boxes, whichever box chooses them", () => {
        const boxes = Array.from({ length: 9 }, (_, index) => ({ box: `b-${index}` }));
        const collectors = collectorsOf(fingerprint, boxes).map(({ box }) => box);
        expect(collectors).to.have.length(2);
        expect(collectorsOf(fingerprint, [...boxes].reverse()).map(({ box }) => box)).to.deep.equal(collectors);
    });
});

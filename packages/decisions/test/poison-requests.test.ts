/**
 * What is known of requests under which servers end: how records of several boxes
 * join, which ends count, what acquits, and when a trial is made.
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
const life = (index: number) => serverIncarnationId(`i-${index}@1`);
const at = (time: number) => milliseconds(time);

function recordOf(endTimes: readonly number[], answerTimes: readonly number[] = []): PoisonRequestRecord {
    const ends = endTimes.map((time, index) => ({ id: life(index), at: at(time) }));
    const answers = answerTimes.map((time, index) => ({ id: answerId(`b#${index}`), at: at(time) }));
    return { ...createPoisonRequestRecord(fingerprint, at(0)), ends, answers };
}

describe("the record of a request under which servers end [P26]", () => {
    describe("its standing", () => {
        const cases: readonly (readonly [string, readonly number[], ReturnType<typeof restrictionOf>])[] = [
            ["no end", [], "unsuspected"],
            ["one end", [1000], "watched"],
            ["two ends", [1000, 1200], "oneAtATime"],
            ["three ends", [1000, 1200, 1400], "held"],
            ["a rack of six that is lost at once", [1000, 1000, 1010, 1020, 1050, 1099], "watched"],
            ["a rack that is lost, and another one later", [1000, 1001, 1002, 5000, 5001, 5002], "oneAtATime"],
        ];
        for (const [what, times, standing] of cases) {
            it(`is ${standing} after ${what}`, () => {
                expect(restrictionOf(recordOf(times))).to.equal(standing);
            });
        }
    });

    describe("joined with another box's", () => {
        it("counts a server once that two boxes saw end", () => {
            const other = { ...recordOf([]), ends: [{ id: life(0), at: at(1130) }, { id: life(7), at: at(1400) }] };
            const joined = mergePoisonRequestRecords(recordOf([1000]), other);
            expect(joined.ends.map(end => end.at)).to.deep.equal([1000, 1400]);
            expect(restrictionOf(joined)).to.equal("oneAtATime");
        });

        it("counts nothing that ended before the request was answered elsewhere", () => {
            const joined = mergePoisonRequestRecords(recordOf([1000, 1200, 1900]), recordOf([], [1500]));
            expect(endsSinceLastAnswer(joined).map(end => end.at)).to.deep.equal([1900]);
        });

        it("counts as before however often it comes again on ways that take time", () => {
            const known = mergePoisonRequestRecords(recordOf([1000, 1200, 1900]), recordOf([], [1500]));
            const late = mergePoisonRequestRecords(known, recordOf([1600, 1700, 2400], [2000]));
            expect(late).to.deep.equal(known);
        });

        it("keeps the earliest and the latest of many ends", () => {
            const many = Array.from({ length: 30 }, (_, index) => 1000 + index * 200);
            const joined = mergePoisonRequestRecords(recordOf(many), recordOf([]));
            expect([joined.ends.length, joined.ends[0].at, joined.ends.at(-1)?.at]).to.deep.equal([8, 1000, 6800]);
            expect(restrictionOf(joined)).to.equal("held");
        });

        const anyEvent = fc.record({ index: fc.nat(5), time: fc.nat(4000) });
        const anyRecord = fc.record({
            ends: fc.array(anyEvent, { maxLength: 4 }),
            answers: fc.array(anyEvent.filter(({ index }) => index < 3), { maxLength: 3 }),
            seenAt: fc.nat(4000),
        }).map(({ answers, ends, seenAt }): PoisonRequestRecord =>
            mergePoisonRequestRecords(recordOf([]), {
                fingerprint,
                ends: ends.map(({ index, time }) => ({ id: life(index), at: at(time) })),
                answers: answers.map(({ index, time }) => ({ id: answerId(`b#${index}`), at: at(time) })),
                seenAt: at(seenAt),
            })
        );

        it("is the same in whatever order and however often", () => {
            fc.assert(
                fc.property(anyRecord, anyRecord, (first, second) => {
                    const joined = mergePoisonRequestRecords(first, second);
                    expect(mergePoisonRequestRecords(second, first)).to.deep.equal(joined);
                    expect(mergePoisonRequestRecords(joined, second)).to.deep.equal(joined);
                    expect(mergePoisonRequestRecords(joined, joined)).to.deep.equal(joined);
                }),
                { seed: 1, numRuns: 500 },
            );
        });
    });
});

describe("the requests of a box under which servers end [P26]", () => {
    const free = { isUnderWay: false, makesTrials: false };
    let deadly: PoisonRequests;
    const endAt = (...times: readonly number[]) =>
        times.forEach((time, index) =>
            deadly.onServerEnded(fingerprint, serverIncarnationId(`${time}-${index}`), at(time))
        );
    const decideAt = (time: number, inputs = free) => deadly.decide(fingerprint, { ...inputs, at: at(time) }).kind;

    beforeEach(() => {
        deadly = createPoisonRequests();
    });

    it("go on after one end, one at a time after two, and not at all after three", () => {
        expect(decideAt(0)).to.equal("go");
        endAt(1000);
        expect(decideAt(1001, { ...free, isUnderWay: true })).to.equal("go");
        endAt(1200);
        expect([decideAt(1201), decideAt(1201, { ...free, isUnderWay: true })]).to.deep.equal(["go", "wait"]);
        endAt(1400);
        expect(decideAt(1401)).to.equal("refuse");
    });

    it("leave others alone", () => {
        endAt(1000, 1200, 1400);
        const other = deadly.decide(requestFingerprint("aabbccddee"), { ...free, at: at(1500) });
        expect(other.kind).to.equal("go");
    });

    it("are acquitted by an answer, and watched anew from the next end on", () => {
        endAt(1000, 1200, 1400);
        expect(deadly.onAnswer(fingerprint, answerId("b#1"), at(1500))).to.include({
            before: "held",
            now: "unsuspected",
        });
        expect(decideAt(1501)).to.equal("go");
        endAt(2000);
        expect(deadly.restriction(fingerprint)).to.equal("watched");
    });

    it("know nothing of an answer to a request that nothing spoke against", () => {
        expect(deadly.onAnswer(fingerprint, answerId("b#1"), at(1500))).to.equal(undefined);
        expect(deadly.isEmpty()).to.equal(true);
    });

    it("are tried by one box, one at a time, twice at most while they end servers", () => {
        const trial = { isUnderWay: false, makesTrials: true };
        endAt(1000, 1200, 1400);
        expect([decideAt(31_399, trial), decideAt(31_400), decideAt(31_400, { ...trial, isUnderWay: true })])
            .to.deep.equal(["refuse", "refuse", "refuse"]);
        expect(decideAt(31_400, trial)).to.equal("go");
        endAt(31_500);
        expect([decideAt(336_499, trial), decideAt(336_500, trial)]).to.deep.equal(["refuse", "go"]);
        endAt(336_600);
        const last = deadly.find(fingerprint)!;
        expect(trialDueAt(last) - 336_600).to.be.greaterThan(poisonRecordLifetime);
    });

    it("are forgotten once nobody sends them", () => {
        endAt(1000, 1200, 1400);
        deadly.onSeen(fingerprint, at(60_000));
        deadly.sweep(at(60_000 + poisonRecordLifetime));
        expect(deadly.restriction(fingerprint)).to.equal("held");
        deadly.sweep(at(60_001 + poisonRecordLifetime));
        expect(deadly.isEmpty()).to.equal(true);
    });

    it("are bounded: what is held stays when hundreds of others come", () => {
        endAt(1000, 1200, 1400);
        for (let index = 0; index < 1000; index++) {
            deadly.onServerEnded(requestFingerprint(`f-${index}`), life(1), at(2000 + index));
        }
        expect(deadly.records().length).to.be.at.most(256);
        expect(deadly.restriction(fingerprint)).to.equal("held");
    });

    it("are collected by the same two boxes, whoever asks", () => {
        const boxes = Array.from({ length: 9 }, (_, index) => ({ box: `b-${index}` }));
        const collectors = collectorsOf(fingerprint, boxes).map(({ box }) => box);
        expect(collectors).to.have.length(2);
        expect(collectorsOf(fingerprint, [...boxes].reverse()).map(({ box }) => box)).to.deep.equal(collectors);
    });
});

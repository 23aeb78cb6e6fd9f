/**
 * The parts that boxes have of a named limit, while boxes come and go and the others learn of it at different times.
 */

import {
    backendServerId,
    type BoxId,
    boxId,
    createSeededRandom,
    type Milliseconds,
    milliseconds,
} from "@chalkdale/kernel";
import { expect } from "chai";
import { createLimitShare, type SharedRate } from "../src/index.js";

/** Milliseconds of a step, and of the whole play. */
const step = 20;
const length = 30_000;
/** Milliseconds after which every box knows of another one that it comes or goes. */
const longestLag = 3900;
/** Milliseconds between two changes of the members. */
const changeInterval = 5000;
/** Milliseconds of the span that servers count, the part of the rate and the requests that they bear in it. */
const span = 4000;
const borne = (rate: number) => 1.5 * rate * (span / 1000) + 5;

interface EmulatedBox {
    readonly id: BoxId;
    readonly share: SharedRate;
    boxes: readonly BoxId[];
    /** Set while a change of the members is on its way to this box. */
    learnsAt: number;
}

describe("the parts of a limit that boxes have [P27]", () => {
    const server = backendServerId("s-1");
    /** When all boxes heard of the limit last. */
    let heardAt: Milliseconds;

    beforeEach(() => {
        heardAt = milliseconds(0);
    });

    function createBox(id: BoxId, boxes: readonly BoxId[], rate: number): EmulatedBox {
        const box: EmulatedBox = {
            id,
            boxes,
            learnsAt: Infinity,
            share: createLimitShare(
                { self: id, server, boxes: () => box.boxes, advertisedBoxIds: () => box.boxes },
                () => ({ rate, updatedAt: heardAt }),
            ),
        };
        return box;
    }

    /** Every box would send in each step. Returns when requests came to the server. */
    function play(count: number, rate: number, changes: boolean): number[] {
        const random = createSeededRandom(count * 31 + Math.ceil(rate * 100));
        let members = Array.from({ length: count }, (_, index) => boxId(`box-${index}`));
        let running = members.map(id => createBox(id, members, rate));
        const sent: number[] = [];
        heardAt = milliseconds(0);
        for (let time = 0; time < length; time += step) {
            if (changes && time > 0 && time % changeInterval === 0) {
                const leaving = running[Math.floor(random() * running.length)];
                const joining = boxId(`box-${count + time}`);
                members = [...members.filter(id => id !== leaving.id), joining];
                running = [...running.filter(box => box !== leaving), createBox(joining, members, rate)];
                running.forEach(box => {
                    box.learnsAt = time + random() * longestLag;
                });
            }
            for (const box of running) {
                if (time >= box.learnsAt) {
                    box.boxes = members;
                    box.learnsAt = Infinity;
                }
                const at = milliseconds(time);
                if (box.share.allows(at)) {
                    box.share.onSent(at);
                    sent.push(time);
                    heardAt = at;
                }
            }
        }
        return sent;
    }

    function mostInSpan(sent: readonly number[]): number {
        let first = 0;
        let most = 0;
        sent.forEach((time, index) => {
            while (sent[first] <= time - span) {
                first += 1;
            }
            most = Math.max(most, index - first + 1);
        });
        return most;
    }

    for (const count of [3, 9, 67, 195, 740]) {
        it(`stay within it and use it: ${count} boxes near the server`, () => {
            for (const rate of [0, 0.05, 0.4, 1.3, 1.7, 12, 100, 1000]) {
                const sent = play(count, rate, false);
                expect(mostInSpan(sent), `rate ${rate}`).to.be.at.most(borne(rate));
                const used = sent.length / (length / 1000);
                const usable = Math.min(rate, count * 1000 / step);
                expect(used, `rate ${rate}`).to.be.at.least(usable >= 1 ? 0.8 * usable : 0.1);
            }
        });

        it(`stay within it while boxes come and go: ${count} boxes near the server`, () => {
            for (const rate of [0, 0.05, 0.4, 1.3, 1.7, 12, 100, 1000]) {
                expect(mostInSpan(play(count, rate, true)), `rate ${rate}`).to.be.at.most(borne(rate));
            }
        });
    }

    it("are asked for by others, one after the other, while no holder sends anything", () => {
        const near = ["near-0", "near-1"].map(boxId);
        const all = [...near, ...Array.from({ length: 60 }, (_, index) => boxId(`far-${index}`))];
        for (const rate of [0, 0.4, 12]) {
            heardAt = milliseconds(0);
            const far = all.slice(2).map(self =>
                createLimitShare(
                    { self, server, boxes: () => near, advertisedBoxIds: () => all },
                    () => ({ rate, updatedAt: heardAt }),
                )
            );
            const asked: number[] = [];
            const heard: number[] = [];
            for (let time = 0; time < 120_000; time += step) {
                const at = milliseconds(time);
                if (heard[0] <= time) {
                    heardAt = milliseconds(heard.shift()!);
                }
                for (const share of far.filter(share => share.allows(at))) {
                    share.onSent(at);
                    asked.push(time);
                    heard.push(time + 500);
                }
            }
            expect(asked.length, `rate ${rate}`).to.be.within(6, 20);
            expect(mostInSpan(asked), `rate ${rate}`).to.be.at.most(2);
        }
    });

    it("stay one in each turn while the server answers nobody", () => {
        const all = Array.from({ length: 60 }, (_, index) => boxId(`far-${index}`));
        const far = all.map(self =>
            createLimitShare(
                { self, server, boxes: () => [], advertisedBoxIds: () => all },
                () => ({ rate: 1, updatedAt: heardAt }),
            )
        );
        const asked: number[] = [];
        for (let time = 0; time < 120_000; time += step) {
            const at = milliseconds(time);
            for (const share of far.filter(other => other.allows(at))) {
                share.onSent(at);
                asked.push(time);
            }
        }
        expect(asked.length).to.be.within(20, 90);
        expect(mostInSpan(asked)).to.be.at.most(5);
    });

    it("go back to the box when a request was not sent after all", () => {
        const { share } = createBox(boxId("box-0"), [boxId("box-0")], 1);
        const at = milliseconds(10_000);
        share.allows(milliseconds(0));
        expect(share.allows(at)).to.equal(true);
        share.onSent(at);
        expect(share.allows(at)).to.equal(false);
        share.onNotSent();
        expect(share.allows(at)).to.equal(true);
    });
});

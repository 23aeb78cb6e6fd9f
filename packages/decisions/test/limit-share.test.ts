/**
 * Shares of a server's rate limit, while boxes join and leave and the others learn of it at different times.
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

/** Milliseconds of a simulation step. */
const step = 20;
/** Milliseconds of the whole simulation. */
const length = 30_000;
/** Longest time in milliseconds until every box knows that another one has joined or left. */
const maxLag = 3900;
/** Milliseconds between two changes of the membership. */
const changeInterval = 5000;
/** Milliseconds of the span in which servers count requests. */
const span = 4000;
/** Requests that servers tolerate in a span: one and a half times the rate, and 5 more. */
const tolerated = (rate: number) => 1.5 * rate * (span / 1000) + 5;

interface EmulatedBox {
    readonly id: BoxId;
    readonly share: SharedRate;
    boxes: readonly BoxId[];
    /** When a pending change of the membership reaches this box; infinite if there is none. */
    learnsAt: number;
}

describe("shares of a rate limit [P27]", () => {
    const server = backendServerId("s-1");
    /** Time of the latest update of the limit, at all boxes. */
    let updatedAt: Milliseconds;

    beforeEach(() => {
        updatedAt = milliseconds(0);
    });

    function createBox(id: BoxId, boxes: readonly BoxId[], rate: number): EmulatedBox {
        const box: EmulatedBox = {
            id,
            boxes,
            learnsAt: Infinity,
            share: createLimitShare(
                { self: id, server, boxes: () => box.boxes, advertisedBoxIds: () => box.boxes },
                () => ({ rate, updatedAt }),
            ),
        };
        return box;
    }

    /** Runs boxes that send whenever they may; returns the times of the requests at the server. */
    function simulate(count: number, rate: number, changes: boolean): number[] {
        const random = createSeededRandom(count * 31 + Math.ceil(rate * 100));
        let members = Array.from({ length: count }, (_, index) => boxId(`box-${index}`));
        let running = members.map(id => createBox(id, members, rate));
        const sent: number[] = [];
        updatedAt = milliseconds(0);
        for (let time = 0; time < length; time += step) {
            if (changes && time > 0 && time % changeInterval === 0) {
                const leaving = running[Math.floor(random() * running.length)];
                const joining = boxId(`box-${count + time}`);
                members = [...members.filter(id => id !== leaving.id), joining];
                running = [...running.filter(box => box !== leaving), createBox(joining, members, rate)];
                running.forEach(box => {
                    box.learnsAt = time + random() * maxLag;
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
                    updatedAt = at;
                }
            }
        }
        return sent;
    }

    function maxInSpan(sent: readonly number[]): number {
        let first = 0;
        let max = 0;
        sent.forEach((time, index) => {
            while (sent[first] <= time - span) {
                first += 1;
            }
            max = Math.max(max, index - first + 1);
        });
        return max;
    }

    for (const count of [3, 9, 67, 195, 740]) {
        it(`stay within the limit and use it: ${count} boxes near the server`, () => {
            for (const rate of [0, 0.05, 0.4, 1.3, 1.7, 12, 100, 1000]) {
                const sent = simulate(count, rate, false);
                expect(maxInSpan(sent), `rate ${rate}`).to.be.at.most(tolerated(rate));
                const usedRate = sent.length / (length / 1000);
                const usableRate = Math.min(rate, count * 1000 / step);
                expect(usedRate, `rate ${rate}`).to.be.at.least(usableRate >= 1 ? 0.8 * usableRate : 0.1);
            }
        });

        it(`stay within the limit while boxes join and leave: ${count} boxes near the server`, () => {
            for (const rate of [0, 0.05, 0.4, 1.3, 1.7, 12, 100, 1000]) {
                expect(maxInSpan(simulate(count, rate, true)), `rate ${rate}`).to.be.at.most(tolerated(rate));
            }
        });
    }

    it("are probed by other boxes in turn while no holder sends a request", () => {
        const near = ["near-0", "near-1"].map(boxId);
        const all = [...near, ...Array.from({ length: 60 }, (_, index) => boxId(`far-${index}`))];
        for (const rate of [0, 0.4, 12]) {
            updatedAt = milliseconds(0);
            const far = all.slice(2).map(self =>
                createLimitShare(
                    { self, server, boxes: () => near, advertisedBoxIds: () => all },
                    () => ({ rate, updatedAt }),
                )
            );
            const probes: number[] = [];
            const pendingUpdates: number[] = [];
            for (let time = 0; time < 120_000; time += step) {
                const at = milliseconds(time);
                if (pendingUpdates[0] <= time) {
                    updatedAt = milliseconds(pendingUpdates.shift()!);
                }
                for (const share of far.filter(share => share.allows(at))) {
                    share.onSent(at);
                    probes.push(time);
                    pendingUpdates.push(time + 500);
                }
            }
            expect(probes.length, `rate ${rate}`).to.be.within(6, 20);
            expect(maxInSpan(probes), `rate ${rate}`).to.be.at.most(2);
        }
    });

    it("allow one probe per turn while the server answers no box", () => {
        const all = Array.from({ length: 60 }, (_, index) => boxId(`far-${index}`));
        const far = all.map(self =>
            createLimitShare(
                { self, server, boxes: () => [], advertisedBoxIds: () => all },
                () => ({ rate: 1, updatedAt }),
            )
        );
        const probes: number[] = [];
        for (let time = 0; time < 120_000; time += step) {
            const at = milliseconds(time);
            for (const share of far.filter(other => other.allows(at))) {
                share.onSent(at);
                probes.push(time);
            }
        }
        expect(probes.length).to.be.within(20, 90);
        expect(maxInSpan(probes)).to.be.at.most(5);
    });

    it("are refunded when a request is not sent after all", () => {
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

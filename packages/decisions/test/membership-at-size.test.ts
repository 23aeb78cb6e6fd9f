import { createSeededRandom } from "@chalkdale/kernel";
import { expect } from "chai";
import { createEmulatedMembers } from "./emulated-members.js";

/** Rounds in which all of a fleet must know of a loss: 6 s, the shortest time after which the directory may not name a lost box. */
const mostRoundsUntilKnown = 20;

describe("membership by the size of the fleet [P19]", () => {
    for (const count of [9, 80, 195]) {
        describe(`of ${count} boxes, when one message in fifty is lost`, () => {
            const create = () => createEmulatedMembers({ count, loss: 0.02, random: createSeededRandom(count) });

            it("takes no running box as failed", () => {
                const members = create();
                for (let round = 0; round < 60; round++) {
                    members.runRound();
                    expect(members.falselyFailed(), `pairs in round ${round}`).to.equal(0);
                }
            });

            it("sends the same few messages a box in each round", () => {
                const members = create();
                for (let round = 0; round < 20; round++) {
                    members.runRound();
                }
                expect(members.messagesSent() / 20 / count).to.be.lessThan(4.5);
            });

            it("learns everywhere of one lost box, then of half of all, and of their return", () => {
                const members = create();
                const half = Math.floor(count / 2);
                const run = (rounds: number) => Array.from({ length: rounds }).forEach(members.runRound);
                run(10);
                members.stop(half);
                run(mostRoundsUntilKnown);
                expect(members.falselyAlive(), "after the loss of one").to.equal(0);
                for (let index = 0; index < half; index++) {
                    members.stop(index);
                }
                run(mostRoundsUntilKnown);
                expect(members.falselyNamed(), "named after the loss of half").to.equal(0);
                const pairs = members.runningCount() * (count - members.runningCount());
                expect(members.falselyAlive() / pairs, "part not known after the loss of half").to.be.lessThan(0.03);
                expect(members.falselyFailed() / pairs, "part of those that run taken as failed").to.be.lessThan(0.001);
                for (let index = 0; index <= half; index++) {
                    members.start(index);
                }
                run(mostRoundsUntilKnown);
                const all = count * (count - 1);
                expect(members.falselyFailed() / all, "part of all taken as failed after the return").to.be.lessThan(
                    0.001,
                );
            });
        });
    }
});

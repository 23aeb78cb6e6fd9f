import { createSeededRandom } from "@chalkdale/kernel";
import { expect } from "chai";
import { createEmulatedMembers } from "./emulated-members.js";

/**
 * Rounds in which a whole fleet must detect a loss: 6 s, the shortest time after which the directory must not return a
 * lost box.
 */
const maxRoundsUntilDetected = 20;

describe("membership in fleets of different sizes [P19]", () => {
    for (const count of [9, 80, 195]) {
        describe(`of ${count} boxes, while one message in fifty is lost`, () => {
            const create = () => createEmulatedMembers({ count, loss: 0.02, random: createSeededRandom(count) });

            it("regards no running box as failed", () => {
                const members = create();
                for (let round = 0; round < 60; round++) {
                    members.runRound();
                    expect(members.falselyFailed(), `pairs in round ${round}`).to.equal(0);
                }
            });

            it("sends few messages per box in each round, whatever the size", () => {
                const members = create();
                for (let round = 0; round < 20; round++) {
                    members.runRound();
                }
                expect(members.messagesSent() / 20 / count).to.be.lessThan(4.5);
            });

            it("detects everywhere the loss of one box, then of half of all, and their return", () => {
                const members = create();
                const half = Math.floor(count / 2);
                const run = (rounds: number) => Array.from({ length: rounds }).forEach(members.runRound);
                run(10);
                members.stop(half);
                run(maxRoundsUntilDetected);
                expect(members.falselyAlive(), "after the loss of one").to.equal(0);
                for (let index = 0; index < half; index++) {
                    members.stop(index);
                }
                run(maxRoundsUntilDetected);
                expect(members.falselyAdvertised(), "advertised after the loss of half").to.equal(0);
                const pairs = members.runningCount() * (count - members.runningCount());
                expect(members.falselyAlive() / pairs, "fraction not detected after the loss of half").to.be.lessThan(
                    0.03,
                );
                expect(members.falselyFailed() / pairs, "fraction of the running boxes regarded as failed").to.be
                    .lessThan(0.001);
                for (let index = 0; index <= half; index++) {
                    members.start(index);
                }
                run(maxRoundsUntilDetected);
                const all = count * (count - 1);
                expect(members.falselyFailed() / all, "fraction of all regarded as failed after the return").to.be
                    .lessThan(
                        0.001,
                    );
            });
        });
    }
});

import { milliseconds } from "@chalkdale/kernel";
import { expect } from "chai";
import { decideHedge, type HedgeInputs } from "../src/index.js";
import { createRecord, createSetup } from "./choice-setup.js";

describe("hedge decision", () => {
    const setup = createSetup([createRecord("s-1"), createRecord("s-2")]);
    const decide = (changes: Partial<HedgeInputs> = {}) =>
        decideHedge({
            isIdempotent: true,
            maxAttempts: 2,
            sent: 1,
            timeLeft: milliseconds(1000),
            loadPerSlot: 0.5,
            chooseSecond: () => setup.choose(setup.request()),
            consumeRetry: () => true,
            ...changes,
        });

    it("chooses a second server for an overdue request", () => {
        expect(decide()?.kind).to.equal("chosen");
    });

    describe("chooses none", () => {
        const cases: readonly (readonly [string, Partial<HedgeInputs>])[] = [
            ["if the request may not run twice", { isIdempotent: false }],
            ["if the route allows no further attempt", { maxAttempts: 1 }],
            ["while the service has no free slots", { loadPerSlot: 1 }],
            ["if no other server may get the request", { chooseSecond: () => ({ kind: "noServer" }) }],
            ["if the second server could not answer in time", { timeLeft: milliseconds(5) }],
            ["if the retry budget is spent", { consumeRetry: () => false }],
        ];
        for (const [name, changes] of cases) {
            it(name, () => expect(decide(changes)).to.equal(undefined));
        }

        it("if the request would wait for a slot there", () => {
            const busy = createSetup([createRecord("s-1")]);
            Array.from({ length: 4 }, () => busy.catalog.get(createRecord("s-1").id)?.state.onSent());
            expect(decide({ chooseSecond: () => busy.choose(busy.request()) })).to.equal(undefined);
        });
    });

    it("consumes no retry if there is no second server", () => {
        let consumed = 0;
        decide({
            chooseSecond: () => ({ kind: "noServer" }),
            consumeRetry: () => {
                consumed += 1;
                return true;
            },
        });
        expect(consumed).to.equal(0);
    });
});

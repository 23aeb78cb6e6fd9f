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

    it("gives an overdue request a second server", () => {
        expect(decide()?.kind).to.equal("chosen");
    });

    describe("gives it none", () => {
        const cases: readonly (readonly [string, Partial<HedgeInputs>])[] = [
            ["if it may not run twice", { isIdempotent: false }],
            ["if the route allows no more servers", { maxAttempts: 1 }],
            ["while slots are short", { loadPerSlot: 1 }],
            ["if no server may take it", { chooseSecond: () => ({ kind: "noServer" }) }],
            ["if the second could not answer in time", { timeLeft: milliseconds(5) }],
            ["if the budget is spent", { consumeRetry: () => false }],
        ];
        for (const [name, changes] of cases) {
            it(name, () => expect(decide(changes)).to.equal(undefined));
        }

        it("if it would wait for a slot there", () => {
            const busy = createSetup([createRecord("s-1")]);
            Array.from({ length: 4 }, () => busy.catalog.get(createRecord("s-1").id)?.state.onSent());
            expect(decide({ chooseSecond: () => busy.choose(busy.request()) })).to.equal(undefined);
        });
    });

    it("spends nothing of the budget where there is no second server", () => {
        let taken = 0;
        decide({
            chooseSecond: () => ({ kind: "noServer" }),
            consumeRetry: () => {
                taken += 1;
                return true;
            },
        });
        expect(taken).to.equal(0);
    });
});

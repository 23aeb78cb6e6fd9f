/**
 * Two attempts at once, with outcomes that the test gives.
 */

import type { ChosenServer } from "@chalkdale/decisions";
import { expect } from "chai";
import type { AttemptOutcome } from "../src/requests/attempt-request.js";
import { attemptHedged } from "../src/requests/hedged-attempt.js";

describe("an attempt that is overdue", () => {
    it("ends if the choice of a second one throws, and the fault is passed on", async () => {
        const choice = { expectedAtNormalSpeed: 0 } as ChosenServer;
        let first: AbortSignal | undefined;
        const fault = new Error("no choice");
        const attempted = attemptHedged(choice, new AbortController().signal, {
            attemptOnce(_choice, signal) {
                first = signal;
                return new Promise<AttemptOutcome>(() => undefined);
            },
            secondChoice() {
                throw fault;
            },
            isFinal: () => true,
            onFirstFailure: () => undefined,
        });
        expect(await attempted.catch((error: unknown) => error)).to.equal(fault);
        expect(first?.aborted).to.equal(true);
    });
});

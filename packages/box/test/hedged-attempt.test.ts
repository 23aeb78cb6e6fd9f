/**
 * A hedged attempt whose attempts and choice of the second server are test doubles.
 */

import type { ChosenServer } from "@chalkdale/decisions";
import { expect } from "chai";
import type { AttemptOutcome } from "../src/requests/attempt-request.js";
import { attemptHedged } from "../src/requests/hedged-attempt.js";

describe("an overdue attempt", () => {
    it("is cancelled if the choice of a second server throws, and the error is passed on", async () => {
        const choice = { expectedAtNormalSpeed: 0 } as ChosenServer;
        let first: AbortSignal | undefined;
        const error = new Error("no choice");
        const attempted = attemptHedged(choice, new AbortController().signal, {
            attemptOnce(_choice, signal) {
                first = signal;
                return new Promise<AttemptOutcome>(() => undefined);
            },
            confirmCaller: () => Promise.resolve(true),
            chooseSecond() {
                throw error;
            },
            isFinal: () => true,
            onFirstFailure: () => undefined,
        });
        expect(await attempted.catch((reason: unknown) => reason)).to.equal(error);
        expect(first?.aborted).to.equal(true);
    });
});

import { createManualClock, type Router } from "@chalkdale/core";
import { silentLog } from "@chalkdale/runtime";
import { expect } from "chai";
import { drainBox } from "../src/index.js";

describe("a planned stop [P7]", () => {
    let owner: AbortController;
    beforeEach(() => {
        owner = new AbortController();
    });
    afterEach(() => owner.abort());

    /** Drains a box with requests in flight; the clock moves by hand. */
    function startDrain(requests: number, lifetime: number) {
        const clock = createManualClock();
        const state = { inFlight: requests, left: false, announced: false, ended: false };
        const services = new Map([["search", { values: { answerLifetime: lifetime } }]]);
        const router = {
            leave: () => {
                state.left = true;
            },
            inFlight: () => state.inFlight,
            settings: () => ({ services }),
        } as unknown as Router;
        const announce = async () => {
            state.announced = true;
        };
        const drained = drainBox({ router, clock: clock.now, log: silentLog, announce, signal: owner.signal }).then(
            () => {
                state.ended = true;
            },
        );
        return { clock, state, drained };
    }

    const turn = () => new Promise(resolve => setTimeout(resolve, 120));

    it("refuses new work and tells others before it waits", () => {
        const { state } = startDrain(1, 0);
        expect(state.left).to.equal(true);
        expect(state.announced).to.equal(true);
    });

    it("waits for the last request in flight, an hour if need be", async () => {
        const { clock, state, drained } = startDrain(1, 2);
        clock.advance(3_600_000);
        await turn();
        expect(state.ended).to.equal(false);
        state.inFlight = 0;
        await drained;
    });

    it("waits until no caller can hold an answer that names the box", async () => {
        const { clock, state, drained } = startDrain(0, 2);
        clock.advance(1900);
        await turn();
        expect(state.ended).to.equal(false);
        clock.advance(200);
        await drained;
    });
});

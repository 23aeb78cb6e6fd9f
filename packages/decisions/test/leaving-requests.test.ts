/**
 * Guards against requests that a box takes while it shuts down and cuts without an answer when it exits: it admitted
 * them for a fixed part of its grace, whatever they needed.
 */

import { milliseconds } from "@chalkdale/kernel";
import { expect } from "chai";
import fc from "fast-check";
import { createShutdownSchedule, type LeavingRequestInputs, mayBeSentWhileLeaving } from "../src/index.js";

const maySend = (changes: Partial<LeavingRequestInputs>) =>
    mayBeSentWhileLeaving({
        phase: "leaving",
        timeToAnswer: milliseconds(1000),
        timeLimit: milliseconds(3000),
        expectedWork: milliseconds(400),
        mayHaveRun: false,
        ...changes,
    });

describe("requests of a box that shuts down [P7]", () => {
    it("are sent as ever while it runs", () => {
        expect(maySend({ phase: "running", expectedWork: milliseconds(9000) })).to.equal(true);
    });

    it("are sent while callers still have its address, if they are expected to end in time", () => {
        expect(maySend({})).to.equal(true);
        expect(maySend({ expectedWork: milliseconds(1001) })).to.equal(false);
    });

    it("are refused later, unless they end in time whatever the server does", () => {
        expect(maySend({ phase: "closing" })).to.equal(false);
        expect(maySend({ phase: "closing", timeLimit: milliseconds(1000) })).to.equal(true);
    });

    it("are sent once more later if they may have run, since a refusal could not say that they have not", () => {
        expect(maySend({ phase: "closing", mayHaveRun: true })).to.equal(true);
        expect(maySend({ phase: "closing", mayHaveRun: true, expectedWork: milliseconds(1001) })).to.equal(false);
    });

    it("are refused once the box has nothing in progress, since it exits without looking again", () => {
        expect(maySend({ phase: "drained", timeLimit: milliseconds(1), expectedWork: milliseconds(0) })).to.equal(
            false,
        );
    });

    it("end before the box exits, if they are sent for the first time after other boxes name it no more", () => {
        fc.assert(fc.property(
            fc.integer({ min: 500, max: 60_000 }),
            fc.integer({ min: 100, max: 5000 }),
            fc.double({ min: 0, max: 1, noNaN: true }),
            fc.integer({ min: 1, max: 60_000 }),
            fc.integer({ min: 0, max: 60_000 }),
            (grace, lifetime, part, limit, work) => {
                const schedule = createShutdownSchedule({
                    gracePeriod: milliseconds(grace),
                    lookupLifetime: milliseconds(lifetime),
                });
                const elapsed = milliseconds(schedule.leavingFor + part * (grace - schedule.leavingFor));
                const isSent = maySend({
                    phase: "closing",
                    timeToAnswer: schedule.timeToAnswer(elapsed),
                    timeLimit: milliseconds(limit),
                    expectedWork: milliseconds(work),
                });
                const inFlight = 1;
                return !isSent || !schedule.isDrainOver(milliseconds(elapsed + limit - 1), inFlight);
            },
        ));
    });
});

import { milliseconds } from "@chalkdale/kernel";
import { expect } from "chai";
import {
    connectTimeoutOfRequest,
    createShutdownSchedule,
    idleTimeoutAfterAnswer,
    jitteredBackoff,
    maxIdleTimeBefore,
    nextBackoff,
    overdueThreshold,
    requestTimeout,
    snapshotDelay,
} from "../src/index.js";

describe("timeouts", () => {
    it("are the shorter one of those that a request's caller and its route set [P13]", () => {
        const timeout = milliseconds(1500);
        expect(requestTimeout(900, timeout)).to.equal(900);
        expect(requestTimeout(9000, timeout)).to.equal(1500);
        for (const none of [Number.NaN, 0, -5]) {
            expect(requestTimeout(none, timeout)).to.equal(1500);
        }
    });

    it("leave time for a second server if a connection is not established", () => {
        expect(connectTimeoutOfRequest(milliseconds(10), milliseconds(2000))).to.equal(270);
        expect(connectTimeoutOfRequest(milliseconds(10), milliseconds(100))).to.equal(40);
    });

    it("treat no request as overdue before the minimum threshold", () => {
        expect(overdueThreshold(milliseconds(10))).to.equal(400);
        expect(overdueThreshold(milliseconds(300))).to.equal(900);
    });

    it("are shorter for idle connections before non-idempotent requests [P5]", () => {
        expect(maxIdleTimeBefore(false)).to.be.lessThan(maxIdleTimeBefore(true));
        expect(idleTimeoutAfterAnswer(milliseconds(2000))).to.equal(1000);
        expect(idleTimeoutAfterAnswer(undefined)).to.be.at.most(maxIdleTimeBefore(true));
    });
});

describe("the schedule of a graceful shutdown [P7]", () => {
    const lookupLifetime = milliseconds(2000);
    const schedule = createShutdownSchedule({ gracePeriod: milliseconds(6000), lookupLifetime });

    it("admits new requests at first, then waits for those in flight, and ends before the process is killed", () => {
        expect(schedule.leavingFor).to.equal(2400);
        expect(schedule.isDrainOver(milliseconds(2400), 1)).to.equal(false);
        expect(schedule.isDrainOver(milliseconds(2400), 0)).to.equal(true);
        expect(schedule.isDrainOver(milliseconds(5700), 1)).to.equal(true);
    });

    // Guards against requests that are admitted for a part of a long grace and cut at its end.
    it("admits any request only as long as callers may use the addresses of a look-up [P7]", () => {
        const long = createShutdownSchedule({ gracePeriod: milliseconds(60_000), lookupLifetime });
        expect(long.leavingFor).to.equal(2500);
    });

    it("ends the time for answers before the box stops waiting for them", () => {
        expect(schedule.timeToAnswer(milliseconds(0))).to.equal(5400);
        expect(schedule.timeToAnswer(milliseconds(5500))).to.equal(0);
        expect(schedule.isDrainOver(milliseconds(5400), 1)).to.equal(false);
    });

    it("lets callers read the last answer as far as the grace period allows", () => {
        expect(schedule.lingerFor(milliseconds(2400))).to.equal(600);
        expect(schedule.lingerFor(milliseconds(5500))).to.be.closeTo(200, 1e-6);
        expect(schedule.lingerFor(milliseconds(5900))).to.equal(0);
    });
});

describe("the refresh of a replica [P8]", () => {
    const inputs = {
        hasCopy: true,
        alwaysFollowsStore: false,
        isStoreUnavailable: false,
        isStale: false,
        isSameRegion: true,
    };

    it("does not delay the first snapshot [P17]", () => {
        expect(snapshotDelay({ ...inputs, hasCopy: false })).to.equal(0);
    });

    it("delays snapshots to let ordinary propagation finish first, least where propagation is fastest", () => {
        const relay = snapshotDelay(inputs);
        const watch = snapshotDelay({ ...inputs, alwaysFollowsStore: true });
        const otherRegion = snapshotDelay({ ...inputs, isSameRegion: false });
        expect(relay).to.be.lessThan(watch);
        expect(watch).to.be.lessThan(otherRegion);
        expect(snapshotDelay({ ...inputs, isSameRegion: false, isStoreUnavailable: true })).to.equal(watch);
        expect(snapshotDelay({ ...inputs, isSameRegion: false, isStale: true })).to.equal(relay);
        expect(snapshotDelay({ ...inputs, alwaysFollowsStore: true, isStoreUnavailable: true })).to.equal(relay);
    });

    it("doubles the back-off after failed calls up to a maximum, and adds jitter", () => {
        expect(nextBackoff(milliseconds(150), true)).to.equal(300);
        expect(nextBackoff(milliseconds(1000), true)).to.equal(1200);
        expect(nextBackoff(milliseconds(2000), false)).to.equal(2500);
        expect(jitteredBackoff(milliseconds(1000), 0)).to.equal(700);
        expect(jitteredBackoff(milliseconds(1000), 1)).to.be.closeTo(1300, 1e-6);
    });
});

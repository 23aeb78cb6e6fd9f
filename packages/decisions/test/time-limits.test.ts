import { milliseconds } from "@chalkdale/kernel";
import { expect } from "chai";
import {
    connectTimeoutOfRequest,
    createStopSchedule,
    longestRestBefore,
    nextBackoff,
    overdueTime,
    requestLimit,
    restAfterAnswer,
    snapshotHeadStart,
    spreadBackoff,
} from "../src/index.js";

describe("time limits", () => {
    it("hold a request as long as both its caller and its route allow [P13]", () => {
        const timeout = milliseconds(1500);
        expect(requestLimit(900, timeout)).to.equal(900);
        expect(requestLimit(9000, timeout)).to.equal(1500);
        for (const none of [Number.NaN, 0, -5]) {
            expect(requestLimit(none, timeout)).to.equal(1500);
        }
    });

    it("leave time for a second server while a connection comes up", () => {
        expect(connectTimeoutOfRequest(milliseconds(10), milliseconds(2000))).to.equal(270);
        expect(connectTimeoutOfRequest(milliseconds(10), milliseconds(100))).to.equal(40);
    });

    it("call no request overdue before the least time", () => {
        expect(overdueTime(milliseconds(10))).to.equal(400);
        expect(overdueTime(milliseconds(300))).to.equal(900);
    });

    it("use rested connections sooner for requests that may not run twice [P5]", () => {
        expect(longestRestBefore(false)).to.be.lessThan(longestRestBefore(true));
        expect(restAfterAnswer(milliseconds(2000))).to.equal(1000);
        expect(restAfterAnswer(undefined)).to.be.at.most(longestRestBefore(true));
    });
});

describe("the schedule of a planned stop [P7]", () => {
    const schedule = createStopSchedule(milliseconds(6000));

    it("takes new work at first, then waits for work in flight, and ends before the kill", () => {
        expect(schedule.takeWorkFor).to.equal(2400);
        expect(schedule.isWaitOver(milliseconds(2400), 1)).to.equal(false);
        expect(schedule.isWaitOver(milliseconds(2400), 0)).to.equal(true);
        expect(schedule.isWaitOver(milliseconds(5700), 1)).to.equal(true);
    });

    it("lets callers read the last answer as far as the grace allows", () => {
        expect(schedule.lingerFor(milliseconds(2400))).to.equal(600);
        expect(schedule.lingerFor(milliseconds(5500))).to.be.closeTo(200, 1e-6);
        expect(schedule.lingerFor(milliseconds(5900))).to.equal(0);
    });
});

describe("the refresh of a copy [P8]", () => {
    const inputs = { hasCopy: true, alwaysFollows: false, isStoreLost: false, isOverdue: false, isSameRegion: true };

    it("waits for nothing without a copy [P17]", () => {
        expect(snapshotHeadStart({ ...inputs, hasCopy: false })).to.equal(0);
    });

    it("leaves the ordinary way a head start, the shortest where it is nearest", () => {
        const relay = snapshotHeadStart(inputs);
        const watch = snapshotHeadStart({ ...inputs, alwaysFollows: true });
        const otherRegion = snapshotHeadStart({ ...inputs, isSameRegion: false });
        expect(relay).to.be.lessThan(watch);
        expect(watch).to.be.lessThan(otherRegion);
        expect(snapshotHeadStart({ ...inputs, isSameRegion: false, isStoreLost: true })).to.equal(watch);
        expect(snapshotHeadStart({ ...inputs, isSameRegion: false, isOverdue: true })).to.equal(relay);
        expect(snapshotHeadStart({ ...inputs, alwaysFollows: true, isStoreLost: true })).to.equal(relay);
    });

    it("doubles the pauses between failed calls up to a bound, and spreads them", () => {
        expect(nextBackoff(milliseconds(150), true)).to.equal(300);
        expect(nextBackoff(milliseconds(1000), true)).to.equal(1200);
        expect(nextBackoff(milliseconds(2000), false)).to.equal(2500);
        expect(spreadBackoff(milliseconds(1000), 0)).to.equal(700);
        expect(spreadBackoff(milliseconds(1000), 1)).to.be.closeTo(1300, 1e-6);
    });
});

import {
    availabilityZoneId,
    backendServerId,
    boxId,
    type Milliseconds,
    milliseconds,
    regionId,
    serviceId,
} from "@chalkdale/kernel";
import { expect } from "chai";
import { createServerState, createSlowStart } from "../src/index.js";

describe("server state", () => {
    const noRequests = { allows: () => false, onSent: () => undefined, onNotSent: () => undefined, ownRate: () => 0 };
    const at = (time: number): Milliseconds => milliseconds(time);
    const create = () =>
        createServerState(
            {
                id: backendServerId("i-1"),
                service: serviceId("profiles"),
                address: "192.0.2.7:80",
                zone: availabilityZoneId("north-a"),
                region: regionId("north"),
                slots: 4,
                draining: false,
                coldFor: at(0),
                revision: 1,
            },
            at(0),
            { recordPropagationDelay: at(0), slowStart: noRequests, createLimitShare: () => noRequests },
        );

    describe("ejection", () => {
        it("follows one refused connection or three consecutive broken answers", () => {
            const state = create();
            state.onFailure(at(0), "brokeOff");
            state.onFailure(at(1), "brokeOff");
            expect(state.exclusionReason(at(1))).to.equal(undefined);
            state.onFailure(at(2), "brokeOff");
            expect(state.exclusionReason(at(2))).to.equal("ejected");
            const other = create();
            other.onFailure(at(0), "unreachable");
            expect(other.exclusionReason(at(0))).to.equal("ejected");
        });

        it("ends with a successful health check, and each failed one doubles the delay", () => {
            const state = create();
            state.onFailure(at(0), "unreachable");
            expect(state.healthCheckDueAt()).to.equal(500);
            state.onFailure(at(100), "unreachable");
            expect(state.healthCheckDueAt()).to.equal(500);
            state.onHealthCheck(at(500), false);
            expect(state.healthCheckDueAt()).to.equal(1500);
            state.onHealthCheck(at(1500), true);
            expect(state.exclusionReason(at(1500))).to.equal(undefined);
            expect(state.healthCheckDueAt()).to.equal(undefined);
        });

        it("schedules no health check of an unlisted server", () => {
            const state = create();
            state.onFailure(at(0), "unreachable");
            state.onUnlisted();
            expect(state.healthCheckDueAt()).to.equal(undefined);
        });
    });

    describe("load", () => {
        it("consists of this box's requests and, for a while, the reported ones of other boxes", () => {
            const state = create();
            state.onSent();
            state.onSent();
            expect(state.load(at(0))).to.equal(2);
            state.onEnded(at(10), { running: 4, waiting: 1, slots: 4 });
            expect(state.load(at(10))).to.equal(5);
            expect(state.load(at(1510))).to.equal(3);
            expect(state.load(at(9000))).to.equal(1);
        });

        it("counts as full for a moment after the server rejected a request as full [P2]", () => {
            const state = create();
            state.onFull(at(0));
            expect(state.load(at(59))).to.equal(12);
            expect(state.load(at(60))).to.equal(0);
        });
    });

    describe("a server that announces that it is leaving", () => {
        it("gets no requests or health checks, even after a later record of the same incarnation", () => {
            const state = create();
            state.onLeaving();
            state.applyRecord({ ...state.record(), revision: 2 }, at(5000));
            state.onFailure(at(5001), "unreachable");
            expect(state.exclusionReason(at(60_000))).to.equal("leaving");
            expect(state.isOutOfService()).to.equal(true);
            expect(state.healthCheckDueAt()).to.equal(undefined);
        });
    });

    describe("a server that asks for back-off", () => {
        it("gets no requests or health checks until it ends", () => {
            const state = create();
            state.onFailure(at(0), "unreachable");
            state.onBackoff(at(100), milliseconds(3000));
            expect(state.exclusionReason(at(3099))).to.equal("backedOff");
            expect(state.healthCheckDueAt()).to.equal(3100);
            expect(state.exclusionReason(at(3100))).to.equal("ejected");
        });

        it("gets the longer of two back-offs, and a bounded one if the duration is excessive", () => {
            const state = create();
            state.onBackoff(at(0), milliseconds(3000));
            state.onBackoff(at(100), milliseconds(1000));
            expect(state.backoffUntil()).to.equal(3000);
            state.onBackoff(at(200), milliseconds(1e12));
            expect(state.exclusionReason(at(400_000))).to.equal(undefined);
        });
    });

    describe("cold time", () => {
        it("follows the server's announcement and bounds its requests [P14]", () => {
            const state = create();
            expect(state.exclusionReason(at(0))).to.equal(undefined);
            state.onCold(at(0), at(1000));
            expect(state.exclusionReason(at(999))).to.equal("cold");
            expect(state.exclusionReason(at(1000))).to.equal(undefined);
        });

        it("begins again with a record of the same cold time, if those in between were missed [P14]", () => {
            const state = create();
            state.applyRecord({ ...state.record(), coldFor: milliseconds(3000), revision: 2 }, at(0));
            expect(state.isCold(at(2999))).to.equal(true);
            expect(state.isCold(at(3000))).to.equal(false);
            state.applyRecord({ ...state.record(), revision: 2 }, at(8000));
            expect(state.isCold(at(8000))).to.equal(false);
            state.applyRecord({ ...state.record(), revision: 5 }, at(9000));
            expect(state.isCold(at(11_999))).to.equal(true);
        });
    });

    describe("a cold server", () => {
        it("gets no last-resort requests beyond its slow start while it is ejected [P14]", () => {
            const state = create();
            state.onFailure(at(0), "unreachable");
            state.onCold(at(0), at(1000));
            expect(state.exclusionReason(at(999))).to.equal("cold");
            expect(state.exclusionReason(at(1000))).to.equal("ejected");
        });

        it("is not chosen again while the connection for a chosen request is opening", () => {
            const coldFor = milliseconds(5000);
            const box = boxId("box-1");
            const slowStart = createSlowStart({
                self: box,
                server: backendServerId("i-1"),
                boxes: () => [box],
                rate: () => 2,
            });
            const state = createServerState({ ...create().record(), coldFor }, at(0), {
                recordPropagationDelay: at(0),
                slowStart,
                createLimitShare: () => noRequests,
            });
            expect(state.exclusionReason(at(10))).to.equal("cold");
            const earnedAt = at(600);
            expect(state.exclusionReason(earnedAt)).to.equal(undefined);
            state.onChosen(earnedAt);
            expect(state.exclusionReason(earnedAt)).to.equal("cold");
            expect(state.exclusionReason(at(890))).to.equal("cold");
        });
    });
});

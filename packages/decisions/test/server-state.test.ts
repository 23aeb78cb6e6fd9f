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

describe("the state of a server", () => {
    const never = { allows: () => false, onSent: () => undefined, onNotSent: () => undefined };
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
            { recordPropagationDelay: at(0), slowStart: never, createLimitShare: () => never },
        );

    describe("ejection", () => {
        it("follows one refused connection, or three broken answers in a row", () => {
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

        it("ends with a good health check, each that fails is followed by a longer pause", () => {
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

        it("asks nothing more of a server that discovery no longer lists", () => {
            const state = create();
            state.onFailure(at(0), "unreachable");
            state.onUnlisted();
            expect(state.healthCheckDueAt()).to.equal(undefined);
        });
    });

    describe("load", () => {
        it("is this box's own requests and, for a while, what the server told of others", () => {
            const state = create();
            state.onSent();
            state.onSent();
            expect(state.load(at(0))).to.equal(2);
            state.onEnded(at(10), { running: 4, waiting: 1, slots: 4 });
            expect(state.load(at(10))).to.equal(5);
            expect(state.load(at(1510))).to.equal(3);
            expect(state.load(at(9000))).to.equal(1);
        });

        it("is great for a moment after a refusal as full [P2]", () => {
            const state = create();
            state.onFull(at(0));
            expect(state.load(at(59))).to.equal(12);
            expect(state.load(at(60))).to.equal(0);
        });
    });

    describe("a server that says it is leaving", () => {
        it("gets nothing more and no health check, though a record of the same life is written later", () => {
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
        it("gets nothing until it is over, and no health check", () => {
            const state = create();
            state.onFailure(at(0), "unreachable");
            state.onBackoff(at(100), milliseconds(3000));
            expect(state.exclusionReason(at(3099))).to.equal("backedOff");
            expect(state.healthCheckDueAt()).to.equal(3100);
            expect(state.exclusionReason(at(3100))).to.equal("ejected");
        });

        it("has the longer of two back-offs, and a bounded one by a figure beyond all reason", () => {
            const state = create();
            state.onBackoff(at(0), milliseconds(3000));
            state.onBackoff(at(100), milliseconds(1000));
            expect(state.backoffUntil()).to.equal(3000);
            state.onBackoff(at(200), milliseconds(1e12));
            expect(state.exclusionReason(at(400_000))).to.equal(undefined);
        });
    });

    describe("cold time", () => {
        it("goes by what the server says, and bounds what it gets [P14]", () => {
            const state = create();
            expect(state.exclusionReason(at(0))).to.equal(undefined);
            state.onCold(at(0), at(1000));
            expect(state.exclusionReason(at(999))).to.equal("cold");
            expect(state.exclusionReason(at(1000))).to.equal(undefined);
        });
    });

    describe("a cold server", () => {
        it("is not chosen again while the connection of the request that it was chosen for comes up", () => {
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
                createLimitShare: () => never,
            });
            expect(state.exclusionReason(at(10))).to.equal(undefined);
            state.onChosen(at(10));
            expect(state.exclusionReason(at(10))).to.equal("cold");
            expect(state.exclusionReason(at(300))).to.equal("cold");
        });
    });
});

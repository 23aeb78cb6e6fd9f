/**
 * Tests the decider of roll-outs: what it grants, and when it moves, completes or rolls back.
 */

import { type BoxId, boxId, milliseconds } from "@chalkdale/kernel";
import { expect } from "chai";
import {
    createRolloutDecider,
    type EvidenceCell,
    type RolloutGrant,
    type RolloutOrder,
    type RolloutState,
} from "../src/index.js";
import { bounds, cellsOf, orderIn, reportOf, start } from "./rollout-fixtures.js";

describe("roll-outs", () => {
    describe("decider", () => {
        const inputs = { isStoreReachable: true, isTargetProven: false };
        const good = cellsOf(() => ({}), () => ({}));
        const bad = cellsOf(() => ({ failures: 8 }), () => ({}));

        function createDecider(state?: RolloutState, age = 0) {
            return createRolloutDecider({
                hasRun: false,
                order: orderIn(state),
                bounds,
                serverCount: () => 24,
                age: milliseconds(age),
                at: start,
            });
        }

        /**
         * Simulates ten boxes that report every 250 ms, with 100 requests per second in total. Boxes send
         * granted requests to the trial version as early as their traffic allows. Stops when the decider wants
         * an outcome written.
         */
        function simulate(
            decider: ReturnType<typeof createDecider>,
            options: {
                readonly from?: number;
                readonly until: number;
                readonly order?: RolloutOrder;
                readonly cells?: readonly EvidenceCell[];
                readonly isStoreReachable?: boolean;
                readonly knowsGrantedTotal?: boolean;
            },
        ) {
            let lastAction = decider.step(milliseconds(options.from ?? 0), {
                ...inputs,
                order: options.order ?? orderIn("running"),
            });
            const grants = new Map<BoxId, RolloutGrant>();
            let exposure = 0;
            for (let at = options.from ?? 0; at <= options.until; at += 250) {
                for (let index = 0; index < 10; index++) {
                    const box = boxId(`box-${index}`);
                    const known = grants.get(box);
                    const sentToTrial = Math.min(known?.cap ?? 0, at / 100);
                    grants.set(
                        box,
                        decider.onReport(
                            box,
                            reportOf({
                                sent: at / 100,
                                sentToTrial,
                                cap: known?.cap ?? 0,
                                knownGrantedTotal: options.knowsGrantedTotal === false
                                    ? undefined
                                    : known?.grantedTotal,
                                age: milliseconds(at),
                                inProgressOnOtherVersions: known?.stage === "moving" ? 0 : 5,
                                cells: index === 0 ? options.cells ?? [] : [],
                            }),
                            milliseconds(at),
                        ),
                    );
                }
                const caps = [...grants.values()].reduce((sum, { cap }) => sum + cap, 0);
                exposure = Math.max(exposure, caps / (0.1 * at / 10 + 50));
                lastAction = decider.step(milliseconds(at), {
                    ...inputs,
                    isStoreReachable: options.isStoreReachable ?? true,
                    order: options.order ?? orderIn("running"),
                });
                decider.grantsToPush().forEach(({ box, grant }) => grants.set(box, grant));
                if (lastAction.kind === "writeCompleted" || lastAction.kind === "writeRolledBack") {
                    return { action: lastAction, at, exposure, grants };
                }
            }
            return { action: lastAction, at: options.until, exposure, grants };
        }

        it("asks to write running before it grants anything", () => {
            const decider = createDecider();
            const { action, grants } = simulate(decider, { until: 3000, order: orderIn() });
            expect(action).to.deep.equal({ kind: "writeRunning" });
            expect([...grants.values()].every(({ cap, share }) => cap === 0 && share === 0)).to.equal(true);
            expect(simulate(decider, { from: 3000, until: 6000 }).grants.get(boxId("box-1"))?.cap).to.be.greaterThan(0);
        });

        it("watches a good version, moves all requests, and completes before the end, within the bound", () => {
            const decider = createDecider();
            const { action, at, exposure } = simulate(decider, { until: 20_000, cells: good });
            expect(action.kind).to.equal("writeCompleted");
            expect(at).to.be.within(15_000, 19_000);
            expect(exposure).to.be.within(0.5, 1);
            expect(decider.status(milliseconds(at)).sentToTrial).to.be.greaterThan(50);
            expect(decider.news()).to.equal(undefined);
            decider.step(milliseconds(at), { ...inputs, order: orderIn("completed") });
            expect(decider.news()?.decision).to.equal("completed");
        });

        it("announces a bad verdict at once, without the store too, and keeps asking for the write", () => {
            const decider = createDecider();
            simulate(decider, { until: 4000, cells: good });
            const { action, at } = simulate(decider, { from: 4250, until: 6000, cells: bad, isStoreReachable: false });
            expect(action.kind).to.equal("writeRolledBack");
            expect(at).to.equal(4250);
            expect(decider.news()?.decision).to.equal("rolledBack");
            const [{ grant }] = decider.grantsToPush();
            expect(grant).to.deep.include({ stage: "rolledBack", share: 0 });
            const later = simulate(decider, { from: 4500, until: 9000, cells: good });
            expect(later.action.kind).to.equal("writeRolledBack");
        });

        it("begins no move while the store is unreachable", () => {
            const decider = createDecider();
            simulate(decider, { until: 17_500, cells: good, isStoreReachable: false });
            expect(decider.status(milliseconds(17_500)).stage).to.equal("watching");
        });

        it("rolls back an order that is undecided at the end, and gives the reason", () => {
            const { action, at } = simulate(createDecider(), { until: 20_000 });
            expect(at).to.be.within(18_000, 19_000);
            expect(action).to.deep.include({ kind: "writeRolledBack" });
            expect("reason" in action && action.reason).to.contain("fewAnswers");
        });

        it("rolls back an order whose duration has passed when it is first read", () => {
            const decider = createDecider(undefined, 25_000);
            expect(decider.step(start, { ...inputs, order: orderIn() }).kind).to.equal("writeRolledBack");
        });

        it("completes an order whose target is already proven", () => {
            const decider = createDecider();
            expect(decider.step(start, { ...inputs, order: orderIn(), isTargetProven: true }).kind).to.equal(
                "writeCompleted",
            );
        });

        it("adopts the store's outcome, even after a different verdict", () => {
            const decider = createDecider();
            simulate(decider, { until: 4000, cells: bad });
            expect(decider.step(milliseconds(5000), { ...inputs, order: orderIn("completed") })).to.deep.equal({
                kind: "none",
            });
            expect(decider.news()?.decision).to.equal("completed");
        });

        it("grants nothing in the first second after a takeover, then continues from the greatest total", () => {
            const decider = createDecider("running");
            const reportAt = (sent: number, at: number) =>
                decider.onReport(
                    boxId("a"),
                    reportOf({ sent, cap: 7, knownGrantedTotal: 60, age: milliseconds(9000) }),
                    milliseconds(at),
                );
            expect(reportAt(500, 100).cap).to.equal(7);
            decider.step(milliseconds(500), { ...inputs, order: orderIn("running") });
            expect(reportAt(501, 600).cap).to.equal(7);
            decider.step(milliseconds(1200), { ...inputs, order: orderIn("running") });
            expect(reportAt(600, 1300).grantedTotal).to.be.at.least(60);
            expect(decider.status(milliseconds(1300)).age).to.be.closeTo(10_200, 1);
        });

        it("waits before it grants if another box writes running after this decider was created", () => {
            const decider = createDecider();
            const storeUnreachable = { ...inputs, isStoreReachable: false };
            decider.step(milliseconds(100), { ...storeUnreachable, order: orderIn(undefined) });
            const capAt = (at: number) => {
                decider.step(milliseconds(at), { ...storeUnreachable, order: orderIn("running") });
                return decider.onReport(boxId("a"), reportOf({ sent: 100, age: milliseconds(at) }), milliseconds(at))
                    .cap;
            };
            expect(capAt(300)).to.equal(0);
            expect(capAt(600)).to.equal(0);
            expect(capAt(900)).to.equal(0);
        });

        it("has no allowance if the store says running and no box knows the granted total", () => {
            const decider = createDecider("running");
            const { grants } = simulate(decider, { until: 2000, knowsGrantedTotal: false });
            const caps = [...grants.values()].reduce((sum, { cap }) => sum + cap, 0);
            expect(caps).to.be.at.most(0.1 * 200);
        });
    });
});

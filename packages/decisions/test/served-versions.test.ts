import { boxId, type Milliseconds, milliseconds, regionId, serverVersion } from "@chalkdale/kernel";
import { expect } from "chai";
import {
    createServedVersions,
    createServerCatalog,
    createServerState,
    createSlowStart,
    type RolloutDecision,
    type RolloutOrder,
    type RolloutState,
} from "../src/index.js";
import { createRecord } from "./choice-setup.js";

const { service } = createRecord("any");

function orderTo(target: string, state?: RolloutState, createdAt = 100): RolloutOrder {
    return {
        service,
        targetVersion: serverVersion(target),
        duration: milliseconds(12_000),
        state,
        createdAt,
        revision: createdAt,
    };
}

/** Creates the admission over a catalog of servers that are named by version and number, such as `v1-3`. */
function setUp() {
    let now = milliseconds(0);
    let order: RolloutOrder | undefined;
    let announcedDecision: RolloutDecision["decision"] | undefined;
    const catalog = createServerCatalog((record, at) =>
        createServerState(record, at, {
            recordPropagationDelay: milliseconds(0),
            slowStart: createSlowStart({ self: boxId("box-1"), server: record.id, boxes: () => [], rate: () => 0 }),
            createLimitShare: () => ({
                allows: () => true,
                onSent: () => undefined,
                onNotSent: () => undefined,
                ownRate: () => 0,
            }),
        })
    );
    const versions = createServedVersions({
        catalog,
        now: () => now,
        orderOf: () => order,
        decisionOf: () => announcedDecision,
        sampledServerCount: () => 2,
    });
    return {
        versions,
        /**
         * Lists servers such as `v1-3`; `!` marks a draining one, `~` a cold one. Each server's creation is its
         * number by default, and `createdAt` plus its index otherwise.
         */
        list(names: readonly string[], createdAt?: number) {
            const records = names.map((name, index) => {
                const id = name.replace(/[!~]/, "");
                const [version, number] = id.split("-");
                return createRecord(id, {
                    version: version === "none" ? undefined : serverVersion(version),
                    createdAt: createdAt === undefined ? Number(number) : createdAt + index,
                    draining: name.includes("!"),
                    coldFor: milliseconds(name.includes("~") ? 60_000 : 0),
                    region: regionId(Number(number) % 2 === 0 ? "north" : "south"),
                });
            });
            catalog.applyList(records, now);
        },
        order(next: RolloutOrder | undefined) {
            order = next;
        },
        announceDecision(next: RolloutDecision["decision"] | undefined) {
            announcedDecision = next;
        },
        at(time: number) {
            now = time as Milliseconds;
        },
        admitted: (isTrial = false) =>
            catalog.ofService(service).filter(server => server.state.isListed() && versions.admits(server, isTrial))
                .map(({ id }) => String(id)),
    };
}

describe("served versions", () => {
    let setup = setUp();
    beforeEach(() => {
        setup = setUp();
    });

    describe("without an order", () => {
        it("are the one whose server was created first, and no trial version", () => {
            setup.list(["v2-5", "v1-1", "v1-9"]);
            expect(setup.admitted()).to.have.members(["v1-1", "v1-9"]);
            expect(setup.admitted(true)).to.deep.equal([]);
        });

        it("treat all servers without a version as one version", () => {
            setup.list(["none-1", "none-2"]);
            expect(setup.admitted()).to.have.members(["none-1", "none-2"]);
            setup.list(["none-1", "none-2", "v1-3"]);
            expect(setup.admitted()).to.have.members(["none-1", "none-2"]);
        });

        it("include servers that replace others of the same version", () => {
            setup.list(["v1-1", "v1-2"]);
            setup.list(["v1-7", "v1-2"]);
            expect(setup.admitted()).to.have.members(["v1-7", "v1-2"]);
        });

        it("are the new one at the first request after the old one was replaced without any request in between", () => {
            setup.list(["v1-1"]);
            expect(setup.admitted()).to.deep.equal(["v1-1"]);
            setup.list(["v2-5"]);
            for (let time = 300; time <= 6000; time += 300) {
                setup.at(time);
                setup.versions.refresh();
            }
            expect(setup.admitted()).to.deep.equal(["v2-5"]);
        });

        it("are another one as soon as all servers of the first are draining or gone", () => {
            setup.list(["v1-1!", "v2-5"]);
            expect(setup.admitted()).to.deep.equal(["v2-5"]);
            setup.at(100);
            setup.list(["v2-5"]);
            expect(setup.admitted()).to.deep.equal(["v2-5"]);
            setup.at(3200);
            setup.list(["v2-5", "v2-6"]);
            expect(setup.versions.provenVersion(service)).to.equal("v2");
        });

        it("stay the first one when its records expire and reappear later than others", () => {
            setup.list(["v1-1", "v2-5"]);
            expect(setup.versions.provenVersion(service)).to.equal("v1");
            setup.at(1000);
            setup.list([]);
            expect(setup.versions.provenVersion(service)).to.equal("v1");
            setup.at(9000);
            setup.list(["v2-5"], 50);
            setup.at(10_000);
            setup.list(["v2-5", "v1-1"], 50);
            expect(setup.versions.provenVersion(service)).to.equal("v1");
            expect(setup.admitted()).to.deep.equal(["v1-1"]);
        });
    });

    describe("with an order", () => {
        for (const state of [undefined, "running"] as const) {
            it(`are the proven one, and a sample of the target for trial requests (state ${state})`, () => {
                setup.order(orderTo("v2", state));
                setup.list(["v1-1", "v1-2", "v2-5", "v2-6", "v2-7", "v2-8~"]);
                expect(setup.admitted()).to.have.members(["v1-1", "v1-2"]);
                expect(setup.versions.trialVersion(service)).to.equal("v2");
                const sample = setup.admitted(true);
                expect(sample.length).to.equal(2);
                expect(sample).to.include("v2-6", "the only warm one of its region");
            });
        }

        it("include no sample while the target has no server, and its sample once it has one", () => {
            setup.list(["v1-1"]);
            setup.order(orderTo("v2", "running"));
            expect(setup.admitted(true)).to.deep.equal([]);
            expect(setup.versions.trialVersion(service)).to.equal(undefined);
            setup.list(["v1-1", "v2-5"]);
            expect(setup.admitted()).to.deep.equal(["v1-1"]);
            expect(setup.admitted(true)).to.deep.equal(["v2-5"]);
        });

        it("are the proven one if the target is already proven", () => {
            setup.list(["v1-1", "v2-5"]);
            setup.order(orderTo("v1"));
            expect(setup.versions.isTargetProven(service)).to.equal(true);
            expect(setup.versions.trialVersion(service)).to.equal(undefined);
            expect(setup.admitted()).to.deep.equal(["v1-1"]);
        });

        it("are the target once the order is completed, and others only when the target has no ready server", () => {
            setup.list(["v1-1", "v2-5"]);
            setup.order(orderTo("v2", "completed"));
            expect(setup.admitted()).to.deep.equal(["v2-5"]);
            setup.list(["v1-1", "v2-5!"]);
            expect(setup.admitted()).to.deep.equal(["v1-1"]);
        });

        it("exclude the target once it is rolled back, even if no other version is left", () => {
            setup.list(["v1-1", "v2-5"]);
            setup.order(orderTo("v2", "rolledBack"));
            expect(setup.admitted()).to.deep.equal(["v1-1"]);
            expect(setup.admitted(true)).to.deep.equal([]);
            setup.at(10_000);
            setup.list(["v2-5"]);
            expect(setup.admitted()).to.deep.equal([]);
        });

        it("exclude a version that was rolled back after its order is gone, until another order targets it", () => {
            setup.list(["v1-1", "v2-5"]);
            setup.order(orderTo("v2", "rolledBack"));
            expect(setup.admitted()).to.deep.equal(["v1-1"]);
            setup.order(undefined);
            setup.list(["v1-1!", "v2-5"]);
            expect(setup.admitted()).to.deep.equal([]);
            setup.list(["v1-1", "v2-5"]);
            setup.order(orderTo("v2", "running", 200));
            expect(setup.admitted(true)).to.deep.equal(["v2-5"]);
        });

        it("stay the completed target after the order is gone", () => {
            setup.list(["v1-1", "v2-5"]);
            setup.order(orderTo("v2", "completed"));
            expect(setup.admitted()).to.deep.equal(["v2-5"]);
            setup.order(undefined);
            expect(setup.admitted()).to.deep.equal(["v2-5"]);
        });

        it("include only the target of a second order in the trial, not that of the first order", () => {
            setup.list(["v1-1", "v2-5", "v3-6"]);
            setup.order(orderTo("v2", "running"));
            expect(setup.admitted(true)).to.deep.equal(["v2-5"]);
            setup.order(orderTo("v3", "running", 200));
            expect(setup.admitted(true)).to.deep.equal(["v3-6"]);
            expect(setup.admitted()).to.deep.equal(["v1-1"]);
        });

        it("are none during the grace period of expired records, then the target if no other version is left", () => {
            setup.list(["v1-1", "v2-5"]);
            setup.order(orderTo("v2", "running"));
            expect(setup.admitted()).to.deep.equal(["v1-1"]);
            setup.at(1000);
            setup.list(["v2-5"]);
            expect(setup.admitted()).to.deep.equal([]);
            expect(setup.admitted(true)).to.deep.equal([]);
            setup.at(3500);
            expect(setup.admitted()).to.deep.equal(["v2-5"]);
            expect(setup.versions.isTargetProven(service)).to.equal(false);
        });
    });

    describe("while server records expire and reappear", () => {
        it("are not the target of a running order on a new box, even if its server has the oldest record", () => {
            setup.order(orderTo("v2", "running"));
            setup.list(["v2-5", "v1-9"]);
            expect(setup.admitted()).to.deep.equal(["v1-9"]);
            expect(setup.versions.isTargetProven(service)).to.equal(false);
            setup.list(["v2-5"]);
            expect(setup.versions.isTargetProven(service)).to.equal(false);
        });

        it("wait for the proven version from the time at which any record reappears", () => {
            setup.order(orderTo("v2", "running"));
            setup.list(["v1-1", "v2-5"]);
            expect(setup.admitted()).to.deep.equal(["v1-1"]);
            setup.at(1000);
            setup.list([]);
            expect(setup.admitted()).to.deep.equal([]);
            setup.at(6000);
            setup.list(["v2-5"]);
            expect(setup.admitted()).to.deep.equal([]);
            setup.at(7000);
            setup.list(["v2-5", "v1-1"]);
            expect(setup.admitted()).to.deep.equal(["v1-1"]);
        });

        it("wait for the proven version without an order as well", () => {
            setup.list(["v1-1", "v2-5"]);
            expect(setup.admitted()).to.deep.equal(["v1-1"]);
            setup.at(1000);
            setup.list(["v2-5"]);
            expect(setup.admitted()).to.deep.equal([]);
            setup.at(4100);
            expect(setup.admitted()).to.deep.equal(["v2-5"]);
        });
    });

    describe("with an announced decision", () => {
        beforeEach(() => {
            setup.list(["v1-1", "v2-5"]);
            setup.order(orderTo("v2", "running"));
        });

        it("follow the decision before the store has it", () => {
            setup.announceDecision("completed");
            expect(setup.admitted()).to.deep.equal(["v2-5"]);
        });

        it("exclude a version as soon as its rollback is announced", () => {
            expect(setup.admitted(true)).to.deep.equal(["v2-5"]);
            const before = setup.versions.version(service);
            setup.announceDecision("rolledBack");
            expect(setup.versions.version(service)).to.be.greaterThan(before);
            expect(setup.admitted(true)).to.deep.equal([]);
        });

        it("follow the store where it differs from the announced decision", () => {
            setup.announceDecision("rolledBack");
            expect(setup.admitted()).to.deep.equal(["v1-1"]);
            setup.order(orderTo("v2", "completed"));
            expect(setup.admitted()).to.deep.equal(["v2-5"]);
        });
    });

    it("keep their version number while nothing changes", () => {
        setup.list(["v1-1", "v2-5"]);
        const before = setup.versions.version(service);
        setup.at(5000);
        setup.list(["v1-1", "v2-5"]);
        expect(setup.versions.version(service)).to.equal(before);
    });
});

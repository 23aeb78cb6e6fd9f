/**
 * Guards against applying the state of an earlier incarnation to a server that has
 * restarted under its id: that it was leaving or had been replaced, its ejection,
 * load, speed and keys. This happens if the id alone identifies a server.
 */

import {
    availabilityZoneId,
    backendServerId,
    boxId,
    type Milliseconds,
    milliseconds,
    regionId,
    serviceId,
    unixMilliseconds,
} from "@chalkdale/kernel";
import { expect } from "chai";
import fc from "fast-check";
import {
    type BackendServerRecord,
    createOutlierReports,
    createServerCatalog,
    createServerState,
    lateWriteGracePeriod,
    type ServerCatalog,
} from "../src/index.js";

const id = backendServerId("i-1");
const service = serviceId("profiles");
const firstBirth = 1_700_000_000_000;

const unbounded = { allows: () => true, onSent: () => undefined, onNotSent: () => undefined, ownRate: () => 0 };

describe("server incarnations", () => {
    let catalog: ServerCatalog;
    let now: Milliseconds;
    let revision: number;

    beforeEach(() => {
        now = milliseconds(1000);
        revision = 0;
        catalog = createServerCatalog((record, at) =>
            createServerState(record, at, {
                recordPropagationDelay: milliseconds(0),
                slowStart: unbounded,
                createLimitShare: () => unbounded,
            })
        );
    });

    const recordOf = (changes: Partial<BackendServerRecord> = {}): BackendServerRecord => ({
        id,
        service,
        address: "192.0.2.7:80",
        zone: availabilityZoneId("north-a"),
        region: regionId("north"),
        slots: 4,
        draining: false,
        coldFor: milliseconds(0),
        revision: ++revision,
        ...changes,
    });
    const born = (bornAt: number, changes: Partial<BackendServerRecord> = {}) =>
        recordOf({ bornAt: unixMilliseconds(bornAt), ...changes });
    const apply = (...records: BackendServerRecord[]) => catalog.applyList(records, now);
    const state = () => catalog.get(id)!.state;
    const exclusion = () => state().exclusionReason(now);

    describe("a later one", () => {
        it("inherits no state of the one before", () => {
            apply(born(firstBirth));
            const before = catalog.get(id)!;
            before.state.onReplaced();
            before.state.onLeaving();
            before.state.onFailure(now, "unreachable");
            before.state.onSent();
            before.state.onAnswerTime(now, 9);
            const change = apply(born(firstBirth + 5000));
            expect(change.restarted.map(restarted => restarted.previous)).to.deep.equal([before]);
            expect(exclusion()).to.equal(undefined);
            expect([state().inFlight(), state().slowness(now)]).to.deep.equal([0, 1]);
            expect(state().severity(now)).to.be.lessThan(1);
            expect(state().healthCheckDueAt()).to.equal(undefined);
        });

        it("keeps a back-off that was just requested, since its answers can arrive before its record", () => {
            apply(born(firstBirth));
            state().onBackoff(now, milliseconds(3000));
            now = milliseconds(2500);
            apply(born(firstBirth + 1000));
            expect(exclusion()).to.equal("backedOff");
            now = milliseconds(4000);
            expect(exclusion()).to.equal(undefined);
        });

        it("drops a back-off that was requested long before", () => {
            apply(born(firstBirth));
            state().onBackoff(now, milliseconds(60_000));
            now = milliseconds(10_000);
            apply(born(firstBirth + 9000));
            expect(exclusion()).to.equal(undefined);
        });

        it("is not affected when requests at the one before end", () => {
            apply(born(firstBirth));
            const before = catalog.get(id)!;
            before.state.onSent();
            apply(born(firstBirth + 1));
            before.state.onEnded(now);
            before.state.onFailure(now, "unreachable");
            expect([exclusion(), state().inFlight()]).to.deep.equal([undefined, 0]);
            expect([catalog.hasSuccessor(before), catalog.hasSuccessor(catalog.get(id)!)]).to.deep.equal([true, false]);
        });

        it("needs the same id: another id at the address of a server is no new incarnation", () => {
            apply(born(firstBirth));
            const server = catalog.get(id)!;
            const otherServer = { ...born(firstBirth), id: backendServerId("i-stranger") };
            apply(server.state.record(), otherServer);
            expect([catalog.hasNewIncarnation(server), catalog.hasSuccessor(server)]).to.deep.equal([false, true]);
            expect(exclusion()).to.equal(undefined);
        });

        it("may take requests although the one before was draining or unlisted", () => {
            apply(born(firstBirth, { draining: true }));
            expect(exclusion()).to.equal("draining");
            apply(born(firstBirth + 1));
            expect(exclusion()).to.equal(undefined);
            apply();
            expect(exclusion()).to.equal("unlisted");
            apply(born(firstBirth + 2));
            expect(exclusion()).to.equal(undefined);
        });

        it("is cold and ranked again", () => {
            apply(born(firstBirth));
            const version = catalog.version();
            apply(born(firstBirth + 1, { coldFor: milliseconds(3000) }));
            expect(state().isCold(now)).to.equal(true);
            expect(catalog.version()).to.be.greaterThan(version);
            expect(catalog.ofService(service)).to.deep.equal([catalog.get(id)]);
        });
    });

    describe("the same one", () => {
        it("keeps its state", () => {
            apply(born(firstBirth));
            state().onFailure(now, "unreachable");
            expect(apply(born(firstBirth, { slots: 5 })).restarted).to.deep.equal([]);
            expect(exclusion()).to.equal("ejected");
        });

        it("stays draining", () => {
            apply(born(firstBirth, { draining: true }));
            apply(born(firstBirth));
            expect(exclusion()).to.equal("draining");
        });

        it("is identified by the id alone without a start time, as in snapshots of earlier releases", () => {
            apply(recordOf({ draining: true }));
            apply(recordOf());
            expect(exclusion()).to.equal(undefined);
            apply(born(firstBirth));
            state().onFailure(now, "unreachable");
            apply(recordOf());
            apply(born(firstBirth));
            expect(exclusion()).to.equal("ejected");
            expect(state().record().bornAt).to.equal(firstBirth);
        });
    });

    describe("an earlier one whose record arrives later", () => {
        it("revives nothing while its record may be a delayed write", () => {
            apply(born(firstBirth + 1, { draining: true }));
            apply(born(firstBirth));
            expect(exclusion()).to.equal("draining");
            apply(born(firstBirth + 1, { draining: true }));
            now = milliseconds(now + 2 * lateWriteGracePeriod);
            expect(catalog.sweep(now).restarted).to.deep.equal([]);
            expect(exclusion()).to.equal("draining");
        });

        it("does not end the later one, which writes again", () => {
            apply(born(firstBirth + 1));
            state().onAnswerTime(now, 9);
            const slowness = state().slowness(now);
            apply(born(firstBirth, { draining: true }));
            expect(exclusion()).to.equal("doubted");
            apply(born(firstBirth + 1));
            expect(exclusion()).to.equal(undefined);
            expect(state().slowness(now)).to.equal(slowness);
        });

        it("counts as a new one with its clock set back after the grace period", () => {
            apply(born(firstBirth + 60_000));
            apply(born(firstBirth));
            now = milliseconds(now + lateWriteGracePeriod - 1);
            expect(catalog.sweep(now).restarted).to.deep.equal([]);
            now = milliseconds(now + 1);
            expect(catalog.sweep(now).restarted).to.have.length(1);
            expect([exclusion(), state().record().bornAt]).to.deep.equal([undefined, firstBirth]);
        });

        it("is forgotten with its record", () => {
            apply(born(firstBirth + 1));
            apply(born(firstBirth));
            apply();
            now = milliseconds(now + 2 * lateWriteGracePeriod);
            expect(catalog.sweep(now).restarted).to.deep.equal([]);
            expect(exclusion()).to.equal("unlisted");
        });
    });

    it("never leave a server in use whose latest record is draining, after any history", () => {
        const listEntry = fc.record({
            birth: fc.integer({ min: 0, max: 3 }),
            draining: fc.boolean(),
            isListed: fc.boolean(),
        });
        fc.assert(
            fc.property(fc.array(listEntry, { minLength: 1, maxLength: 12 }), history => {
                catalog = createServerCatalog((record, at) =>
                    createServerState(record, at, {
                        recordPropagationDelay: milliseconds(0),
                        slowStart: unbounded,
                        createLimitShare: () => unbounded,
                    })
                );
                for (const { birth, draining, isListed } of history) {
                    apply(...isListed ? [born(firstBirth + birth, { draining })] : []);
                    const mayBeUsed = isListed && !draining;
                    const isUsed = catalog.get(id) !== undefined && exclusion() === undefined;
                    expect(!isUsed || mayBeUsed).to.equal(true);
                }
            }),
            { seed: 7, numRuns: 1000 },
        );
    });

    it("are not affected by other boxes' reports of the one before", () => {
        const outlierReports = createOutlierReports(boxId("box-1"));
        const report = (origin: string, at: Milliseconds) =>
            outlierReports.onReport({ server: id, origin: boxId(origin), severity: 3, at }, now);
        report("box-2", now);
        report("box-3", now);
        expect(outlierReports.severity(id, 1, now)).to.equal(3);
        outlierReports.forget(id, now);
        expect(outlierReports.severity(id, 1, now)).to.equal(0);
        report("box-2", milliseconds(now - 100));
        report("box-3", milliseconds(now - 100));
        expect(outlierReports.severity(id, 1, now)).to.equal(0);
        report("box-2", milliseconds(now + 1));
        report("box-3", milliseconds(now + 1));
        expect(outlierReports.severity(id, 1, now)).to.equal(3);
    });
});

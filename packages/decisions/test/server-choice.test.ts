import { availabilityZoneId, backendServerId, hashText, milliseconds, regionId } from "@chalkdale/kernel";
import { expect } from "chai";
import { at, createRecord, createRoute, createSetup, trialVersion } from "./choice-setup.js";

/** Servers in two regions and six availability zones. */
const manyServers = Array.from({ length: 120 }, (_, index) =>
    createRecord(`many-${index}`, {
        zone: availabilityZoneId(`zone-${index % 6}`),
        region: regionId(index % 3 === 0 ? "north" : "south"),
    }));
const fourServers = ["s-1", "s-2", "s-3", "s-4"].map(name => createRecord(name));

describe("server choice", () => {
    describe("affinity", () => {
        it("sends a key to the same server each time", () => {
            const { chosen } = createSetup(fourServers);
            const first = chosen();
            expect(Array.from({ length: 20 }, () => chosen())).to.deep.equal(Array(20).fill(first));
        });

        it("follows the current list, whatever it was at earlier requests for the key", () => {
            const { catalog, chosen } = createSetup(manyServers.slice(0, 90));
            const keys = Array.from({ length: 60 }, (_, key) => hashText(`key-${key}`));
            const choices = () => keys.map(keyHash => chosen({ keyHash }));
            choices();
            catalog.applyList(manyServers, at);
            expect(choices(), "after an addition").to.deep.equal(
                keys.map(keyHash => createSetup(manyServers).chosen({ keyHash })),
            );
            const larger = manyServers.map(record => ({ ...record, slots: Number(record.id.slice(5)) % 7 + 1 }));
            catalog.applyList(larger, at);
            expect(choices(), "after a change of slots").to.deep.equal(
                keys.map(keyHash => createSetup(larger).chosen({ keyHash })),
            );
            const draining = larger.map(record => ({ ...record, draining: Number(record.id.slice(5)) % 4 > 0 }));
            catalog.applyList(draining, at);
            const left = draining.filter(record => !record.draining);
            expect(choices(), "after most began to drain").to.deep.equal(
                keys.map(keyHash => createSetup(left).chosen({ keyHash })),
            );
        });

        it("moves only the keys of a removed server [P1]", () => {
            const before = createSetup(fourServers);
            const after = createSetup(fourServers.slice(1));
            for (let key = 0; key < 200; key++) {
                const keyHash = hashText(`key-${key}`);
                const was = before.chosen({ keyHash });
                if (was !== backendServerId("s-1")) {
                    expect(after.chosen({ keyHash })).to.equal(was);
                }
            }
        });

        it("spreads keys in proportion to slots", () => {
            const { chosen } = createSetup([createRecord("s-1", { slots: 9 }), createRecord("s-2", { slots: 3 })]);
            let first = 0;
            for (let key = 0; key < 1000; key++) {
                first += chosen({ keyHash: hashText(`key-${key}`) }) === backendServerId("s-1") ? 1 : 0;
            }
            expect(first).to.be.within(690, 810);
        });

        it("leaves a server whose wait is longer than cold work elsewhere takes [P2]", () => {
            const { catalog, chosen } = createSetup(fourServers);
            const first = chosen();
            const { state } = catalog.get(backendServerId(String(first)))!;
            Array.from({ length: 24 }, () => state.onSent());
            expect(chosen()).not.to.equal(first);
        });

        it("leaves a slow server, and returns when its slowness has decayed", () => {
            const { catalog, chosen } = createSetup(fourServers);
            const first = chosen();
            const { state } = catalog.get(backendServerId(String(first)))!;
            Array.from({ length: 8 }, () => state.onAnswerTime(at, 10));
            expect(chosen()).not.to.equal(first);
            expect(chosen({ at: milliseconds(at + 60_000) })).to.equal(first);
        });
    });

    describe("outliers", () => {
        const fail = (setup: ReturnType<typeof createSetup>, server: string, times: number) => {
            const { state } = setup.catalog.get(backendServerId(server))!;
            for (let count = 0; count < times; count++) {
                state.onHealthy();
                state.onResult(at, false);
            }
        };

        it("get no requests while failing, even if health checks succeed, and are tried again later [P7]", () => {
            const setup = createSetup(fourServers);
            const first = setup.chosen();
            fail(setup, String(first), 2);
            expect(setup.chosen()).not.to.equal(first);
            expect(setup.chosen({ at: milliseconds(at + 10_000) })).to.equal(first);
        });

        it("don't result from one failure among good answers", () => {
            const setup = createSetup(fourServers);
            const first = setup.chosen();
            fail(setup, String(first), 1);
            expect(setup.chosen()).to.equal(first);
        });

        it("are kept if most servers fail, so that no service is emptied", () => {
            const setup = createSetup(fourServers);
            const first = setup.chosen();
            fourServers.slice(0, 3).forEach(record => fail(setup, record.id, 4));
            fail(setup, String(first), 4);
            expect(setup.chosen()).to.equal(first);
        });

        it("are left out up to half of the servers", () => {
            const setup = createSetup(fourServers);
            ["s-1", "s-2"].forEach(server => fail(setup, server, 4));
            const chosen = Array.from({ length: 100 }, (_, key) => setup.chosen({ keyHash: hashText(`key-${key}`) }));
            expect([...new Set(chosen)].sort()).to.deep.equal([backendServerId("s-3"), backendServerId("s-4")]);
        });

        it("include servers three times slower than expected, although cold work elsewhere takes as long [P7]", () => {
            const setup = createSetup(fourServers);
            const first = setup.chosen();
            const { state } = setup.catalog.get(backendServerId(String(first)))!;
            Array.from({ length: 20 }, () => state.onAnswerTime(at, 3.2));
            const chosen = Array.from({ length: 100 }, (_, key) => setup.chosen({ keyHash: hashText(`key-${key}`) }));
            expect(chosen).not.to.include(first);
        });
    });

    describe("overload", () => {
        it("moves a key to only one other server while slots are short", () => {
            const setup = createSetup(fourServers, [], 0.9);
            const seen = new Set<unknown>();
            for (let load = 0; load < 40; load++) {
                const choice = setup.choose(setup.request({ isCallerRetry: true }));
                if (choice.kind === "chosen") {
                    seen.add(choice.server.id);
                    choice.server.state.onSent();
                }
            }
            expect(seen.size).to.equal(2);
        });

        /** Sends requests for one key until one is refused, and returns the refusal. */
        const fill = (setup: ReturnType<typeof createSetup>) => {
            for (;;) {
                const choice = setup.choose(setup.request());
                if (choice.kind !== "chosen") {
                    return choice;
                }
                choice.server.state.onSent();
            }
        };

        it("refuses a request whose wait exceeds the route's goal, and reports the wait [P2]", () => {
            const setup = createSetup(fourServers);
            const refusal = fill(setup);
            expect(refusal.kind).to.equal("crowded");
            expect(refusal.kind === "crowded" && refusal.wait).to.be.within(400, 450);
        });

        it("tries later servers with a free slot unless slots are short in the whole service", () => {
            const servedBy = (loadPerSlot: number) => {
                const setup = createSetup(fourServers, [], loadPerSlot);
                const used = new Set<string>();
                for (let count = 0; count < 60; count++) {
                    const choice = setup.choose(setup.request());
                    if (choice.kind !== "chosen") {
                        break;
                    }
                    used.add(choice.server.id);
                    choice.server.state.onSent();
                }
                return used.size;
            };
            expect(servedBy(0.5)).to.equal(4);
            expect(servedBy(1.5)).to.be.at.most(2);
        });

        it("prefers a free server to a wait behind long work of another route", () => {
            const setup = createSetup(fourServers);
            const quick = createRoute({ name: "status", goal: milliseconds(300) });
            const long = createRoute({ name: "history", goal: milliseconds(1500) });
            const first = setup.chosen({ route: quick });
            const { state } = setup.catalog.get(backendServerId(String(first)))!;
            const { service } = setup.request();
            for (let count = 0; count < 8; count++) {
                setup.workEstimate.onSent(service, long);
                state.onSent();
            }
            const next = setup.chosen({ route: quick });
            expect(next).not.to.equal(first);
            expect(setup.catalog.get(backendServerId(String(next)))?.state.load(at)).to.equal(0);
        });

        it("sends a download to another zone when the servers of its zone are full", () => {
            const ownZone = ["s-1", "s-2", "s-3"].map(name => createRecord(name));
            const otherZone = ["n-1", "n-2"].map(name => createRecord(name, { zone: availabilityZoneId("north-b") }));
            const setup = createSetup([...ownZone, ...otherZone]);
            const route = createRoute({ kind: "download" });
            const served = new Set<string>();
            for (let key = 0; key < 200; key++) {
                const choice = setup.choose(setup.request({ route, keyHash: hashText(`key-${key}`) }));
                if (choice.kind === "chosen") {
                    choice.server.state.onSent();
                    served.add(choice.server.id);
                }
            }
            expect([...served].sort()).to.deep.equal(["n-1", "n-2", "s-1", "s-2", "s-3"]);
        });

        it("refuses cold work at a shorter wait while slots are short in the service [P2]", () => {
            const wait = (loadPerSlot: number) => {
                const refusal = fill(createSetup(fourServers, [], loadPerSlot));
                return refusal.kind === "crowded" ? refusal.wait : undefined;
            };
            expect(wait(2)).to.be.lessThan(Number(wait(0)) * 0.6);
        });

        it("accepts a caller's retry where a first request would be refused", () => {
            const setup = createSetup(fourServers);
            fill(setup);
            expect(setup.choose(setup.request({ isCallerRetry: true })).kind).to.equal("chosen");
        });
    });

    describe("eligible servers", () => {
        it("exclude draining, unlisted, replaced and tried servers [P6]", () => {
            const records = [createRecord("s-1", { draining: true }), ...fourServers.slice(1)];
            const { catalog, chosen } = createSetup(records);
            catalog.get(backendServerId("s-2"))!.state.onReplaced();
            catalog.applyList(records.filter(record => record.id !== backendServerId("s-3")), at);
            for (let key = 0; key < 50; key++) {
                expect(chosen({ keyHash: hashText(`key-${key}`) })).to.equal(backendServerId("s-4"));
            }
            expect(chosen({ tried: new Set([backendServerId("s-4")]) })).to.equal("noServer");
        });

        it("exclude closed zones and regions that are not allowed [P15] [P16]", () => {
            const records = [
                createRecord("s-1"),
                createRecord("s-2", { zone: availabilityZoneId("north-b") }),
                createRecord("s-3", { zone: availabilityZoneId("south-a"), region: regionId("south") }),
            ];
            const { chosen } = createSetup(records, ["north-a"]);
            const homes = new Set([regionId("north")]);
            for (let key = 0; key < 50; key++) {
                expect(chosen({ allowedRegions: homes, keyHash: hashText(`key-${key}`) })).to.equal(
                    backendServerId("s-2"),
                );
            }
        });

        it("refuse a request that can't be answered before its deadline [P2]", () => {
            const { choose, request, workEstimate } = createSetup(fourServers);
            workEstimate.onMeasured(request().route, true, milliseconds(150));
            expect(choose(request({ timeLeft: milliseconds(20) })).kind).to.equal("tooLate");
        });

        it("refuse no request as too late before an answer was measured", () => {
            const { choose, request } = createSetup(fourServers);
            expect(choose(request({ timeLeft: milliseconds(20) })).kind).to.equal("chosen");
        });
    });

    describe("versions", () => {
        const twoVersions = manyServers.flatMap(record => [
            record,
            createRecord(`${record.id}-new`, { zone: record.zone, region: record.region, version: trialVersion }),
        ]);
        const keys = Array.from({ length: 60 }, (_, key) => hashText(`key-${key}`));

        it("get only their own requests, and keep the servers of keys as without the other version", () => {
            const withoutTrial = createSetup(manyServers);
            const withTrial = createSetup(twoVersions);
            const expected = keys.map(keyHash => withoutTrial.chosen({ keyHash }));
            expect(keys.map(keyHash => withTrial.chosen({ keyHash }))).to.deep.equal(expected);
            const isNew = (keyHash: number) => String(withTrial.chosen({ keyHash, isTrial: true })).endsWith("-new");
            expect(keys.every(isNew)).to.equal(true);
            expect(keys.map(keyHash => withTrial.chosen({ keyHash }))).to.deep.equal(expected);
        });

        it("are tried at failing servers as well, whose failures don't affect requests of the other version", () => {
            const [old, otherOld] = [createRecord("old"), createRecord("old-2")];
            const trial = createRecord("new", { version: trialVersion });
            const { catalog, chosen } = createSetup([old, otherOld, trial]);
            for (let failure = 0; failure < 20; failure++) {
                catalog.get(trial.id)!.state.onResult(at, false);
            }
            expect(chosen({ isTrial: true })).to.equal("new");
            catalog.get(old.id)!.state.onResult(at, false);
            catalog.get(old.id)!.state.onResult(at, false);
            expect(keys.every(keyHash => chosen({ keyHash }) === "old-2")).to.equal(true);
        });

        it("are not tried if they have no server", () => {
            const { chosen } = createSetup(manyServers);
            expect(chosen({ isTrial: true })).to.equal("noServer");
        });
    });

    describe("cold servers", () => {
        it("get no more requests than their rate [P14]", () => {
            const { catalog, choose, request } = createSetup([createRecord("s-1", { coldFor: milliseconds(3000) })]);
            let sent = 0;
            for (let time = 0; time < 1000; time += 5) {
                const now = milliseconds(at + time);
                const choice = choose(request({ at: now, timeLeft: milliseconds(5000) }));
                if (choice.kind === "chosen") {
                    catalog.get(choice.server.id)!.state.onChosen(now);
                    sent += 1;
                }
            }
            expect(sent).to.be.within(8, 11);
        });
    });

    describe("servers that ask for back-off [P28]", () => {
        const backoff = milliseconds(3000);
        const names = ["s-1", "s-2", "s-3"];

        function setUp(backedOff: readonly string[]) {
            const setup = createSetup(names.map(name => createRecord(name)));
            backedOff.forEach(name => setup.catalog.get(backendServerId(name))!.state.onBackoff(at, backoff));
            return setup;
        }

        it("get neither first nor further attempts until the back-off ends", () => {
            const { chosen } = setUp(["s-1", "s-2"]);
            expect(chosen()).to.equal("s-3");
            expect(chosen({ tried: new Set([backendServerId("s-3")]) })).to.equal("noServer");
            const afterBackoff = { at: milliseconds(at + backoff), tried: new Set([backendServerId("s-3")]) };
            expect(chosen(afterBackoff)).to.be.oneOf(["s-1", "s-2"]);
        });

        it("lead to a refusal as backed off if no other is left, also after attempts at them", () => {
            const { catalog, chosen } = setUp(names);
            expect(chosen()).to.equal("allBackedOff");
            expect(chosen({ tried: new Set(names.map(backendServerId)) })).to.equal("allBackedOff");
            catalog.get(backendServerId("s-1"))!.state.onFailure(at, "unreachable");
            expect(chosen()).to.equal("allBackedOff");
        });
    });

    describe("servers with rate limits", () => {
        const names = Array.from({ length: 8 }, (_, index) => `s-${index}`);
        const keyOf = (index: number) => hashText(`key-${index}`);
        const limited = (...servers: readonly string[]) => {
            const setup = createSetup(names.map(name => createRecord(name)));
            servers.forEach(name =>
                setup.catalog.get(backendServerId(name))!.state.onLimitUpdate({ kind: "named", rate: 2, at })
            );
            return setup;
        };
        /** Time at which this box has earned a request to each limited server. */
        const earnedAt = milliseconds(at + 2000);

        it("get no request before it is earned, and their keys go to others", () => {
            const { chosen } = limited("s-0", "s-1", "s-2");
            const servers = new Set(Array.from({ length: 200 }, (_, index) => chosen({ keyHash: keyOf(index) })));
            expect([...servers].sort()).to.deep.equal(["s-3", "s-4", "s-5", "s-6", "s-7"]);
        });

        it("lead to a refusal as limited if all of them have reached their limits", () => {
            const { chosen } = limited(...names);
            expect(chosen()).to.equal("allLimited");
        });

        it("take only keys that rank them among the compared servers if all are limited", () => {
            const unlimited = limited();
            const { catalog, choose, request } = limited(...names);
            // The first request starts the earning at each server.
            choose(request());
            let taken = 0;
            for (let index = 0; index < 400; index++) {
                const keyHash = keyOf(index);
                const choice = choose(request({ keyHash, at: earnedAt }));
                if (choice.kind !== "chosen") {
                    continue;
                }
                taken += 1;
                catalog.get(choice.server.id)!.state.onChosen(earnedAt);
                const compared = unlimited.choose(request({ keyHash }));
                const own = compared.kind === "chosen" ? [compared.server.id, compared.runnerUp?.server] : [];
                expect(own).to.include(choice.server.id);
            }
            expect(taken).to.equal(8);
        });

        it("get no last-resort request beyond their limit when they are ejected", () => {
            const setup = limited("s-0");
            names.forEach(name => setup.catalog.get(backendServerId(name))!.state.onFailure(at, "unreachable"));
            const tried = new Set(Array.from({ length: 100 }, (_, index) => setup.chosen({ keyHash: keyOf(index) })));
            expect(tried).not.to.include("s-0");
        });
    });
});

import { expect } from "chai";
import {
    type ChoicePolicy,
    createManualClock,
    createSeededRandom,
    createServerPool,
    defaultValues,
    evidenceLimit,
    type ProbeResult,
    serverId,
    type ServerMember,
    type ServerOutcome,
    serviceId,
} from "../src/index.js";

const far = 60_000;

function member(id: string, state: ServerMember["state"] = "live"): ServerMember {
    return { id: serverId(id), service: serviceId("profil-api"), address: "10.0.0.1", port: 80, state };
}

function probe(id: string, fields: Partial<ProbeResult> = {}): ProbeResult {
    return { server: serverId(id), ready: true, leaving: false, inUse: 0, queued: 0, age: 0, ...fields };
}

function poolOf(ids: readonly string[], policy: ChoicePolicy = "deadlineSet", slowStart = 0) {
    const clock = createManualClock();
    const values = { ...defaultValues, slots: 2, slowStart };
    const pool = createServerPool({ policy, random: createSeededRandom(1), values: () => values });
    pool.applyMembers(ids.map(id => member(id)), clock.now());
    const probeAll = () => ids.forEach(id => pool.applyProbe(probe(id), clock.now()));
    probeAll();
    const choose = (except: readonly string[] = []) => pool.choose(clock.now(), far, except.map(serverId));
    const chosen = () => {
        const result = choose();
        return result.ok ? result.val.id as string : result.val.kind;
    };
    const settle = (id: string, outcome: ServerOutcome) => pool.settle(serverId(id), outcome, clock.now());
    const standing = (id: string) => pool.describe(clock.now()).find(server => server.id === id)?.standing;
    return { pool, clock, probeAll, choose, chosen, settle, standing };
}

const answered: ServerOutcome = { kind: "answered", latency: 10, serverError: false, leaving: false };

describe("server pool", () => {
    describe("a server that is leaving [P6]", () => {
        it("gets nothing from the moment the list says so", () => {
            const { pool, clock, chosen } = poolOf(["a"]);
            pool.applyMembers([member("a", "leaving")], clock.now());
            expect(chosen()).to.equal("noServerAvailable");
        });

        it("gets nothing once a probe says so, though the list is late", () => {
            const { pool, clock, chosen } = poolOf(["a"]);
            clock.advance(100);
            pool.applyProbe(probe("a", { leaving: true }), clock.now());
            expect(chosen()).to.equal("noServerAvailable");
        });

        it("gets nothing once its own answer says so, though list and probes are late", () => {
            const { chosen, settle } = poolOf(["a"]);
            expect(chosen()).to.equal("a");
            settle("a", { ...answered, leaving: true });
            expect(chosen()).to.equal("noServerAvailable");
        });

        it("gets nothing when every source falls silent for longer than the limit", () => {
            const { clock, chosen, pool } = poolOf(["a"]);
            clock.advance(evidenceLimit + 1);
            expect(pool.wantProbes(clock.now())).to.have.length(1);
            expect(chosen()).to.equal("noServerAvailable");
        });

        it("comes back when a newer probe says that it stays", () => {
            const { pool, clock, chosen } = poolOf(["a"]);
            clock.advance(10);
            pool.applyProbe(probe("a", { leaving: true }), clock.now());
            clock.advance(10);
            pool.applyProbe(probe("a"), clock.now());
            expect(chosen()).to.equal("a");
        });

        it("does not come back by an older probe that arrives late", () => {
            const { pool, clock, chosen } = poolOf(["a"]);
            clock.advance(1000);
            pool.applyProbe(probe("a", { leaving: true }), clock.now());
            pool.applyProbe(probe("a", { age: 500 }), clock.now());
            expect(chosen()).to.equal("noServerAvailable");
        });
    });

    describe("a health endpoint that contradicts real requests", () => {
        it("loses when it says ready while requests fail", () => {
            const { chosen, settle, standing, probeAll, clock } = poolOf(["a"]);
            for (let count = 0; count < 3; count++) {
                expect(chosen()).to.equal("a");
                settle("a", { kind: "brokeOff" });
            }
            clock.advance(10);
            probeAll();
            expect(standing("a")).to.equal("ejected");
        });

        it("loses when it says not ready while requests succeed", () => {
            const { chosen, settle, pool, clock } = poolOf(["a"]);
            chosen();
            settle("a", answered);
            clock.advance(100);
            pool.applyProbe(probe("a", { ready: false }), clock.now());
            expect(chosen()).to.equal("a");
        });
    });

    describe("a server that was ejected", () => {
        it("comes back by one request at a time, and for longer away each time it fails", () => {
            const { chosen, settle, clock, probeAll, standing } = poolOf(["a"]);
            chosen();
            settle("a", { kind: "unreachable" });
            expect(standing("a")).to.equal("ejected");
            clock.advance(1000);
            probeAll();
            expect(standing("a")).to.equal("trial");
            expect(chosen()).to.equal("a");
            expect(chosen()).to.equal("serversBusy");
            settle("a", { kind: "unreachable" });
            clock.advance(1000);
            probeAll();
            expect(standing("a")).to.equal("ejected");
            clock.advance(1000);
            probeAll();
            chosen();
            settle("a", answered);
            expect(standing("a")).to.equal("usable");
        });
    });

    describe("a new server", () => {
        it("starts slowly", () => {
            const { chosen, clock, probeAll, settle } = poolOf(["a"], "deadlineSet", 10);
            expect(chosen()).to.equal("a");
            expect(chosen()).to.equal("serversBusy");
            settle("a", answered);
            for (let count = 0; count < 11; count++) {
                clock.advance(1000);
                probeAll();
            }
            expect(chosen()).to.equal("a");
            expect(chosen()).to.equal("a");
        });
    });

    describe("a bounded number of requests", () => {
        it("stands at each server", () => {
            const { chosen } = poolOf(["a", "b"]);
            const all = [chosen(), chosen(), chosen(), chosen(), chosen()];
            expect(all.filter(id => id === "a")).to.have.length(2);
            expect(all.filter(id => id === "b")).to.have.length(2);
            expect(all[4]).to.equal("serversBusy");
        });

        it("does not go again to a server that this request has tried", () => {
            const { choose } = poolOf(["a", "b"]);
            const result = choose(["a"]);
            expect(result.ok && result.val.id).to.equal("b");
        });
    });

    describe("a deadline that cannot be met", () => {
        it("is refused before anything runs", () => {
            const { pool, clock, chosen, settle } = poolOf(["a"]);
            chosen();
            settle("a", { ...answered, latency: 500 });
            const result = pool.choose(clock.now(), 100, []);
            expect(result.err && result.val.kind).to.equal("deadlineTooShort");
        });
    });
});

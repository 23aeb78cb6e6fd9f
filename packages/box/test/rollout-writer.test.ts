/**
 * Writes of roll-outs' states by one box, while the store misbehaves.
 */

import type { RolloutOrder, RolloutState } from "@chalkdale/decisions";
import { milliseconds, serverVersion, serviceId } from "@chalkdale/kernel";
import { createLog } from "@chalkdale/runtime";
import { expect } from "chai";
import { createNewestOrders } from "../src/rollouts/newest-orders.js";
import { createRolloutWriter, type RolloutWriter } from "../src/rollouts/rollout-writer.js";
import { StoreError } from "../src/state/state-store.js";

const service = serviceId("profiles");
const order: RolloutOrder = {
    service,
    targetVersion: serverVersion("v2"),
    duration: milliseconds(40_000),
    state: undefined,
    createdAt: 3,
    revision: 3,
};

describe("the writer of roll-outs' states [P24]", () => {
    let now: number;
    let calls: string[];
    let answerWrite: (written: RolloutOrder, state: RolloutState) => Promise<RolloutOrder | undefined>;
    let stored: RolloutOrder | undefined;
    let writer: RolloutWriter;
    let told: (RolloutOrder | undefined)[];

    const settle = () => new Promise(resolve => setImmediate(resolve));
    const fail = () => Promise.reject(new StoreError("silent", "no answer"));
    const write = async (state: RolloutState, from = order) => {
        writer.write(from, state);
        await settle();
    };

    beforeEach(() => {
        now = 0;
        calls = [];
        told = [];
        stored = order;
        answerWrite = (written, state) => Promise.resolve({ ...written, state, revision: written.revision + 1 });
        writer = createRolloutWriter({
            clock: () => milliseconds(now),
            random: () => 0.5,
            log: createLog({ write: () => undefined }),
            store: {
                writeRolloutState(written, state) {
                    calls.push(state);
                    return answerWrite(written, state);
                },
                readRollout() {
                    calls.push("read");
                    return Promise.resolve(stored);
                },
            },
            onOrder: (_, newest) => told.push(newest),
            signal: new AbortController().signal,
        });
    });

    it("tells what the store has after a write, whoever wrote it", async () => {
        answerWrite = () => Promise.resolve({ ...order, state: "rolledBack", revision: 9 });
        await write("completed");
        expect(told.map(newest => newest?.state)).to.deep.equal(["rolledBack"]);
    });

    it("makes one write at a time, however often it is asked", async () => {
        answerWrite = () => new Promise(() => undefined);
        await write("running");
        await write("running");
        await write("rolledBack");
        expect(calls).to.deep.equal(["running"]);
    });

    it("pauses after a failure, and reads before it writes again", async () => {
        answerWrite = fail;
        await write("running");
        await write("running");
        expect([calls, writer.isFailing(service)]).to.deep.equal([["running"], true]);
        now += 1000;
        answerWrite = written => Promise.resolve({ ...written, state: "running", revision: 4 });
        await write("running");
        expect([calls, writer.isFailing(service)]).to.deep.equal([["running", "read", "running"], false]);
    });

    it("writes nothing over what a write without an answer, or another box, has done", async () => {
        answerWrite = fail;
        await write("completed");
        stored = { ...order, state: "completed", revision: 5 };
        now += 1000;
        await write("rolledBack");
        expect(calls).to.deep.equal(["completed", "read"]);
        expect(told).to.deep.equal([stored]);
    });

    it("pauses longer with each failure", async () => {
        answerWrite = fail;
        const triesIn = async (time: number) => {
            const before = calls.filter(call => call !== "read").length;
            for (const end = now + time; now < end; now += 10) {
                await write("running");
            }
            return calls.filter(call => call !== "read").length - before;
        };
        const [first, later] = [await triesIn(2000), await triesIn(2000)];
        expect(first).to.be.greaterThan(later);
        expect(later).to.be.greaterThan(0);
    });
});

describe("the newest of an order", () => {
    const running: RolloutOrder = { ...order, state: "running", revision: 5 };

    it("is what the store answered to a write, until the copy has more", () => {
        const orders = createNewestOrders(order => order);
        orders.onCopyChanged([order]);
        orders.onStored(service, running);
        expect(orders.of(service)).to.equal(running);
        const decided: RolloutOrder = { ...order, state: "rolledBack", revision: 8 };
        orders.onCopyChanged([decided]);
        expect([orders.of(service), orders.all()]).to.deep.equal([decided, [decided]]);
    });

    it("is gone once the store or the copy says so, and is a new one when that comes", () => {
        const orders = createNewestOrders(order => order);
        orders.onCopyChanged([order]);
        orders.onStored(service, undefined);
        expect([orders.of(service), orders.all()]).to.deep.equal([undefined, []]);
        const second: RolloutOrder = { ...order, targetVersion: serverVersion("v3"), createdAt: 7, revision: 7 };
        orders.onCopyChanged([second]);
        expect(orders.of(service)).to.equal(second);
        orders.onStored(service, { ...second, state: "running", revision: 8 });
        orders.onCopyChanged([]);
        expect(orders.of(service)).to.equal(undefined);
    });
});

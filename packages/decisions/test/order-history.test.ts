import { milliseconds, serverVersion, serviceId } from "@chalkdale/kernel";
import { expect } from "chai";
import { createOrderHistory, type OrderHistory, type RolloutOrder, storePosition } from "../src/index.js";

describe("orders of roll-outs across restores of the store", () => {
    const service = serviceId("profiles");
    let history: OrderHistory;

    beforeEach(() => {
        history = createOrderHistory();
    });

    const order = (epoch: number, changes: Partial<RolloutOrder> = {}): RolloutOrder => ({
        service,
        targetVersion: serverVersion("v2"),
        duration: milliseconds(20_000),
        state: undefined,
        createdAt: 9,
        revision: storePosition(epoch, 30)!,
        ...changes,
    });

    const at = (time: number) => milliseconds(time);
    /** Records an order as the store has it, and returns it under the identity by which boxes know it. */
    const record = (next: RolloutOrder, time = 0) => {
        history.onStoredOrder(next, at(time));
        return history.withKnownIdentity(next);
    };

    it("are known to have run and to have ended even if the store no longer has that state", () => {
        record(order(1, { state: "running" }));
        const afterRestore = record(order(2));
        expect([history.hasRun(afterRestore), history.outcomeOf(afterRestore)]).to.deep.equal([true, undefined]);
        record(order(2, { state: "completed" }));
        const afterSecondRestore = record(order(3, { state: "running" }));
        expect(history.outcomeOf(afterSecondRestore)).to.equal("completed");
    });

    it("keep their identity when they are rewritten as new objects, and when they change after that", () => {
        record(order(1, { state: "running" }));
        const rewritten = record(order(2, { createdAt: 77 }));
        expect([rewritten.createdAt, history.hasRun(rewritten)]).to.deep.equal([9, true]);
        expect(record(order(2, { createdAt: 77, state: "running" })).createdAt).to.equal(9);
    });

    describe("at a box that started after the restore", () => {
        const identity = (createdAt: number) => ({ service, targetVersion: serverVersion("v2"), createdAt });

        it("get the identity by which other boxes know them, and the smaller one of two", () => {
            record(order(2, { createdAt: 77 }));
            expect(history.adoptIdentity(identity(60), at(100))).to.equal(true);
            expect(history.withKnownIdentity(order(2, { createdAt: 77 })).createdAt).to.equal(60);
            expect(history.adoptIdentity(identity(77), at(200))).to.equal(false);
            expect(history.adoptIdentity(identity(9), at(300))).to.equal(true);
            expect(history.adoptIdentity(identity(60), at(400))).to.equal(false);
            expect(record(order(2, { createdAt: 77, state: "running" })).createdAt).to.equal(9);
        });

        it("keep their own identity without a restore, after the adoption time, and for another target", () => {
            record(order(0, { createdAt: 77 }));
            expect(history.adoptIdentity(identity(9), at(100))).to.equal(false);
            record(order(1, { createdAt: 88 }), 20_000);
            expect(history.adoptIdentity(identity(9), at(40_000))).to.equal(false);
            expect(history.adoptIdentity({ ...identity(9), targetVersion: serverVersion("v3") }, at(21_000))).to.equal(
                false,
            );
        });
    });

    it("are new ones with another target, another creation in the same epoch, and after being dropped", () => {
        record(order(1, { state: "rolledBack" }));
        const others = [
            order(2, { targetVersion: serverVersion("v3"), createdAt: 40 }),
            order(2, { targetVersion: serverVersion("v3"), createdAt: 41 }),
        ];
        for (const other of others) {
            expect(record(other)).to.deep.equal(other);
            expect(history.hasRun(other)).to.equal(false);
        }
        history.keepOnly(new Set());
        expect(record(order(3, { createdAt: 50 })).createdAt).to.equal(50);
    });
});

import { milliseconds, serverVersion, serviceId } from "@chalkdale/kernel";
import { expect } from "chai";
import { createOrderHistory, type OrderHistory, type RolloutOrder, storePosition } from "../src/index.js";

describe("orders of roll-outs through returns of the store", () => {
    const service = serviceId("profiles");
    let orders: OrderHistory;

    beforeEach(() => {
        orders = createOrderHistory();
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
    /** Takes an order as the store has it, and returns it as boxes know it. */
    const take = (next: RolloutOrder, time = 0) => {
        orders.onStoredOrder(next, at(time));
        return orders.withKnownIdentity(next);
    };

    it("are known to have run, and to have ended, though the store no longer says so", () => {
        take(order(1, { state: "running" }));
        const lost = take(order(2));
        expect([orders.hasRun(lost), orders.outcomeOf(lost)]).to.deep.equal([true, undefined]);
        take(order(2, { state: "completed" }));
        const older = take(order(3, { state: "running" }));
        expect(orders.outcomeOf(older)).to.equal("completed");
    });

    it("keep their identity where they are written again as other objects, also when they change later", () => {
        take(order(1, { state: "running" }));
        const again = take(order(2, { createdAt: 77 }));
        expect([again.createdAt, orders.hasRun(again)]).to.deep.equal([9, true]);
        expect(take(order(2, { createdAt: 77, state: "running" })).createdAt).to.equal(9);
    });

    describe("at a box that has started since", () => {
        const toldAs = (createdAt: number) => ({ service, targetVersion: serverVersion("v2"), createdAt });

        it("get the identity by which others know them, and the smaller one of two", () => {
            take(order(2, { createdAt: 77 }));
            expect(orders.adoptIdentity(toldAs(60), at(100))).to.equal(true);
            expect(orders.withKnownIdentity(order(2, { createdAt: 77 })).createdAt).to.equal(60);
            expect(orders.adoptIdentity(toldAs(77), at(200))).to.equal(false);
            expect(orders.adoptIdentity(toldAs(9), at(300))).to.equal(true);
            expect(orders.adoptIdentity(toldAs(60), at(400))).to.equal(false);
            expect(take(order(2, { createdAt: 77, state: "running" })).createdAt).to.equal(9);
        });

        it("keep their own where the store has never come back, later on, and for another target", () => {
            take(order(0, { createdAt: 77 }));
            expect(orders.adoptIdentity(toldAs(9), at(100))).to.equal(false);
            take(order(1, { createdAt: 88 }), 20_000);
            expect(orders.adoptIdentity(toldAs(9), at(40_000))).to.equal(false);
            expect(orders.adoptIdentity({ ...toldAs(9), targetVersion: serverVersion("v3") }, at(21_000))).to.equal(
                false,
            );
        });
    });

    it("are others with another target, with another creation in the same epoch, and after they were gone", () => {
        take(order(1, { state: "rolledBack" }));
        const others = [
            order(2, { targetVersion: serverVersion("v3"), createdAt: 40 }),
            order(2, { targetVersion: serverVersion("v3"), createdAt: 41 }),
        ];
        for (const other of others) {
            expect(take(other)).to.deep.equal(other);
            expect(orders.hasRun(other)).to.equal(false);
        }
        orders.keepOnly(new Set());
        expect(take(order(3, { createdAt: 50 })).createdAt).to.equal(50);
    });
});

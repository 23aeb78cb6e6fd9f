import { milliseconds, serverVersion, serviceId } from "@chalkdale/kernel";
import { expect } from "chai";
import { createRestoredOrders, type RestoredOrders, type RolloutOrder, storePosition } from "../src/index.js";

describe("orders of roll-outs through returns of the store", () => {
    const service = serviceId("profiles");
    let orders: RestoredOrders;

    beforeEach(() => {
        orders = createRestoredOrders();
    });

    const order = (era: number, changes: Partial<RolloutOrder> = {}): RolloutOrder => ({
        service,
        targetVersion: serverVersion("v2"),
        duration: milliseconds(20_000),
        state: undefined,
        createdAt: 9,
        revision: storePosition(era, 30)!,
        ...changes,
    });

    it("are known to have run, and to have ended, though the store no longer says so", () => {
        orders.take(order(1, { state: "running" }));
        const lost = orders.take(order(2));
        expect([orders.hasRun(lost), orders.outcomeOf(lost)]).to.deep.equal([true, undefined]);
        orders.take(order(2, { state: "completed" }));
        const older = orders.take(order(3, { state: "running" }));
        expect(orders.outcomeOf(older)).to.equal("completed");
    });

    it("keep their identity where they are written again as other objects, also when they change later", () => {
        orders.take(order(1, { state: "running" }));
        const again = orders.take(order(2, { createdAt: 77 }));
        expect([again.createdAt, orders.hasRun(again)]).to.deep.equal([9, true]);
        expect(orders.take(order(2, { createdAt: 77, state: "running" })).createdAt).to.equal(9);
    });

    it("are others with another target, with another creation in the same era, and after they were gone", () => {
        orders.take(order(1, { state: "rolledBack" }));
        const others = [
            order(2, { targetVersion: serverVersion("v3"), createdAt: 40 }),
            order(2, { targetVersion: serverVersion("v3"), createdAt: 41 }),
        ];
        for (const other of others) {
            expect(orders.take(other)).to.deep.equal(other);
            expect(orders.hasRun(other)).to.equal(false);
        }
        orders.keepOnly(new Set());
        expect(orders.take(order(3, { createdAt: 50 })).createdAt).to.equal(50);
    });
});

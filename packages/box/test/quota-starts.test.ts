/**
 * A customer that stays far within its quota is refused in the first seconds of
 * its boxes, and whenever they start again. Its callers use two boxes of six, and each of these
 * has a sixth of the quota until the box that counts has run for 1.5 s, and equal parts for 0.7 s more: 38
 * requests a second come to a box that may admit 33.
 *
 * The lines of the refused requests showed it in real processes: `quotaPart=33.3 quotaBoxes=6`
 * without a lease, then with one of 0.0 to 0.7 s of age; 3 to 13 requests of some 4,500 in each of four runs, of a
 * customer that asks 76 a second and may ask 200.
 */

import { createCoordinatorSet, type Customer, type MemberRecord, type Membership } from "@chalkdale/decisions";
import { customerId, milliseconds } from "@chalkdale/kernel";
import { expect } from "chai";
import { createCustomerQuotas, type CustomerQuotas } from "../src/quotas/customer-quotas.js";
import type { QuotaMessage } from "../src/quotas/quota-messages.js";
import { sampleMember } from "./sample-member.js";

/** Milliseconds between two rounds of messages. */
const round = 300;
/** Milliseconds of one step of the emulated time. */
const step = 10;
/** Milliseconds from a start until a box knows the others. */
const known = 100;
/** Milliseconds that a message takes. */
const way = 40;

interface EmulatedQuotaBox {
    readonly record: MemberRecord;
    quotas: CustomerQuotas;
    startedAt: number;
}

interface QuotaMessageOnTheWay {
    readonly due: number;
    readonly to: string;
    readonly deliver: () => void;
}

describe("a customer's quota while boxes start [P22]", () => {
    const count = 6;
    let now: number;
    let customer: Customer;
    let boxes: EmulatedQuotaBox[];
    let onTheWay: QuotaMessageOnTheWay[];
    let admittedAt: number[];
    let refused: number;
    /** The box that stands still, if one does. */
    let stands: number | undefined;

    beforeEach(() => {
        now = 0;
        customer = {
            id: customerId("school"),
            keys: [],
            priority: undefined,
            quota: { rate: 200, burst: 200 },
            homeRegions: [],
        };
        onTheWay = [];
        admittedAt = [];
        refused = 0;
        stands = undefined;
        boxes = [];
        for (let index = 0; index < count; index++) {
            const own = sampleMember(`b-${index}`);
            boxes.push({ record: own, startedAt: 0, quotas: create(own, 0) });
        }
    });

    function create(own: MemberRecord, startedAt: number): CustomerQuotas {
        const others = () => boxes.map(box => box.record).filter(other => other.box !== own.box);
        const isAlone = () => now - startedAt < known;
        const seen = () => isAlone() ? [own] : [own, ...others()];
        return createCustomerQuotas({
            clock: () => milliseconds(now),
            self: own.box,
            coordinators: createCoordinatorSet(),
            membership: {
                ownRecord: () => own,
                find: (box: string) => seen().find(member => member.box === box),
                alive: seen,
                recentMembers: () => seen().filter(member => member !== own),
            } as unknown as Membership,
            advertised: seen,
            tolerance: { over: 0.1, slack: 20 },
            findCustomer: () => customer,
            send: (to, message) => send(own, to, message),
            uptime: () => milliseconds(now - startedAt),
        });
    }

    function send(from: MemberRecord, to: MemberRecord, message: QuotaMessage): void {
        const deliver = () => boxes.find(box => box.record.box === to.box)?.quotas.onMessage(from, message);
        onTheWay.push({ due: now + way, to: to.box, deliver });
    }

    /** What comes to a box that stands still waits for it. */
    function isArriving({ due, to }: QuotaMessageOnTheWay): boolean {
        return due <= now && (stands === undefined || to !== boxes[stands].record.box);
    }

    function start(index: number): void {
        boxes[index].startedAt = now;
        boxes[index].quotas = create(boxes[index].record, now);
    }

    /** Plays some seconds: so many requests a second come to each of the boxes in turn. */
    async function play(seconds: number, perSecond: number, used: readonly number[]): Promise<void> {
        let due = 0;
        for (const end = now + seconds * 1000; now < end; now += step) {
            if (now % round === 0) {
                boxes.filter((_, index) => index !== stands).forEach(({ quotas }) => quotas.onGossipRound());
            }
            const arrived = onTheWay.filter(isArriving);
            onTheWay = onTheWay.filter(message => !isArriving(message));
            arrived.forEach(({ deliver }) => deliver());
            for (due += perSecond * step / 1000; due >= 1; due--) {
                const box = boxes[used[(admittedAt.length + refused) % used.length]];
                if (box.quotas.consume(customer) === undefined) {
                    admittedAt.push(now);
                }
                else {
                    refused += 1;
                }
            }
            // Reports that are due at once leave with the end of the turn.
            await new Promise(setImmediate);
        }
    }

    /** The most that any 5 s admitted, over what the quota allows in these. */
    function overshoot(): number {
        const { burst, rate } = customer.quota!;
        const most = Math.max(
            ...admittedAt.map(from => admittedAt.filter(at => at >= from && at <= from + 5000).length),
        );
        return (most - 20) / (rate * 5 + burst) - 1;
    }

    it("refuses nothing of a customer within it whose callers use two boxes", async () => {
        await play(0.5, 0, [0]);
        await play(8, 76, [0, 3]);
        expect(refused).to.equal(0);
    });

    it("refuses nothing of a customer at half of it whose callers all come to one box from its first moment on", async () => {
        await play(4, 100, [0]);
        expect(refused).to.equal(0);
    });

    it("refuses nothing while one box after the other starts again", async () => {
        await play(12, 0, [0]);
        await play(3, 76, [0, 3]);
        for (let index = 0; index < count; index++) {
            start(index);
            await play(1.2, 76, [(index + 1) % count, (index + 2) % count]);
        }
        expect(refused).to.equal(0);
    });

    it("refuses nothing once all boxes have started again", async () => {
        await play(12, 0, [0]);
        await play(4, 76, [0, 3]);
        boxes.forEach((_, index) => start(index));
        await play(0.5, 0, [0]);
        await play(6, 76, [0, 3]);
        expect(refused).to.equal(0);
    });

    it("refuses nothing as its callers move from some boxes to others", async () => {
        await play(12, 0, [0]);
        for (let turn = 0; turn < 8; turn++) {
            await play(1.7, 76, [turn % count, (turn + 1) % count]);
        }
        expect(refused).to.equal(0);
    });

    it("refuses nothing while the box that counts stands still", async () => {
        await play(3, 0, [0]);
        await play(6, 120, [0, 3]);
        for (const still of [0, 1, 2, 3, 4, 5]) {
            stands = still;
            // Whoever stands still serves nobody: its callers go to another box.
            await play(2.6, 120, [(still + 1) % count, (still + 4) % count]);
            stands = undefined;
            await play(3, 120, [(still + 1) % count, (still + 4) % count]);
        }
        expect(refused).to.equal(0);
    });

    it("is kept while a customer asks far more and the boxes that count stand still", async () => {
        await play(3, 0, [0]);
        for (const still of [0, 1, 2, 3, 4, 5]) {
            await play(2, 120, [0, 1, 2, 3, 4, 5]);
            stands = still;
            await play(2.6, 1200, [(still + 1) % count, (still + 4) % count, (still + 2) % count]);
            stands = undefined;
            await play(2, 1200, [0, 1, 2, 3, 4, 5]);
        }
        expect(overshoot()).to.be.lessThan(0.1);
    });

    for (const used of [[0, 3], [0, 1, 2, 3, 4, 5]]) {
        it(`is kept while a customer asks far more and all boxes start, at ${used.length} of them`, async () => {
            await play(0.5, 0, [0]);
            await play(4, 1200, used);
            boxes.forEach((_, index) => start(index));
            await play(0.6, 0, [0]);
            await play(6, 1200, used);
            expect(overshoot()).to.be.lessThan(0.1);
            expect(refused).to.be.greaterThan(0);
        });
    }
});

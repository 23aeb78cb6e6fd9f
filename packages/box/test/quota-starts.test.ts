/**
 * Guards against refusals of a customer far within its quota while boxes start.
 *
 * Until the quota coordinator has run for 1.5 s, and for 0.7 s more while it leases equal shares, each of six boxes may
 * admit a sixth of the quota. A customer with a quota of 200 requests a second that sends 76 to two of the boxes needs
 * 38 at a box that may admit 33. With real processes 3 to 13 of about 4,500 requests were refused, with `quotaPart=33.3
 * quotaBoxes=6` in the log: first without a lease, then with one 0.0 to 0.7 s old.
 */

import { createCoordinatorSet, type Customer, type MemberRecord, type Membership } from "@chalkdale/decisions";
import { customerId, milliseconds } from "@chalkdale/kernel";
import { expect } from "chai";
import { createCustomerQuotas, type CustomerQuotas } from "../src/quotas/customer-quotas.js";
import type { QuotaMessage } from "../src/quotas/quota-messages.js";
import { sampleMember } from "./sample-member.js";

/** Milliseconds between two gossip rounds. */
const gossipInterval = 300;
/** Milliseconds of one step of the emulated clock. */
const step = 10;
/** Milliseconds from its start until a box knows the others. */
const discoveryTime = 100;
/** Milliseconds from the sending of a message to its arrival. */
const messageDelay = 40;

interface EmulatedQuotaBox {
    readonly record: MemberRecord;
    quotas: CustomerQuotas;
    startedAt: number;
}

interface QuotaMessageInTransit {
    readonly due: number;
    readonly to: string;
    readonly deliver: () => void;
}

describe("a customer's quota while boxes start [P22]", () => {
    const count = 6;
    let now: number;
    let customer: Customer;
    let boxes: EmulatedQuotaBox[];
    let inTransit: QuotaMessageInTransit[];
    let admittedAt: number[];
    let refused: number;
    /** Index of the box whose process is paused, if there is one. */
    let pausedIndex: number | undefined;

    beforeEach(() => {
        now = 0;
        customer = {
            id: customerId("school"),
            keys: [],
            priority: undefined,
            quota: { rate: 200, burst: 200 },
            homeRegions: [],
        };
        inTransit = [];
        admittedAt = [];
        refused = 0;
        pausedIndex = undefined;
        boxes = [];
        for (let index = 0; index < count; index++) {
            const self = sampleMember(`b-${index}`);
            boxes.push({ record: self, startedAt: 0, quotas: create(self, 0) });
        }
    });

    function create(self: MemberRecord, startedAt: number): CustomerQuotas {
        const others = () => boxes.map(box => box.record).filter(other => other.box !== self.box);
        const isAlone = () => now - startedAt < discoveryTime;
        const seen = () => isAlone() ? [self] : [self, ...others()];
        return createCustomerQuotas({
            clock: () => milliseconds(now),
            self: self.box,
            coordinators: createCoordinatorSet(),
            membership: {
                ownRecord: () => self,
                find: (box: string) => seen().find(member => member.box === box),
                alive: seen,
                recentMembers: () => seen().filter(member => member !== self),
            } as unknown as Membership,
            advertised: seen,
            tolerance: { over: 0.1, slack: 20 },
            findCustomer: () => customer,
            send: (to, message) => send(self, to, message),
            uptime: () => milliseconds(now - startedAt),
        });
    }

    function send(from: MemberRecord, to: MemberRecord, message: QuotaMessage): void {
        const deliver = () => boxes.find(box => box.record.box === to.box)?.quotas.onMessage(from, message);
        inTransit.push({ due: now + messageDelay, to: to.box, deliver });
    }

    /** Messages to a paused box wait until it resumes. */
    function isArriving({ due, to }: QuotaMessageInTransit): boolean {
        return due <= now && (pausedIndex === undefined || to !== boxes[pausedIndex].record.box);
    }

    function start(index: number): void {
        boxes[index].startedAt = now;
        boxes[index].quotas = create(boxes[index].record, now);
    }

    /** Runs the emulation for some seconds; the requests go to the used boxes in turn. */
    async function play(seconds: number, requestsPerSecond: number, usedBoxes: readonly number[]): Promise<void> {
        let due = 0;
        for (const end = now + seconds * 1000; now < end; now += step) {
            if (now % gossipInterval === 0) {
                boxes.filter((_, index) => index !== pausedIndex).forEach(({ quotas }) => quotas.onGossipRound());
            }
            const arrived = inTransit.filter(isArriving);
            inTransit = inTransit.filter(message => !isArriving(message));
            arrived.forEach(({ deliver }) => deliver());
            for (due += requestsPerSecond * step / 1000; due >= 1; due--) {
                const box = boxes[usedBoxes[(admittedAt.length + refused) % usedBoxes.length]];
                if (box.quotas.consume(customer) === undefined) {
                    admittedAt.push(now);
                }
                else {
                    refused += 1;
                }
            }
            // Reports that are due at once are sent at the end of the turn.
            await new Promise(setImmediate);
        }
    }

    /**
     * Returns the fraction by which the 5 s with the most admitted requests exceed the quota, less 20 tolerated
     * requests.
     */
    function overshoot(): number {
        const { burst, rate } = customer.quota!;
        const maxAdmitted = Math.max(
            ...admittedAt.map(from => admittedAt.filter(at => at >= from && at <= from + 5000).length),
        );
        return (maxAdmitted - 20) / (rate * 5 + burst) - 1;
    }

    it("refuses no request of a customer within it whose callers use two boxes", async () => {
        await play(0.5, 0, [0]);
        await play(8, 76, [0, 3]);
        expect(refused).to.equal(0);
    });

    it("refuses no request of a customer at half of it whose callers use one box from its start", async () => {
        await play(4, 100, [0]);
        expect(refused).to.equal(0);
    });

    it("refuses no request while one box after the other restarts", async () => {
        await play(12, 0, [0]);
        await play(3, 76, [0, 3]);
        for (let index = 0; index < count; index++) {
            start(index);
            await play(1.2, 76, [(index + 1) % count, (index + 2) % count]);
        }
        expect(refused).to.equal(0);
    });

    it("refuses no request after all boxes have restarted", async () => {
        await play(12, 0, [0]);
        await play(4, 76, [0, 3]);
        boxes.forEach((_, index) => start(index));
        await play(0.5, 0, [0]);
        await play(6, 76, [0, 3]);
        expect(refused).to.equal(0);
    });

    it("refuses no request while its callers move from some boxes to others", async () => {
        await play(12, 0, [0]);
        for (let turn = 0; turn < 8; turn++) {
            await play(1.7, 76, [turn % count, (turn + 1) % count]);
        }
        expect(refused).to.equal(0);
    });

    it("refuses no request while a coordinator's process is paused", async () => {
        await play(3, 0, [0]);
        await play(6, 120, [0, 3]);
        for (const pausedBox of [0, 1, 2, 3, 4, 5]) {
            pausedIndex = pausedBox;
            // A paused box serves no requests; its callers use another box.
            await play(2.6, 120, [(pausedBox + 1) % count, (pausedBox + 4) % count]);
            pausedIndex = undefined;
            await play(3, 120, [(pausedBox + 1) % count, (pausedBox + 4) % count]);
        }
        expect(refused).to.equal(0);
    });

    it("is enforced while a customer far exceeds it and the coordinators' processes are paused", async () => {
        await play(3, 0, [0]);
        for (const pausedBox of [0, 1, 2, 3, 4, 5]) {
            await play(2, 120, [0, 1, 2, 3, 4, 5]);
            pausedIndex = pausedBox;
            await play(2.6, 1200, [(pausedBox + 1) % count, (pausedBox + 4) % count, (pausedBox + 2) % count]);
            pausedIndex = undefined;
            await play(2, 1200, [0, 1, 2, 3, 4, 5]);
        }
        expect(overshoot()).to.be.lessThan(0.1);
    });

    for (const usedBoxes of [[0, 3], [0, 1, 2, 3, 4, 5]]) {
        it(`is enforced when a customer far exceeds it and all boxes restart, on ${usedBoxes.length} of them`, async () => {
            await play(0.5, 0, [0]);
            await play(4, 1200, usedBoxes);
            boxes.forEach((_, index) => start(index));
            await play(0.6, 0, [0]);
            await play(6, 1200, usedBoxes);
            expect(overshoot()).to.be.lessThan(0.1);
            expect(refused).to.be.greaterThan(0);
        });
    }
});

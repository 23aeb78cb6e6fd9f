/**
 * Customers' quotas on one box: whom it reports to, and what it does when it
 * hears of nobody any more.
 */

import {
    coordinatorFor,
    coordinatorPairFor,
    createCoordinatorSet,
    type Customer,
    type MemberRecord,
    type Membership,
} from "@chalkdale/decisions";
import { customerId, milliseconds } from "@chalkdale/kernel";
import { expect } from "chai";
import { createCustomerQuotas } from "../src/quotas/customer-quotas.js";
import type { QuotaMessage } from "../src/quotas/quota-messages.js";
import { sampleMember as member } from "./sample-member.js";

const customer: Customer = {
    id: customerId("club"),
    keys: [],
    priority: undefined,
    quota: { rate: 120, burst: 120 },
    homeRegions: [],
};

describe("customers' quotas on a box [P22]", () => {
    const all = Array.from({ length: 12 }, (_, index) => member(`b-${index}`));
    const weak = Array.from({ length: 55 }, (_, index) => member(`w-${index}`));
    let now: number;
    let advertised: readonly MemberRecord[];
    let alive: readonly MemberRecord[];
    let sent: { readonly to: string; readonly message: QuotaMessage; }[];

    const create = () =>
        createCustomerQuotas({
            clock: () => milliseconds(now),
            self: all[1].box,
            coordinators: createCoordinatorSet(),
            membership: {
                find: (box: string) => all.find(record => record.box === box),
                ownRecord: () => all[1],
                alive: () => alive,
                recentMembers: () => all.filter(record => record !== all[1]),
            } as unknown as Membership,
            advertised: () => advertised,
            tolerance: { over: 0, slack: 0 },
            findCustomer: () => customer,
            send: (to, message) => sent.push({ to: to.box, message }),
            uptime: () => milliseconds(now),
        });
    const admitted = (quotas: ReturnType<typeof create>, seconds: number) => {
        let count = 0;
        quotas.onGossipRound();
        for (const end = now + seconds * 1000; now < end; now += 10) {
            count += quotas.consume(customer) === undefined ? 1 : 0;
            if (now % 300 === 0) {
                quotas.onGossipRound();
            }
        }
        return count;
    };

    beforeEach(() => {
        now = 60_000;
        advertised = all;
        alive = [...all, ...weak];
        sent = [];
    });

    it("are reported to the two boxes that count, which all find alike", () => {
        const search = createCoordinatorSet();
        search.update({ named: all.map(({ box }) => box), aliveCount: 67 }, milliseconds(now));
        const counters = search.current();
        expect(counters).to.have.length(4).and.not.to.include(all[1].box);
        admitted(create(), 0.6);
        const pair = coordinatorPairFor(customer.id, counters);
        expect(pair).to.have.length(2);
        expect(pair[0]).to.equal(coordinatorFor(customer.id, counters));
        expect([...new Set(sent.map(({ to }) => to))]).to.deep.equal(pair);
    });

    it("are shared by the boxes that callers are named, also right after all others were alike", () => {
        // Before any box is in service all that run are named.
        advertised = alive;
        const quotas = create();
        quotas.onGossipRound();
        now += 300;
        advertised = all;
        quotas.onGossipRound();
        expect(admitted(quotas, 5)).to.be.within(45, 60);
        expect(sent).not.to.have.length(0);
    });

    it("are an equal part while no lease comes", () => {
        // The box that counts does not answer; a twelfth of 120 a second, and a first burst.
        expect(admitted(create(), 5)).to.be.within(45, 60);
    });

    it("are not taken whole by a box that hears of nobody any more", () => {
        const quotas = create();
        admitted(quotas, 1);
        advertised = alive = [all[1]];
        expect(admitted(quotas, 10)).to.be.lessThan(10 * 120 / 4);
    });

    it("are counted by a box that is left alone for long", () => {
        const quotas = create();
        admitted(quotas, 1);
        advertised = alive = [all[1]];
        now += 30_000;
        expect(admitted(quotas, 10)).to.be.greaterThan(10 * 70);
    });

    it("are counted anew by a box that nobody reported to for a while: others may have admitted a burst", () => {
        const quotas = create();
        quotas.onGossipRound();
        const burstOf = (since: number) => {
            for (const end = now + since; now < end; now += 100) {
                quotas.onGossipRound();
            }
            sent = [];
            quotas.onMessage(all[2], { reports: [["club", 1, 1, since]] });
            return sent[0].message.leases![0][2];
        };
        burstOf(300);
        const [beforeGap, afterGap] = [burstOf(2500), burstOf(3100)];
        expect(beforeGap).to.be.greaterThan(afterGap * 2);
    });

    it("are not charged at once with all that waited while this box stood still", () => {
        const quotas = create();
        quotas.onGossipRound();
        quotas.onMessage(all[2], { reports: [["club", 30, 30, 300]] });
        now += 2600;
        sent = [];
        quotas.onMessage(all[2], { reports: [["club", 30, 30, 300]] });
        quotas.onGossipRound();
        quotas.onMessage(all[2], { reports: [["club", 30, 30, 300]] });
        expect(sent).to.deep.equal([]);
        now += 300;
        quotas.onGossipRound();
        quotas.onMessage(all[2], { reports: [["club", 30, 30, 300]] });
        expect(sent.map(({ to }) => to)).to.deep.equal(["b-2"]);
    });

    it("are used by one of the two leases, by the other's once the first one is silent", () => {
        const quotas = create();
        quotas.onGossipRound();
        const search = createCoordinatorSet();
        search.update({ named: all.map(({ box }) => box), aliveCount: 67 }, milliseconds(now));
        const [first, second] = coordinatorPairFor(customer.id, search.current()).map(box =>
            all.find(record => record.box === box)!
        );
        const lease = (from: MemberRecord, rate: number) =>
            quotas.onMessage(from, { leases: [["club", rate, 10, 0]], levels: [["club", 60]] });
        const partOfNextDenied = () => {
            for (;;) {
                const denied = quotas.consume(customer);
                if (denied !== undefined) {
                    return denied.shareRate;
                }
            }
        };
        quotas.consume(customer);
        quotas.onGossipRound();
        lease(first, 40);
        lease(second, 7);
        expect(partOfNextDenied()).to.equal(40);
        for (const end = now + 1500; now < end; now += 100) {
            quotas.consume(customer);
            quotas.onGossipRound();
            lease(second, 7);
        }
        expect(partOfNextDenied()).to.equal(7);
    });

    it("are used as before by a box that stood still itself", () => {
        const quotas = create();
        quotas.onGossipRound();
        quotas.consume(customer);
        quotas.onGossipRound();
        const search = createCoordinatorSet();
        search.update({ named: all.map(({ box }) => box), aliveCount: 67 }, milliseconds(now));
        const counter = all.find(({ box }) => box === coordinatorFor(customer.id, search.current()))!;
        quotas.onMessage(counter, { leases: [["club", 40, 25, 1]], levels: [["club", 110]] });
        now += 3000;
        const taken = Array.from({ length: 20 }, () => quotas.consume(customer));
        expect(taken.filter(denied => denied !== undefined)).to.deep.equal([]);
    });

    it("are renewed by a box that has just begun to count, if the lease is its own, and left to another's if not", () => {
        const quotas = create();
        quotas.onGossipRound();
        const answered = (box: MemberRecord, levels: QuotaMessage["levels"]) => {
            sent = [];
            quotas.onMessage(box, { reports: [["club", 3, 3, 300]], levels });
            return sent.length > 0;
        };
        expect(answered(all[2], undefined)).to.equal(true);
        now += 300;
        quotas.onGossipRound();
        expect(answered(all[2], [["club", 0, 50, 290]])).to.equal(true);
        expect(answered(all[3], [["club", 0, 50, 290]])).to.equal(false);
        expect(answered(all[4], [["club", 0, 50, 1290]])).to.equal(true);
    });

    it("tell what was refused apart from what was given back", () => {
        const quotas = create();
        for (let count = 0; count < 100; count++) {
            expect(quotas.consume(customer)).to.equal(undefined);
            quotas.refund(customer);
        }
        expect(quotas.counts()).to.deep.equal([{ customer: customer.id, rate: 120, admitted: 0, refused: 0 }]);
    });

    it("are leased to other boxes by one that counts, once it has run for a while", () => {
        const quotas = create();
        quotas.onGossipRound();
        const report: QuotaMessage = { reports: [["club", 3, 3, 300]] };
        quotas.onMessage(all[2], report);
        expect(sent.map(({ to }) => to)).to.deep.equal(["b-2"]);
        expect(sent[0].message.leases?.[0][0]).to.equal("club");
        now = 1000;
        sent = [];
        create().onMessage(all[2], report);
        expect(sent).to.deep.equal([]);
    });
});

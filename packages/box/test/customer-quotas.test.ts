/**
 * Customers' quotas on one box: which coordinators it reports to, how it leases
 * shares to others, and what it does once it has lost contact with other boxes.
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
    const unadvertised = Array.from({ length: 55 }, (_, index) => member(`w-${index}`));
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
        alive = [...all, ...unadvertised];
        sent = [];
    });

    it("are reported to the two coordinators, which every box selects alike", () => {
        const coordinatorSet = createCoordinatorSet();
        coordinatorSet.update({ advertised: all.map(({ box }) => box), aliveCount: 67 }, milliseconds(now));
        const coordinators = coordinatorSet.current();
        expect(coordinators).to.have.length(4).and.not.to.include(all[1].box);
        admitted(create(), 0.6);
        const pair = coordinatorPairFor(customer.id, coordinators);
        expect(pair).to.have.length(2);
        expect(pair[0]).to.equal(coordinatorFor(customer.id, coordinators));
        expect([...new Set(sent.map(({ to }) => to))]).to.deep.equal(pair);
    });

    it("are shared by the advertised boxes, also right after all running boxes were advertised", () => {
        // Before any box is in service, all running boxes are advertised.
        advertised = alive;
        const quotas = create();
        quotas.onGossipRound();
        now += 300;
        advertised = all;
        quotas.onGossipRound();
        expect(admitted(quotas, 5)).to.be.within(45, 60);
        expect(sent).not.to.have.length(0);
    });

    it("are an equal share while no lease arrives", () => {
        // The coordinator does not answer; a twelfth of 120 a second, and the first burst.
        expect(admitted(create(), 5)).to.be.within(45, 60);
    });

    it("are not used in full by a box that has lost contact with all others", () => {
        const quotas = create();
        admitted(quotas, 1);
        advertised = alive = [all[1]];
        expect(admitted(quotas, 10)).to.be.lessThan(10 * 120 / 4);
    });

    it("are coordinated by a box that has been the only one for long", () => {
        const quotas = create();
        admitted(quotas, 1);
        advertised = alive = [all[1]];
        now += 30_000;
        expect(admitted(quotas, 10)).to.be.greaterThan(10 * 70);
    });

    it("start over on a coordinator that got no report for a while: others may have admitted a burst", () => {
        const quotas = create();
        quotas.onGossipRound();
        const leasedBurstAfter = (since: number) => {
            for (const end = now + since; now < end; now += 100) {
                quotas.onGossipRound();
            }
            sent = [];
            quotas.onMessage(all[2], { reports: [["club", 1, 1, since]] });
            return sent[0].message.leases![0][2];
        };
        leasedBurstAfter(300);
        const [beforeGap, afterGap] = [leasedBurstAfter(2500), leasedBurstAfter(3100)];
        expect(beforeGap).to.be.greaterThan(afterGap * 2);
    });

    it("are not charged at once for all reports that were queued during a process pause", () => {
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

    it("follow the first coordinator's lease, and the second's once the first does not answer", () => {
        const quotas = create();
        quotas.onGossipRound();
        const coordinatorSet = createCoordinatorSet();
        coordinatorSet.update({ advertised: all.map(({ box }) => box), aliveCount: 67 }, milliseconds(now));
        const [first, second] = coordinatorPairFor(customer.id, coordinatorSet.current()).map(box =>
            all.find(record => record.box === box)!
        );
        const lease = (from: MemberRecord, rate: number) =>
            quotas.onMessage(from, { leases: [["club", rate, 10, 0]], levels: [["club", 60]] });
        const shareRateOfNextDenial = () => {
            for (;;) {
                const denial = quotas.consume(customer);
                if (denial !== undefined) {
                    return denial.shareRate;
                }
            }
        };
        quotas.consume(customer);
        quotas.onGossipRound();
        lease(first, 40);
        lease(second, 7);
        expect(shareRateOfNextDenial()).to.equal(40);
        for (const end = now + 1500; now < end; now += 100) {
            quotas.consume(customer);
            quotas.onGossipRound();
            lease(second, 7);
        }
        expect(shareRateOfNextDenial()).to.equal(7);
    });

    it("stay under the same lease on a box after a pause of its process", () => {
        const quotas = create();
        quotas.onGossipRound();
        quotas.consume(customer);
        quotas.onGossipRound();
        const coordinatorSet = createCoordinatorSet();
        coordinatorSet.update({ advertised: all.map(({ box }) => box), aliveCount: 67 }, milliseconds(now));
        const coordinator = all.find(({ box }) => box === coordinatorFor(customer.id, coordinatorSet.current()))!;
        quotas.onMessage(coordinator, { leases: [["club", 40, 25, 1]], levels: [["club", 110]] });
        now += 3000;
        const results = Array.from({ length: 20 }, () => quotas.consume(customer));
        expect(results.filter(denial => denial !== undefined)).to.deep.equal([]);
    });

    it("are leased by a new coordinator unless the box has a fresh lease of another one", () => {
        const quotas = create();
        quotas.onGossipRound();
        const isAnswered = (box: MemberRecord, levels: QuotaMessage["levels"]) => {
            sent = [];
            quotas.onMessage(box, { reports: [["club", 3, 3, 300]], levels });
            return sent.length > 0;
        };
        expect(isAnswered(all[2], undefined)).to.equal(true);
        now += 300;
        quotas.onGossipRound();
        expect(isAnswered(all[2], [["club", 0, 50, 290]])).to.equal(true);
        expect(isAnswered(all[3], [["club", 0, 50, 290]])).to.equal(false);
        expect(isAnswered(all[4], [["club", 0, 50, 1290]])).to.equal(true);
    });

    it("count a refunded request neither as admitted nor as refused", () => {
        const quotas = create();
        for (let count = 0; count < 100; count++) {
            expect(quotas.consume(customer)).to.equal(undefined);
            quotas.refund(customer);
        }
        expect(quotas.counts()).to.deep.equal([{ customer: customer.id, rate: 120, admitted: 0, refused: 0 }]);
    });

    it("are leased to other boxes by a coordinator once it has run for a while", () => {
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

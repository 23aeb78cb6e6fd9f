/**
 * Guards against a hot customer exceeding its quota while a third of the boxes are cut off. These boxes go on using
 * their leases, and the coordinator leaves them their shares. If the level grows by the whole rate and is charged only
 * with the requests of the other boxes, the shares of the silent boxes are allocated a second time.
 *
 * With that fault, scenarios passed or failed depending on the seed: of 24 each at 9, 12 and 67 boxes, 11, 10 and 19
 * exceeded the tenth that deployments allow, by up to 0.18. With the presumed use of silent boxes in the level, none
 * does.
 */

import { expect } from "chai";
import { leases, type QuotaScenario, simulateQuota } from "./emulated-quota.js";

/** Requests beyond the limit of a window that deployments allow. */
const allowance = 20;
/** Fraction of the limit by which deployments allow it to be exceeded in addition. */
const maxOvershoot = 0.1;
const seeds = 24;
const usualDemand = 100;

describe("a hot customer's quota over many simulations [P22]", () => {
    const worstOvershoot = (changes: Partial<QuotaScenario>) => {
        const scenarios = Array.from({ length: seeds }, (_, seed): QuotaScenario => ({
            boxCount: 12,
            quota: () => ({ rate: usualDemand * 1.6, burst: usualDemand * 1.6 }),
            demand: second => second > 8 && second < 14.5 ? usualDemand * 7.5 : usualDemand,
            callers: usualDemand / 2,
            seconds: 20,
            seed: seed + 1,
            ...changes,
        }));
        return Math.max(...scenarios.map(scenario => simulateQuota(scenario, leases, allowance).overshoot));
    };

    for (const boxCount of [9, 12, 67]) {
        it(`is kept by ${boxCount} boxes`, () => {
            expect(worstOvershoot({ boxCount })).to.be.lessThan(maxOvershoot);
        });

        it(`is kept by ${boxCount} boxes of which a third are cut off`, () => {
            const isCutOff = (box: number, second: number) => box % 3 === 0 && second > 6 && second < 18;
            expect(worstOvershoot({ boxCount, isCutOff })).to.be.lessThan(maxOvershoot);
        });

        it(`is kept by ${boxCount} boxes that all restart`, () => {
            expect(worstOvershoot({ boxCount, restartAt: 10 })).to.be.lessThan(maxOvershoot);
        });

        it(`is kept by ${boxCount} boxes that lose the quota coordinator`, () => {
            expect(worstOvershoot({ boxCount, coordinatorLostAt: 9 })).to.be.lessThan(maxOvershoot);
        });
    }
});

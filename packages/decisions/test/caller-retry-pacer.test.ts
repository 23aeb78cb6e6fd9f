import { createSeededRandom, milliseconds, serviceId } from "@chalkdale/kernel";
import { expect } from "chai";
import { createCallerRetryPacer } from "../src/index.js";

describe("the return of callers beyond the rates that servers name", () => {
    const service = serviceId("profiles");
    const at = milliseconds(1000);

    it("is one after the other as the rate allows", () => {
        const returns = createCallerRetryPacer(() => 0);
        const times = Array.from({ length: 4 }, () => returns.nextRetryAfter(service, 10, at));
        expect(times).to.deep.equal([150, 250, 350, 450]);
        expect(returns.nextRetryAfter(serviceId("packs"), 10, at)).to.equal(150);
    });

    it("is spread where there is no room for long", () => {
        const returns = createCallerRetryPacer(createSeededRandom(1));
        const times = Array.from({ length: 200 }, () => returns.nextRetryAfter(service, 1, at));
        expect(Math.max(...times)).to.be.at.most(2000);
        const late = times.filter(time => time > 1050);
        for (const from of [1050, 1300, 1550, 1800]) {
            expect(late.filter(time => time >= from && time < from + 250).length).to.be.greaterThan(25);
        }
        expect(returns.nextRetryAfter(serviceId("packs"), 0, at)).to.be.within(1000, 2000);
    });
});

import { createSeededRandom, milliseconds, serviceId } from "@chalkdale/kernel";
import { expect } from "chai";
import { createCallerRetryPacer } from "../src/index.js";

describe("the retries of callers beyond the rate limits of servers", () => {
    const service = serviceId("profiles");
    const at = milliseconds(1000);

    it("are scheduled one after the other at the allowed rate", () => {
        const pacer = createCallerRetryPacer(() => 0);
        const delays = Array.from({ length: 4 }, () => pacer.nextRetryAfter(service, 10, at));
        expect(delays).to.deep.equal([150, 250, 350, 450]);
        expect(pacer.nextRetryAfter(serviceId("packs"), 10, at)).to.equal(150);
    });

    it("are spread over the last second if no earlier time is left", () => {
        const pacer = createCallerRetryPacer(createSeededRandom(1));
        const delays = Array.from({ length: 200 }, () => pacer.nextRetryAfter(service, 1, at));
        expect(Math.max(...delays)).to.be.at.most(2000);
        const late = delays.filter(delay => delay > 1050);
        for (const from of [1050, 1300, 1550, 1800]) {
            expect(late.filter(delay => delay >= from && delay < from + 250).length).to.be.greaterThan(25);
        }
        expect(pacer.nextRetryAfter(serviceId("packs"), 0, at)).to.be.within(1000, 2000);
    });
});

import { serviceId } from "@chalkdale/kernel";
import { expect } from "chai";
import { createWeightedSplit } from "../src/index.js";

describe("weighted split", () => {
    it("gives each destination its share to within one request [P20]", () => {
        const next = createWeightedSplit([
            { service: serviceId("a"), weight: 90 },
            { service: serviceId("b"), weight: 10 },
        ]);
        const picked = Array.from({ length: 1000 }, next);
        expect(picked.filter(service => service === "b").length).to.equal(100);
        for (let start = 0; start + 20 <= 1000; start += 20) {
            expect(picked.slice(start, start + 20).filter(service => service === "b").length).to.be.within(1, 3);
        }
    });
});

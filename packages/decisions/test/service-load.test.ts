import { serviceId } from "@chalkdale/kernel";
import { expect } from "chai";
import { createServiceLoad } from "../src/index.js";

describe("service load", () => {
    const service = serviceId("profiles");
    const full = { running: 4, waiting: 4, slots: 4 };

    it("is zero before the first report", () => {
        expect(createServiceLoad().perSlot(service)).to.equal(0);
    });

    it("follows the reports of servers with smoothing", () => {
        const load = createServiceLoad();
        load.onReport(service, full);
        expect(load.perSlot(service)).to.be.within(0, 0.2);
        Array.from({ length: 100 }, () => load.onReport(service, full));
        expect(load.perSlot(service)).to.be.within(1.9, 2);
    });

    it("is kept for each service", () => {
        const load = createServiceLoad();
        Array.from({ length: 100 }, () => load.onReport(service, full));
        expect(load.perSlot(serviceId("saves"))).to.equal(0);
    });

    it("ignores a report without slots", () => {
        const load = createServiceLoad();
        load.onReport(service, { running: 1, waiting: 0, slots: 0 });
        expect(load.perSlot(service)).to.equal(0);
    });
});

import { milliseconds, serviceId } from "@chalkdale/kernel";
import { expect } from "chai";
import { createIdleTimeoutEstimate } from "../src/index.js";

describe("idle timeout estimate", () => {
    const service = serviceId("profiles");
    const upperBound = milliseconds(2000);
    const idleTimeAfter = (...resets: readonly (readonly [idleTime: number, after: number])[]) => {
        const estimate = createIdleTimeoutEstimate();
        resets.forEach(([idleTime, after]) =>
            estimate.onReset(service, milliseconds(idleTime), milliseconds(after), milliseconds(0))
        );
        return (at: number) => estimate.maxIdleTime(service, upperBound, milliseconds(at));
    };

    it("is the deployment's limit before the first reset", () => {
        expect(idleTimeAfter()(0)).to.equal(2000);
    });

    it("is half of the shortest idle time that led to a reset, for 10 s", () => {
        const maxIdleTimeAt = idleTimeAfter([900, 5], [300, 2], [700, 3]);
        expect(maxIdleTimeAt(10_000)).to.equal(150);
        expect(maxIdleTimeAt(10_001)).to.equal(2000);
    });

    it("ignores resets of connections that were hardly idle, or while the server worked", () => {
        expect(idleTimeAfter([20, 1], [500, 250])(0)).to.equal(2000);
    });

    it("is learned for each service separately", () => {
        const estimate = createIdleTimeoutEstimate();
        estimate.onReset(service, milliseconds(300), milliseconds(1), milliseconds(0));
        expect(estimate.maxIdleTime(serviceId("packs"), upperBound, milliseconds(0))).to.equal(2000);
    });
});

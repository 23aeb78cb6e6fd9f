import { milliseconds, serviceId } from "@chalkdale/kernel";
import { expect } from "chai";
import { createIdleTimeoutEstimate } from "../src/index.js";

describe("the life of idle connections", () => {
    const service = serviceId("profiles");
    const longest = milliseconds(2000);
    const rests = (...resets: readonly (readonly [rest: number, after: number])[]) => {
        const life = createIdleTimeoutEstimate();
        resets.forEach(([rest, after]) =>
            life.onReset(service, milliseconds(rest), milliseconds(after), milliseconds(0))
        );
        return (at: number) => life.maxIdleTime(service, longest, milliseconds(at));
    };

    it("is what the deployment's rules say until one was too long", () => {
        expect(rests()(0)).to.equal(2000);
    });

    it("is half of the shortest that was too long, for some seconds", () => {
        const restAt = rests([900, 5], [300, 2], [700, 3]);
        expect(restAt(10_000)).to.equal(150);
        expect(restAt(10_001)).to.equal(2000);
    });

    it("is not learned from connections that hardly rested, or were reset while the server worked", () => {
        expect(rests([20, 1], [500, 250])(0)).to.equal(2000);
    });

    it("is learned for each service by itself", () => {
        const life = createIdleTimeoutEstimate();
        life.onReset(service, milliseconds(300), milliseconds(1), milliseconds(0));
        expect(life.maxIdleTime(serviceId("packs"), longest, milliseconds(0))).to.equal(2000);
    });
});

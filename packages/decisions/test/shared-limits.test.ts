import { milliseconds, serviceId } from "@chalkdale/kernel";
import { expect } from "chai";
import { createMembership, createSharedLimits } from "../src/index.js";
import { createMember } from "./member.js";

/** Milliseconds after which every silent box counts as failed. */
const failed = 5000;
const acceptedConnections = 400;

describe("connections of all boxes to one server", () => {
    const service = serviceId("profiles");
    const boxes = Array.from({ length: 12 }, (_, index) => createMember(`box-${index}`));

    /** Limits of the first box, which hears from the others only at the beginning. */
    function createLimits() {
        let now = 0;
        const membership = createMembership(boxes[0]);
        boxes.slice(1).forEach(box => membership.onHeard(box, milliseconds(0)));
        const limits = createSharedLimits({
            clock: () => milliseconds(now),
            self: boxes[0].box,
            membership,
            retries: { ratio: 0.2, window: milliseconds(10_000), allowance: 58 },
            random: () => 0.5,
            serverConnectionLimit: () => acceptedConnections,
            onAdvertisedChanged: () => undefined,
        });
        return {
            limits,
            loseOthers() {
                now = failed;
                boxes.slice(1).forEach(({ box }) => membership.onProbeFailed(box, milliseconds(1)));
            },
        };
    }

    it("stay within what the server accepts after the boxes have lost each other", () => {
        const { limits, loseOthers } = createLimits();
        expect(limits.maxConnectionsPerServer(service) * boxes.length).to.be.within(200, acceptedConnections);
        loseOthers();
        expect(limits.advertised().length).to.equal(1);
        expect(limits.maxConnectionsPerServer(service) * boxes.length).to.be.at.most(acceptedConnections);
    });
});

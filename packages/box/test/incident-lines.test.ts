/**
 * Lines by which a request that reached a leaving server is traced: the latest
 * sends to each server, and a process that stood still.
 */

import { backendServerId, type Milliseconds, milliseconds } from "@chalkdale/kernel";
import { createLog } from "@chalkdale/runtime";
import { expect } from "chai";
import { createRecentSends } from "../src/servers/recent-sends.js";
import { createStallDetector } from "../src/stall-detector.js";

describe("lines that trace a late request", () => {
    let now: Milliseconds;
    const clock = () => now;

    beforeEach(() => {
        now = milliseconds(1000);
    });

    describe("the latest sends to a server", () => {
        const server = backendServerId("i-1");
        const sendOf = (requestId: string | undefined) => ({
            requestId,
            chosenAt: milliseconds(now - 3),
            sentAt: now,
            listAge: milliseconds(8200),
        });

        it("tell of each its id, its age, its wait for a connection, and the age of the list", () => {
            const sends = createRecentSends(clock);
            sends.add(server, sendOf("r-1"));
            now = milliseconds(1500);
            sends.add(server, sendOf(undefined));
            now = milliseconds(1600);
            expect(sends.describe(server)).to.equal("unnamed:100:3:8200,r-1:600:3:8200");
        });

        it("keep the latest eight, and nothing of a server that is forgotten", () => {
            const sends = createRecentSends(clock);
            for (let index = 0; index < 20; index++) {
                sends.add(server, sendOf(`r-${index}`));
            }
            expect(sends.describe(server)?.split(",")).to.have.length(8);
            expect(sends.describe(server)).to.match(/^r-19:/);
            sends.forget(server);
            expect(sends.describe(server)).to.equal(undefined);
        });
    });

    describe("a process that stood still", () => {
        it("leaves a line, and one that is merely busy none", () => {
            const lines: string[] = [];
            const onTick = createStallDetector(clock, createLog({ write: line => lines.push(line) }), 250);
            now = milliseconds(1900);
            onTick();
            expect(lines).to.deep.equal([]);
            now = milliseconds(4400);
            onTick();
            expect(lines).to.have.length(1);
            expect(lines[0]).to.include("event=box.stalled for=2250");
        });
    });
});

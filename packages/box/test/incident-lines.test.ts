/**
 * Log lines that trace why a request reached a server that was leaving: the most
 * recent sends to each server, and pauses of the process.
 */

import { backendServerId, type Milliseconds, milliseconds } from "@chalkdale/kernel";
import { createLog } from "@chalkdale/runtime";
import { expect } from "chai";
import { createRecentSends } from "../src/servers/recent-sends.js";
import { createStallDetector } from "../src/stall-detector.js";

describe("log lines that trace a late request", () => {
    let now: Milliseconds;
    const clock = () => now;

    beforeEach(() => {
        now = milliseconds(1000);
    });

    describe("the most recent sends to a server", () => {
        const server = backendServerId("i-1");
        const sendOf = (requestId: string | undefined) => ({
            requestId,
            chosenAt: milliseconds(now - 3),
            sentAt: now,
            listAge: milliseconds(8200),
        });

        it("are logged with request id, age, wait for a connection, and age of the server list", () => {
            const sends = createRecentSends(clock);
            sends.add(server, sendOf("r-1"));
            now = milliseconds(1500);
            sends.add(server, sendOf(undefined));
            now = milliseconds(1600);
            expect(sends.describe(server)).to.equal("unnamed:100:3:8200,r-1:600:3:8200");
        });

        it("are bounded to eight, and dropped when the server is forgotten", () => {
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

    describe("a process pause", () => {
        it("is logged, while a delay of a merely busy process is not", () => {
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

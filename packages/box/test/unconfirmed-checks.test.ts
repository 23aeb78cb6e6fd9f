import { type BackendServer, createServerState } from "@chalkdale/decisions";
import { availabilityZoneId, backendServerId, type BoxId, boxId, hashText, milliseconds } from "@chalkdale/kernel";
import { expect } from "chai";
import { createUnconfirmedChecks } from "../src/servers/unconfirmed-checks.js";
import { createSampleRecord } from "./sample-server.js";

describe("checks of servers while the store confirms no records [P14]", () => {
    const noRequests = { allows: () => false, onSent: () => undefined, onNotSent: () => undefined, ownRate: () => 0 };
    const boxes = Array.from({ length: 9 }, (_, index) => boxId(`box-${index}`));
    const names = Array.from({ length: 12 }, (_, index) => `s-${index}`);

    function createServer(name: string, zone = "north-a"): BackendServer {
        const record = { ...createSampleRecord(name), zone: availabilityZoneId(zone) };
        const state = createServerState(record, milliseconds(0), {
            recordPropagationDelay: milliseconds(0),
            slowStart: noRequests,
            createLimitShare: () => noRequests,
        });
        return { id: backendServerId(name), idHash: hashText(name), state, addedAt: undefined };
    }

    /** Counts the checks of each server by all boxes together in 10 s. */
    function countChecks(isStoreUnavailable: boolean, equalParts: number | undefined): readonly number[] {
        const counts = new Map<string, number>(names.map(name => [name, 0]));
        let now = 0;
        const fleet = boxes.map((self: BoxId) => ({
            servers: names.map(name => createServer(name)),
            checks: createUnconfirmedChecks({
                clock: () => milliseconds(now),
                self,
                limits: { eligibleSenders: () => boxes, equalParts: () => equalParts },
                isStoreUnavailable: () => isStoreUnavailable,
                serversAge: () => 2000,
                admitsZone: () => true,
            }),
        }));
        for (; now < 10_000; now += 250) {
            for (const { checks, servers } of fleet) {
                servers.filter(checks.takeDue).forEach(({ id }) => counts.set(id, counts.get(id)! + 1));
            }
        }
        return [...counts.values()];
    }

    it("are none while the store answers", () => {
        expect(new Set(countChecks(true, Infinity))).to.deep.equal(new Set([0]));
        expect(new Set(countChecks(false, undefined))).to.deep.equal(new Set([0]));
    });

    it("are two a second at each server by all boxes together, whether these see each other or not", () => {
        // In 10 s; the intervals of boxes that don't see each other do not divide the run.
        countChecks(true, undefined).forEach(count => expect(count).to.be.within(15, 25));
        countChecks(true, boxes.length).forEach(count => expect(count).to.be.within(15, 25));
    });

    it("leave out servers that are cold or leaving, ask for back-off, or are in a closed zone", () => {
        const [cold, leaving, backedOff, other] = names.slice(0, 4).map(name => createServer(name));
        const closed = createServer("s-closed", "north-closed");
        backedOff.state.onBackoff(milliseconds(0), milliseconds(60_000));
        cold.state.onCold(milliseconds(0), milliseconds(60_000));
        leaving.state.onLeaving();
        let now = 0;
        const { takeDue } = createUnconfirmedChecks({
            clock: () => milliseconds(now),
            self: boxes[0],
            limits: { eligibleSenders: () => [boxes[0]], equalParts: () => undefined },
            isStoreUnavailable: () => true,
            serversAge: () => 2000,
            admitsZone: zone => zone !== "north-closed",
        });
        const checked = new Set<string>();
        for (; now < 2000; now += 250) {
            [cold, leaving, backedOff, closed, other].filter(takeDue).forEach(({ id }) => checked.add(id));
        }
        expect([...checked]).to.deep.equal([other.id]);
    });
});

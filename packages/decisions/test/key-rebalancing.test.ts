/**
 * An availability zone that is taken back gets no work. Its keys were sent to other servers while it was closed, and
 * a server that a key was sent to in the last 10 s counts as the one that knows it: at the key's own server half of the
 * extra work of an unknown key is expected, which is more than the 100 ms that a place away from it costs. A key that
 * is asked for at least each 10 s therefore never comes back while its second server has room.
 *
 * In real processes, with 17 keys that callers ask for all the time and a zone that is closed for 9 s: in two of three runs none ran
 * in the zone in the 7 s after it was opened again. `places.changed closed=none` stands in the logs of all boxes, and
 * the lines of later requests tell `rank=1 warm=true`. Where one did, a key had been asked for at its own server less than 10 s
 * before, and counted as known there still.
 */

import { availabilityZoneId, backendServerId, milliseconds, serviceId } from "@chalkdale/kernel";
import { expect } from "chai";
import { createKeyRebalancing } from "../src/choose/key-rebalancing.js";
import { hashKey } from "../src/index.js";
import { at, createRecord, createRoute, createSetup } from "./choice-setup.js";

describe("keys of servers that could not have them for a while", () => {
    const service = serviceId("profiles");
    const keys = Array.from({ length: 200 }, (_, index) => hashKey(service, `key-${index}`));
    const records = Array.from(
        { length: 8 },
        (_, index) => createRecord(`i-${index}`, { zone: availabilityZoneId(index < 4 ? "north-a" : "north-b") }),
    );
    const isInB = (server: string) => Number(server.split("-")[1]) >= 4;
    /** Milliseconds between two requests for a key: callers ask for all keys all the time. */
    const interval = 250;
    let setup: ReturnType<typeof createSetup>;
    let closed: string[];
    let now: number;

    beforeEach(() => {
        closed = [];
        setup = createSetup(records, closed);
        now = at;
        for (let count = 0; count < 60; count++) {
            setup.work.onMeasured(createRoute(), true, milliseconds(100));
            setup.work.onMeasured(createRoute(), false, milliseconds(480));
        }
        ask(2000);
    });

    /** Asks for all keys for some milliseconds; returns where each was served last. */
    function ask(duration: number): Map<number, string> {
        const servers = new Map<number, string>();
        for (const end = now + duration; now < end; now += interval) {
            for (const keyHash of keys) {
                const server = setup.chosen({ keyHash, at: milliseconds(now) });
                setup.recentKeys.add(backendServerId(server), keyHash, milliseconds(now));
                servers.set(keyHash, server);
            }
        }
        return servers;
    }

    const countInB = (servers: ReadonlyMap<number, string>) => [...servers.values()].filter(isInB).length;

    it("come back within 10 s once their zone is taken back, a few at a time [P16]", () => {
        const before = ask(interval);
        closed.push("north-b");
        expect(countInB(ask(12_000))).to.equal(0);
        closed.pop();
        const counts = Array.from({ length: 10 }, () => countInB(ask(1000)));
        expect(counts.at(-1)).to.be.at.least(countInB(before) * 0.95);
        // Those whose two first servers were both away come at once: the server that knows them now is not compared.
        const steps = counts.slice(1).map((count, index) => count - counts[index]);
        expect(Math.max(...steps)).to.be.at.most(countInB(before) * 0.25);
    });

    it("go to a server that is added, as many as it has slots for", () => {
        setup.catalog.applyList([...records, createRecord("i-8")], milliseconds(now));
        const added = [...ask(10_000 + interval).values()].filter(server => server === "i-8").length;
        expect(added / keys.length).to.be.within(0.5 / 9, 2 / 9);
    });

    it("come back to a server that was ejected", () => {
        const before = ask(interval);
        const server = setup.catalog.get(backendServerId("i-5"))!;
        server.state.onFailure(milliseconds(now), "unreachable");
        const away = ask(interval);
        expect([...away.values()]).not.to.include("i-5");
        server.state.onHealthy();
        const after = ask(12_000);
        const own = keys.filter(key => before.get(key) === "i-5");
        expect(own.filter(key => after.get(key) === "i-5").length).to.be.at.least(own.length * 0.95);
    });

    it("come back to a server that has started again, though it was away long before as well", () => {
        const returning = createKeyRebalancing();
        const server = { ...setup.catalog.get(backendServerId("i-5"))!, addedAt: milliseconds(now) };
        returning.onUnavailable(server, milliseconds(now - 30_000));
        const due = keys.filter(key => returning.isDue(server, key, milliseconds(now + 10_000)));
        expect(due).to.have.length(keys.length);
    });
});

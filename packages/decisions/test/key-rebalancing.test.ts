/**
 * Guards against a reopened availability zone that gets no work. While it is closed, its keys are sent to other
 * servers, and a server counts as warm for a key that was sent to it in the last 10 s. At the key's first server half
 * of the extra time of cold work is expected, more than the 100 ms that moving a key costs. A key that is requested at
 * least every 10 s would therefore never return while its second server has free slots; the logs then show `rank=1` and
 * `warm=true` for its requests after `places.changed closed=none`.
 */

import { availabilityZoneId, backendServerId, milliseconds, serviceId } from "@chalkdale/kernel";
import { expect } from "chai";
import { createKeyRebalancing } from "../src/choose/key-rebalancing.js";
import { hashKey } from "../src/index.js";
import { at, createRecord, createRoute, createSetup } from "./choice-setup.js";

describe("keys of servers that were unavailable", () => {
    const service = serviceId("profiles");
    const keys = Array.from({ length: 200 }, (_, index) => hashKey(service, `key-${index}`));
    const records = Array.from(
        { length: 8 },
        (_, index) => createRecord(`i-${index}`, { zone: availabilityZoneId(index < 4 ? "north-a" : "north-b") }),
    );
    const isInB = (server: string) => Number(server.split("-")[1]) >= 4;
    /** Milliseconds between two requests for each key. */
    const interval = 250;
    let setup: ReturnType<typeof createSetup>;
    let closed: string[];
    let now: number;

    beforeEach(() => {
        closed = [];
        setup = createSetup(records, closed);
        now = at;
        for (let count = 0; count < 60; count++) {
            setup.workEstimate.onMeasured(createRoute(), true, milliseconds(100));
            setup.workEstimate.onMeasured(createRoute(), false, milliseconds(480));
        }
        requestKeys(2000);
    });

    /** Requests all keys repeatedly for `duration` milliseconds; returns the last server of each key. */
    function requestKeys(duration: number): Map<number, string> {
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

    it("return within 10 s after their zone is reopened, a few at a time [P16]", () => {
        const before = requestKeys(interval);
        closed.push("north-b");
        expect(countInB(requestKeys(12_000))).to.equal(0);
        closed.pop();
        const counts = Array.from({ length: 10 }, () => countInB(requestKeys(1000)));
        expect(counts.at(-1)).to.be.at.least(countInB(before) * 0.95);
        // Keys whose first two servers were both in the zone return at once: the server that is warm for them is not
        // compared.
        const increases = counts.slice(1).map((count, index) => count - counts[index]);
        expect(Math.max(...increases)).to.be.at.most(countInB(before) * 0.25);
    });

    it("move to an added server in proportion to its slots", () => {
        setup.catalog.applyList([...records, createRecord("i-8")], milliseconds(now));
        const added = [...requestKeys(10_000 + interval).values()].filter(server => server === "i-8").length;
        expect(added / keys.length).to.be.within(0.5 / 9, 2 / 9);
    });

    it("return to a server that was ejected", () => {
        const before = requestKeys(interval);
        const server = setup.catalog.get(backendServerId("i-5"))!;
        server.state.onFailure(milliseconds(now), "unreachable");
        const whileEjected = requestKeys(interval);
        expect([...whileEjected.values()]).not.to.include("i-5");
        server.state.onHealthy();
        const after = requestKeys(12_000);
        const ownKeys = keys.filter(key => before.get(key) === "i-5");
        expect(ownKeys.filter(key => after.get(key) === "i-5").length).to.be.at.least(ownKeys.length * 0.95);
    });

    it("return to a restarted server even if it had been unavailable long before", () => {
        const keyRebalancing = createKeyRebalancing();
        const server = { ...setup.catalog.get(backendServerId("i-5"))!, addedAt: milliseconds(now) };
        keyRebalancing.onUnavailable(server, milliseconds(now - 30_000));
        const dueKeys = keys.filter(key => keyRebalancing.isDue(server, key, milliseconds(now + 10_000)));
        expect(dueKeys).to.have.length(keys.length);
    });
});

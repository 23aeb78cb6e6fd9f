import { availabilityZoneId, createSeededRandom, hashText, milliseconds, regionId } from "@chalkdale/kernel";
import { expect } from "chai";
import { topRankedServers } from "../src/choose/server-ranking.js";
import {
    createTransferSizes,
    type Proximity,
    type Route,
    type RouteKind,
    type SizeClass,
    transferPenalty,
    type TransferSizes,
} from "../src/index.js";
import { createRecord, createRoute, createSetup } from "./choice-setup.js";

const proximities: readonly Proximity[] = ["sameZone", "sameRegion", "otherRegion"];

const southernLocality = { region: regionId("south"), zone: availabilityZoneId("south-a") };

function learn(sizes: TransferSizes, route: Route, bytes: number, times = 400): void {
    for (let count = 0; count < times; count++) {
        sizes.onTransferred(route, bytes);
    }
}

describe("transfer sizes", () => {
    it("follow the kind of the route before the first request", () => {
        const sizes = createTransferSizes();
        const kinds: readonly RouteKind[] = ["safe", "unsafe", "upload", "download"];
        const routes = kinds.map(kind => createRoute({ kind, name: kind }));
        expect(routes.map(sizes.expected)).to.deep.equal([500, 500, 60_000, 90_000]);
        expect(routes.map(sizes.sizeClass)).to.deep.equal(["small", "small", "large", "bulk"]);
    });

    it("are learned for any kind of route", () => {
        const sizes = createTransferSizes();
        const cases: readonly (readonly [RouteKind, number, SizeClass])[] = [
            ["safe", 5300, "small"],
            ["safe", 60_000, "large"],
            ["unsafe", 300_000, "bulk"],
            ["download", 2000, "small"],
            ["upload", 1000, "small"],
        ];
        for (const [kind, bytes, sizeClass] of cases) {
            const route = createRoute({ kind, name: `${kind} ${bytes}` });
            learn(sizes, route, bytes);
            expect(sizes.expected(route)).to.be.closeTo(bytes, bytes * 0.1);
            expect(sizes.sizeClass(route)).to.equal(sizeClass);
        }
    });

    it("give boxes with different requests the same size class, also near an edge", () => {
        for (const mean of [400, 5300, 15_000, 20_000, 25_000, 60_000, 90_000, 110_000]) {
            const classes = Array.from({ length: 20 }, (_, seed) => {
                const random = createSeededRandom(seed + 1);
                const sizes = createTransferSizes();
                const route = createRoute({ kind: mean > 70_000 ? "download" : mean > 20_000 ? "upload" : "safe" });
                for (let count = 0; count < 1000; count++) {
                    sizes.onTransferred(route, mean * (0.2 + 1.6 * random()));
                }
                return sizes.sizeClass(route);
            });
            expect(new Set(classes).size, String(mean)).to.equal(1);
        }
    });
});

describe("transfer costs", () => {
    it("are 0 for small transfers, 100 ms (zones) to 600 ms (regions) for 90 KB, and never fall with size", () => {
        expect(proximities.map(proximity => transferPenalty(1500, proximity))).to.deep.equal([0, 0, 0]);
        expect(transferPenalty(90_000, "sameRegion")).to.be.closeTo(100, 5);
        expect(transferPenalty(90_000, "otherRegion")).to.be.closeTo(600, 10);
        for (const proximity of proximities) {
            const costs = [0, 1000, 5000, 20_000, 60_000, 90_000, 1_000_000].map(bytes =>
                transferPenalty(bytes, proximity)
            );
            expect(costs).to.deep.equal([...costs].sort((a, b) => a - b));
        }
    });

    it("keep most large requests in the zone while its servers have free slots", () => {
        const ownZone = ["s-1", "s-2", "s-3"].map(name => createRecord(name));
        const ownRegion = ["n-1", "n-2", "n-3"].map(name =>
            createRecord(name, { zone: availabilityZoneId("north-b") })
        );
        const otherRegion = ["f-1", "f-2", "f-3"].map(name => createRecord(name, southernLocality));
        const setup = createSetup([...ownZone, ...ownRegion, ...otherRegion]);
        const shareOfZone = (route: Route) => {
            const servers = Array.from(
                { length: 400 },
                (_, key) => setup.chosen({ route, keyHash: hashText(`key-${key}`) }),
            );
            return servers.filter(server => server.startsWith("s-")).length / servers.length;
        };
        const lookups = createRoute({ name: "lookups" });
        const before = shareOfZone(lookups);
        learn(setup.transferSizes, lookups, 60_000);
        expect(before).to.be.within(0.35, 0.55);
        expect(shareOfZone(lookups)).to.be.within(0.7, 0.9);
    });

    it("don't overload a zone with few servers [P2]", () => {
        const onlyServer = createRecord("s-1");
        const ownRegion = { zone: availabilityZoneId("north-b") };
        const others = Array.from(
            { length: 11 },
            (_, index) => createRecord(`f-${index}`, index < 5 ? ownRegion : southernLocality),
        );
        const { catalog, request } = createSetup([onlyServer, ...others]);
        const servers = catalog.ofService(request().service);
        const box = { region: onlyServer.region, zone: onlyServer.zone };
        const firstServers = Array.from({ length: 2000 }, (_, key) => {
            const [first] = topRankedServers(
                servers,
                { keyHash: hashText(`key-${key}`), sizeClass: "large" },
                box,
                1,
            );
            return first.id;
        });
        // A third of the callers are in the zone, and the zone has one of twelve servers.
        const load = firstServers.filter(server => server === onlyServer.id).length / firstServers.length / 3 * 12;
        expect(load).to.be.within(0.6, 1);
    });

    it("send uploads to other servers when the few servers of the zone are full [P2]", () => {
        const ownZone = [createRecord("s-1")];
        const otherRegion = ["f-1", "f-2", "f-3"].map(name => createRecord(name, southernLocality));
        const setup = createSetup([...ownZone, ...otherRegion]);
        const route = createRoute({ kind: "upload", goal: milliseconds(600) });
        const served = new Map<string, number>();
        for (let key = 0; key < 14; key++) {
            const choice = setup.choose(setup.request({ route, keyHash: hashText(`key-${key}`) }));
            if (choice.kind === "chosen") {
                choice.server.state.onSent();
                served.set(choice.server.id, (served.get(choice.server.id) ?? 0) + 1);
            }
        }
        expect([...served.values()].reduce((sum, count) => sum + count)).to.equal(14);
        expect(served.get("s-1")).to.be.within(4, 8);
    });
});

import type { MemberRecord } from "@chalkdale/decisions";
import { availabilityZoneId, boxId, incarnationId, regionId } from "@chalkdale/kernel";
import { expect } from "chai";
import { findAnomalousBoxes, zoneRows } from "../src/fleet-summary.js";
import type { BoxWithMetrics } from "../src/running-boxes.js";

function createBox(
    name: string,
    member: Partial<MemberRecord> = {},
    values: Readonly<Record<string, number>> | undefined = {},
): BoxWithMetrics {
    const record: MemberRecord = {
        box: boxId(name),
        incarnation: incarnationId("1"),
        heartbeat: 1,
        leaving: false,
        ready: true,
        region: regionId("north"),
        zone: availabilityZoneId("north-a"),
        peerAddress: `${name}:1`,
        callerAddress: `${name}:2`,
        capacity: 1,
        load: 0.2,
        ...member,
    };
    const told = { configuration_version: 7, servers_revision: 90, boxes_alive: 4, callers_in_flight: 2, ...values };
    return {
        member: record,
        metrics: Object.entries(told).map(([metric, value]) => ({ name: metric, labels: {}, value })),
    };
}

describe("the summary of a fleet", () => {
    const fleet = [
        createBox("a"),
        createBox("b", { zone: availabilityZoneId("north-b") }),
        createBox("c", { load: 0.9 }, { configuration_version: 6, store_lost_milliseconds: 800 }),
        { ...createBox("d", { leaving: true }), metrics: undefined },
    ];

    it("sums up each zone", () => {
        expect(zoneRows(fleet, new Set(["a", "b"]))).to.deep.equal([
            ["north", "north-a", "3", "2", "1", "1.30/3.00 cores", "4"],
            ["north", "north-b", "1", "1", "1", "0.20/1.00 cores", "2"],
        ]);
    });

    it("names the odd boxes with the reasons, the oddest first", () => {
        expect(findAnomalousBoxes(fleet).map(({ box, reasons }) => [box.member.box, reasons])).to.deep.equal([
            ["c", ["busy", "configuration 6, newest 7", "no store"]],
            ["d", ["tells no metrics", "leaving"]],
        ]);
    });

    it("names a box that knows fewer than the others", () => {
        const [odd] = findAnomalousBoxes([
            ...fleet.slice(0, 2),
            createBox("e", {}, { boxes_alive: 1 }),
            createBox("f"),
        ]);
        expect(odd.reasons).to.deep.equal(["knows 1 of 4 boxes"]);
    });

    it("finds nothing odd in a fleet that agrees", () => {
        expect(findAnomalousBoxes(["a", "b", "c", "d"].map(name => createBox(name)))).to.deep.equal([]);
    });
});

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
    const metricValues = {
        configuration_version: 7,
        servers_revision: 90,
        boxes_alive: 4,
        callers_in_flight: 2,
        ...values,
    };
    return {
        member: record,
        metrics: Object.entries(metricValues).map(([metric, value]) => ({ name: metric, labels: {}, value })),
    };
}

describe("the summary of a fleet", () => {
    const fleet = [
        createBox("a"),
        createBox("b", { zone: availabilityZoneId("north-b") }),
        createBox("c", { load: 0.9 }, { configuration_version: 6, store_lost_milliseconds: 800 }),
        { ...createBox("d", { leaving: true }), metrics: undefined },
    ];

    it("has sums for each zone", () => {
        expect(zoneRows(fleet, new Set(["a", "b"]))).to.deep.equal([
            ["north", "north-a", "3", "2", "1", "1.30/3.00 cores", "4"],
            ["north", "north-b", "1", "1", "1", "0.20/1.00 cores", "2"],
        ]);
    });

    it("lists the boxes with anomalies and their reasons, those with most reasons first", () => {
        expect(findAnomalousBoxes(fleet).map(({ box, reasons }) => [box.member.box, reasons])).to.deep.equal([
            ["c", ["busy", "configuration 6, newest 7", "store unreachable"]],
            ["d", ["metrics unreachable", "leaving"]],
        ]);
    });

    it("lists a box that knows fewer boxes than the others", () => {
        const [anomalous] = findAnomalousBoxes([
            ...fleet.slice(0, 2),
            createBox("e", {}, { boxes_alive: 1 }),
            createBox("f"),
        ]);
        expect(anomalous.reasons).to.deep.equal(["knows 1 of 4 boxes"]);
    });

    it("finds no anomalies in a uniform fleet", () => {
        expect(findAnomalousBoxes(["a", "b", "c", "d"].map(name => createBox(name)))).to.deep.equal([]);
    });
});

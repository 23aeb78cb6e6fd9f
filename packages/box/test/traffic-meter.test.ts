import { availabilityZoneId, regionId } from "@chalkdale/kernel";
import { expect } from "chai";
import { createTrafficMeter, reachBetween } from "../src/traffic-meter.js";

const locality = (region: string, zone: string) => ({ region: regionId(region), zone: availabilityZoneId(zone) });

describe("traffic meter", () => {
    it("sums messages and bytes by purpose and reach, for metrics and log lines", () => {
        const meter = createTrafficMeter();
        meter.add("gossip", "zone", 100);
        meter.add("gossip", "zone", 50);
        meter.add("storeList", "store", 7);
        expect(meter.logFields()).to.deep.equal({ "gossip.zone": "2/150", "storeList.store": "1/7" });
        expect(meter.metricLines()).to.include("chalkdale_messages_total{purpose=\"gossip\",reach=\"zone\"} 2");
        expect(meter.metricLines()).to.include("chalkdale_message_bytes_total{purpose=\"gossip\",reach=\"zone\"} 150");
    });

    it("distinguishes zone, region and other regions", () => {
        const origin = locality("north", "north-a");
        expect(reachBetween(origin, locality("north", "north-a"))).to.equal("zone");
        expect(reachBetween(origin, locality("north", "north-b"))).to.equal("region");
        expect(reachBetween(origin, locality("south", "north-a"))).to.equal("otherRegion");
    });
});

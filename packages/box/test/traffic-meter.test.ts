import { availabilityZoneId, regionId } from "@chalkdale/kernel";
import { expect } from "chai";
import { createTrafficMeter, reachBetween } from "../src/traffic-meter.js";

const place = (region: string, zone: string) => ({ region: regionId(region), zone: availabilityZoneId(zone) });

describe("traffic meter", () => {
    it("sums messages and bytes by purpose and reach, for metrics and log alike", () => {
        const meter = createTrafficMeter();
        meter.add("gossip", "zone", 100);
        meter.add("gossip", "zone", 50);
        meter.add("storeList", "store", 7);
        expect(meter.logFields()).to.deep.equal({ "gossip.zone": "2/150", "storeList.store": "1/7" });
        expect(meter.metricLines()).to.include("chalkdale_messages_total{purpose=\"gossip\",reach=\"zone\"} 2");
        expect(meter.metricLines()).to.include("chalkdale_message_bytes_total{purpose=\"gossip\",reach=\"zone\"} 150");
    });

    it("tells zone, region and other regions apart", () => {
        const own = place("north", "north-a");
        expect(reachBetween(own, place("north", "north-a"))).to.equal("zone");
        expect(reachBetween(own, place("north", "north-b"))).to.equal("region");
        expect(reachBetween(own, place("south", "north-a"))).to.equal("otherRegion");
    });
});

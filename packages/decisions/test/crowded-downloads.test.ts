/**
 * Guards against refusing downloads in a region with few servers while servers of other regions have free slots. Keys
 * of downloads rank the servers of their own region far before all others. A box in that region therefore sends them to
 * these few servers only, and takes their load, which is full, for the load of the whole service. If a later server of
 * the ranking were tried only at a low load, it would never be tried: downloads in a region with a sixth of the slots
 * were refused as `crowded` while the other regions had a load of 0.4 per slot.
 */

import { hashText, milliseconds, regionId } from "@chalkdale/kernel";
import { expect } from "chai";
import { createRecord, createRoute, createSetup } from "./choice-setup.js";

describe("a download without a free slot in its region", () => {
    /** Load per slot that a box observes if it only gets reports of the full servers of its region. */
    const observedLoad = 1.5;
    const nearServers = ["n-1", "n-2"].map(name => createRecord(name));
    const farServers = ["s-1", "s-2", "s-3"].map(name => createRecord(name, { region: regionId("south") }));
    const serveMany = (kind: "download" | "safe") => {
        const setup = createSetup([...nearServers, ...farServers], [], observedLoad);
        const served = new Map<string, number>();
        for (let key = 0; key < 40; key++) {
            const request = setup.request({ route: createRoute({ kind }), keyHash: hashText(`key-${key}`) });
            const choice = setup.choose({ ...request, timeLeft: milliseconds(1500) });
            const name = choice.kind === "chosen" ? choice.server.id : choice.kind;
            served.set(name, (served.get(name) ?? 0) + 1);
            if (choice.kind === "chosen") {
                choice.server.state.onSent();
            }
        }
        return served;
    };

    it("goes to another region's server with a free slot", () => {
        const served = serveMany("download");
        expect(farServers.reduce((sum, { id }) => sum + (served.get(id) ?? 0), 0)).to.be.at.least(
            farServers.length * 4,
        );
    });

    it("is refused if no server has a free slot", () => {
        expect(serveMany("download").get("crowded")).to.be.greaterThan(0);
    });
});

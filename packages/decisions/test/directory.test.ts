import { regionId } from "@chalkdale/kernel";
import { expect } from "chai";
import { chooseBoxAddresses } from "../src/index.js";
import { createMember } from "./member.js";

describe("directory [P19]", () => {
    it("returns the boxes of the caller's region, and others only if it has none", () => {
        const north = createMember("n");
        const south = createMember("s", { region: regionId("south") });
        expect(chooseBoxAddresses([north, south], { region: regionId("south"), zone: undefined })).to.deep.equal([
            "s:2",
        ]);
        expect(chooseBoxAddresses([north], { region: regionId("south"), zone: undefined })).to.deep.equal(["n:2"]);
    });
});

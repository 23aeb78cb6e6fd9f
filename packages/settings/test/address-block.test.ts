import { expect } from "chai";
import { isAddressBlock } from "../src/index.js";

describe("isAddressBlock", () => {
    it("accepts an address and a prefix length", () => {
        for (
            const text of ["10.0.0.0/8", "0.0.0.0/0", "192.0.2.1/32", "2001:db8::/32", "::/128", "::ffff:192.0.2.0/24"]
        ) {
            expect(isAddressBlock(text), text).to.equal(true);
        }
    });

    it("rejects any other text", () => {
        const invalid = [
            "",
            "10.0.0.0",
            "10.0.0/8",
            "10.0.0.256/8",
            "10.0.0.0/33",
            "10.0.0.0/-1",
            "::/129",
            "x/8",
            "10.0.0.0/",
        ];
        for (const text of [...invalid, "::ffff:192.0.2.0/33"]) {
            expect(isAddressBlock(text), text).to.equal(false);
        }
    });
});

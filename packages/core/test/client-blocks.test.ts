import { expect } from "chai";
import fc from "fast-check";
import { createClientBlockTable, parseBlock } from "../src/index.js";
import { propertyOptions } from "./property-options.js";

const blockArbitrary = fc.record({
    address: fc.tuple(fc.constantFrom(10, 11), fc.nat(3), fc.nat(255), fc.nat(255)).map(parts => parts.join(".")),
    length: fc.integer({ min: 0, max: 32 }),
    site: fc.nat(20),
});

describe("client block table", () => {
    it("finds the longest block that holds an address, as a plain search does", () => {
        const addressArbitrary = fc.tuple(fc.constantFrom(9, 10, 11, 255), fc.nat(3), fc.nat(255), fc.nat(255));
        fc.assert(
            fc.property(
                fc.uniqueArray(blockArbitrary, {
                    maxLength: 30,
                    selector: ({ address, length }) => String(parseBlock(`${address}/${length}`)!.first) + `/${length}`,
                }),
                addressArbitrary,
                (blocks, parts) => {
                    const address = parts.join(".");
                    const table = createClientBlockTable(
                        blocks.map(({ address: start, length, site }) => ({ block: `${start}/${length}`, site })),
                    );
                    const value = BigInt(parts.reduce((sum, part) => sum * 256 + part, 0));
                    const holding = blocks
                        .map(block => ({ ...parseBlock(`${block.address}/${block.length}`)!, site: block.site }))
                        .filter(({ first, end }) => value >= first && value < end)
                        .sort((a, b) => b.length - a.length);
                    expect(table.find(address)).to.equal(holding[0]?.site);
                },
            ),
            propertyOptions,
        );
    });

    it("knows IPv6 by its first 64 bits, and IPv4 written as IPv6", () => {
        const table = createClientBlockTable([
            { block: "2001:db8::/32", site: 1 },
            { block: "2001:db8:1::/48", site: 2 },
            { block: "192.0.2.0/24", site: 3 },
        ]);
        expect(table.find("2001:db8:2::1")).to.equal(1);
        expect(table.find("2001:db8:1::1")).to.equal(2);
        expect(table.find("2001:db9::1")).to.equal(undefined);
        expect(table.find("::ffff:192.0.2.9")).to.equal(3);
        expect(table.find("no address")).to.equal(undefined);
    });

    it("takes the whole address space", () => {
        const table = createClientBlockTable([{ block: "0.0.0.0/0", site: 7 }, { block: "255.0.0.0/8", site: 8 }]);
        expect(table.find("255.255.255.255")).to.equal(8);
        expect(table.find("1.2.3.4")).to.equal(7);
    });
});

import { expect } from "chai";
import fc from "fast-check";
import { explainValues, formatFault, readTree, resolveValues } from "../src/index.js";

const tree = `deployment: pedala
settings:
  shiftCap: 0.1
regions:
  ro-nord:
    settings:
      capacity: 900
    zones:
      ro-nord-a: { settings: { boxes: [pedala-1] } }
      ro-nord-b: {}
services:
  profil-api:
    settings:
      shiftCap: 0.2
    regions:
      ro-nord:
        settings: { slots: 8 }
        zones:
          ro-nord-a: { settings: { drain: true } }
`;

function faultsOf(text: string): string[] {
    const read = readTree("tree.yaml", text);
    return read.ok ? [] : read.val.map(formatFault);
}

describe("the settings tree", () => {
    describe("inheritance", () => {
        const read = readTree("tree.yaml", tree);
        const document = read.ok ? read.val : undefined;

        it("takes each value from the nearest node that states it", () => {
            const leaf = resolveValues(document!, "/services/profil-api/ro-nord/ro-nord-a");
            expect(leaf.drain).to.equal(true);
            expect(leaf.slots).to.equal(8);
            expect(leaf.shiftCap).to.equal(0.2);
            expect(leaf.requestTimeout).to.equal(10);
        });

        it("reports the node that states each value", () => {
            const values = explainValues(document!, "/services/profil-api/ro-nord/ro-nord-a");
            const from = (key: string) => values.find(value => value.key === key)?.from;
            expect(from("drain")).to.equal("/services/profil-api/ro-nord/ro-nord-a");
            expect(from("slots")).to.equal("/services/profil-api/ro-nord");
            expect(from("shiftCap")).to.equal("/services/profil-api");
            expect(from("requestTimeout")).to.equal("default");
        });
    });

    describe("faults", () => {
        it("are all reported at once, each with its line and path", () => {
            const text = tree
                .replace("capacity: 900", "capacity: -1")
                .replace("slots: 8", "slots: many")
                .replace("  shiftCap: 0.1", "  shiftCaps: 0.1");
            expect(faultsOf(text)).to.deep.equal([
                "tree.yaml:3:14: settings.shiftCaps: unknown key, or a setting that this kind of node does not have",
                "tree.yaml:7:17: regions.ro-nord.settings.capacity: expected more than 0",
                "tree.yaml:17:28: services.profil-api.regions.ro-nord.settings.slots: expected number",
            ]);
        });

        it("include a zone of a service that the deployment does not have", () => {
            const text = tree.replace(
                "          ro-nord-a: { settings: { drain",
                "          ro-nord-c: { settings: { drain",
            );
            expect(faultsOf(text)).to.deep.equal([
                "tree.yaml:19:22: services.profil-api.regions.ro-nord.zones.ro-nord-c: expected a region or availability zone that is listed under regions",
            ]);
        });

        it("include a box that is listed twice, and a region without capacity", () => {
            const text = tree
                .replace("ro-nord-b: {}", "ro-nord-b: { settings: { boxes: [pedala-1] } }")
                .replace("      capacity: 900\n", "      zoneLatency: 2\n");
            expect(faultsOf(text).map(fault => fault.split(": ").at(-1))).to.deep.equal([
                "expected a capacity here or at the root",
                "expected names that no other availability zone lists",
                "expected names that no other availability zone lists",
            ]);
        });

        it("include the location of a YAML syntax error", () => {
            expect(faultsOf("deployment: [pedala\n")[0]).to.match(/^tree\.yaml:\d+:\d+: /);
        });
    });

    describe("an arbitrary text", () => {
        it("is read or rejected with faults, and never causes an exception", () => {
            fc.assert(
                fc.property(fc.string({ maxLength: 200 }), text => {
                    const read = readTree("x", text);
                    expect(read.ok || read.val.length > 0).to.equal(true);
                }),
                { seed: 1, numRuns: 2000 },
            );
        });

        it("that is a valid tree with one line changed causes no exception either", () => {
            const lines = tree.split("\n");
            fc.assert(
                fc.property(fc.nat(lines.length - 1), fc.string({ maxLength: 30 }), (index, line) => {
                    const text = lines.with(index, line).join("\n");
                    const read = readTree("x", text);
                    expect(read.ok || read.val.length > 0).to.equal(true);
                }),
                { seed: 2, numRuns: 2000 },
            );
        });

        it("is rejected if its aliases would expand exponentially", () => {
            const levels = Array.from({ length: 9 }, (_, level) => {
                const inner = level === 0 ? "x" : Array(9).fill(`*a${level - 1}`).join(", ");
                return `a${level}: &a${level} [${inner}]`;
            });
            expect(faultsOf(levels.join("\n")).length).to.be.greaterThan(0);
        });
    });
});

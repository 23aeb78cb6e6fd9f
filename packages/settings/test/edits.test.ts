import { expect } from "chai";
import {
    applyEdit,
    changesBetween,
    type SettingsDocument,
    type SettingsEdit,
    type StoredSettings,
} from "../src/index.js";

const base: SettingsDocument = {
    deployment: "pedala",
    nodes: { "/": { shiftCap: 0.1 }, "/regions/ro-nord": { capacity: 900 } },
};
const stored: StoredSettings = { document: base, edits: [] };

function edit(id: string, node: string, key: string, from: unknown, to: unknown): SettingsEdit {
    return { id, author: "ana", at: "2026-01-01T00:00:00Z", changes: [{ node, key, from, to }] };
}

function apply(start: StoredSettings, ...edits: readonly SettingsEdit[]): StoredSettings {
    return edits.reduce((current, next) => {
        const applied = applyEdit(current, next);
        if (applied.err) {
            throw new Error("the edits conflict");
        }
        return applied.val;
    }, start);
}

describe("edits of the tree [P8]", () => {
    describe("by two operators at the same time", () => {
        it("are both applied if they change different values", () => {
            const both = apply(
                stored,
                edit("1", "/", "shiftCap", 0.1, 0.2),
                edit("2", "/regions/ro-nord", "capacity", 900, 800),
            );
            expect(both.document.nodes["/"].shiftCap).to.equal(0.2);
            expect(both.document.nodes["/regions/ro-nord"].capacity).to.equal(800);
        });

        it("conflict if they change one value differently, and the first edit is kept", () => {
            const first = apply(stored, edit("1", "/", "shiftCap", 0.1, 0.2));
            const second = applyEdit(first, edit("2", "/", "shiftCap", 0.1, 0.3));
            expect(second.err && second.val).to.deep.equal([
                { node: "/", key: "shiftCap", from: 0.1, theirs: 0.2, ours: 0.3 },
            ]);
            expect(first.document.nodes["/"].shiftCap).to.equal(0.2);
        });

        it("are both applied if they change one value to the same", () => {
            const both = apply(stored, edit("1", "/", "shiftCap", 0.1, 0.2), edit("2", "/", "shiftCap", 0.1, 0.2));
            expect(both.edits.map(({ id }) => id)).to.deep.equal(["1", "2"]);
        });
    });

    describe("that are sent again after a lost answer", () => {
        it("are applied once", () => {
            const once = apply(stored, edit("1", "/", "shiftCap", 0.1, 0.2));
            const undone = apply(once, edit("2", "/", "shiftCap", 0.2, 0.1));
            expect(apply(undone, edit("1", "/", "shiftCap", 0.1, 0.2))).to.equal(undone);
        });
    });

    describe("computed from two trees", () => {
        it("turn one into the other, including added and removed nodes", () => {
            const target: SettingsDocument = {
                deployment: "pedala",
                nodes: { "/": {}, "/regions/eu-sud": { capacity: 5 } },
            };
            const changes = changesBetween(base, target);
            const applied = apply(stored, { id: "1", author: "ana", at: "", changes });
            expect(applied.document).to.deep.equal(target);
        });
    });
});

import { expect } from "chai";
import { createReplica } from "../src/index.js";

describe("replica [P8]", () => {
    function create() {
        const seen: string[][] = [];
        const replica = createReplica<{ name: string; }>(
            item => item.name,
            items => seen.push(items.map(item => item.name)),
        );
        return { replica, seen };
    }

    it("never goes back to an older snapshot, whoever sent it", () => {
        const { replica, seen } = create();
        expect(replica.applySnapshot({ revision: 5, items: [{ name: "new" }] })).to.equal(true);
        expect(replica.applySnapshot({ revision: 4, items: [{ name: "old" }] })).to.equal(false);
        expect(seen).to.deep.equal([["new"]]);
    });

    it("refuses changes when others may be missing before them", () => {
        const { replica } = create();
        replica.applySnapshot({ revision: 5, items: [] });
        expect(replica.applyChanges(6, [{ kind: "put", name: "a", item: { name: "a" } }], 7)).to.equal(false);
        expect(replica.snapshot()).to.deep.equal({ revision: 5, items: [] });
    });

    it("refuses changes that end before its revision", () => {
        const { replica } = create();
        replica.applySnapshot({ revision: 5, items: [{ name: "a" }] });
        expect(replica.applyChanges(3, [{ kind: "gone", name: "a" }], 4)).to.equal(false);
        expect(replica.snapshot()).to.deep.equal({ revision: 5, items: [{ name: "a" }] });
    });

    it("takes changes that begin before its revision, as a second source tells them", () => {
        const { replica } = create();
        replica.applySnapshot({ revision: 5, items: [{ name: "a" }] });
        const changes = [
            { kind: "put", name: "a", item: { name: "a" } },
            { kind: "gone", name: "a" },
            { kind: "put", name: "b", item: { name: "b" } },
        ] as const;
        expect(replica.applyChanges(4, changes, 7)).to.equal(true);
        expect(replica.snapshot()).to.deep.equal({ revision: 7, items: [{ name: "b" }] });
    });

    it("tells the revision of the last change apart from the one it is complete to", () => {
        const { replica } = create();
        replica.applySnapshot({ revision: 5, items: [{ name: "a" }] });
        replica.applyChanges(5, [], 9);
        expect(replica.revision()).to.equal(9);
        expect(replica.changedRevision()).to.equal(5);
        replica.applyChanges(9, [{ kind: "gone", name: "a" }], 12);
        expect(replica.snapshot()).to.deep.equal({ revision: 12, items: [] });
        expect(replica.changedRevision()).to.equal(12);
    });
});

import { expect } from "chai";
import fc from "fast-check";
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

    it("never goes back to an older snapshot, whichever box sent it", () => {
        const { replica, seen } = create();
        expect(replica.applySnapshot({ revision: 5, items: [{ name: "new" }] })).to.equal(true);
        expect(replica.applySnapshot({ revision: 4, items: [{ name: "old" }] })).to.equal(false);
        expect(seen).to.deep.equal([["new"]]);
    });

    it("rejects changes if earlier ones may be missing", () => {
        const { replica } = create();
        replica.applySnapshot({ revision: 5, items: [] });
        expect(replica.applyChanges(6, [{ kind: "put", name: "a", item: { name: "a" } }], 7)).to.equal(false);
        expect(replica.snapshot()).to.deep.equal({ revision: 5, items: [] });
    });

    it("rejects changes that end before its revision", () => {
        const { replica } = create();
        replica.applySnapshot({ revision: 5, items: [{ name: "a" }] });
        expect(replica.applyChanges(3, [{ kind: "gone", name: "a" }], 4)).to.equal(false);
        expect(replica.snapshot()).to.deep.equal({ revision: 5, items: [{ name: "a" }] });
    });

    it("accepts changes that begin before its revision, as a second source sends them", () => {
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

    describe("changes that another replica lacks", () => {
        const put = (name: string) => ({ kind: "put", name, item: { name } }) as const;

        it("are all batches after its revision, and make the replicas equal", () => {
            const { replica } = create();
            replica.applySnapshot({ revision: 5, items: [{ name: "a" }] });
            const other = create().replica;
            other.applySnapshot({ revision: 7, items: [{ name: "a" }, { name: "b" }] });
            replica.applyChanges(5, [put("b")], 7);
            replica.applyChanges(7, [{ kind: "gone", name: "a" }], 9);
            replica.applyChanges(9, [], 11);
            const missing = replica.changesSince(7)!;
            expect(missing).to.deep.equal({ since: 7, revision: 11, changes: [{ kind: "gone", name: "a" }] });
            expect(other.applyChanges(missing.since, missing.changes, missing.revision)).to.equal(true);
            expect(other.snapshot()).to.deep.equal(replica.snapshot());
        });

        it("are unknown before the first snapshot and for revisions before it", () => {
            const { replica } = create();
            expect(replica.changesSince(0)).to.equal(undefined);
            replica.applySnapshot({ revision: 5, items: [] });
            expect(replica.changesSince(4)).to.equal(undefined);
            expect(replica.changesSince(5)).to.deep.equal({ since: 5, revision: 5, changes: [] });
        });

        it("are forgotten batch by batch, the oldest first", () => {
            const { replica } = create();
            replica.applySnapshot({ revision: 0, items: [] });
            for (let revision = 1; revision <= 300; revision++) {
                replica.applyChanges(revision - 1, [put(`a${revision}`)], revision);
            }
            expect(replica.changesSince(0)).to.equal(undefined);
            expect(replica.changesSince(200)?.changes).to.have.length(100);
        });

        // Guards against boxes that run out of memory while a large configuration changes: each change is a whole one.
        it("are the latest of each entry, so that changes of one entry take no memory", () => {
            const { replica } = create();
            replica.applySnapshot({ revision: 0, items: [{ name: "a" }] });
            for (let revision = 1; revision <= 300; revision++) {
                replica.applyChanges(revision - 1, [put("main"), put("main")], revision);
            }
            expect(replica.changesSince(0)).to.deep.equal({ since: 0, revision: 300, changes: [put("main")] });
            expect(replica.changesSince(300)?.changes).to.deep.equal([]);
        });

        it("make replicas equal from any revision on", () => {
            const change = fc.record({ name: fc.constantFrom("a", "b", "c"), gone: fc.boolean() });
            fc.assert(fc.property(
                fc.array(fc.array(change, { minLength: 1, maxLength: 4 }), { minLength: 1, maxLength: 12 }),
                fc.nat(11),
                (batches, readAt) => {
                    const { replica } = create();
                    const reader = create().replica;
                    replica.applySnapshot({ revision: 0, items: [] });
                    reader.applySnapshot({ revision: 0, items: [] });
                    batches.forEach((batch, index) => {
                        const changes = batch.map(({ gone, name }) =>
                            gone ? { kind: "gone", name } as const : put(name)
                        );
                        replica.applyChanges(index, changes, index + 1);
                        if (index < readAt) {
                            reader.applyChanges(index, changes, index + 1);
                        }
                    });
                    const missing = replica.changesSince(reader.revision()!)!;
                    reader.applyChanges(missing.since, missing.changes, missing.revision);
                    const sorted = (items: readonly { readonly name: string; }[]) =>
                        items.map(({ name }) => name).sort();
                    expect(sorted(reader.snapshot()!.items)).to.deep.equal(sorted(replica.snapshot()!.items));
                },
            ));
        });
    });

    it("distinguishes the revision of the last change from the one up to which it is complete", () => {
        const { replica } = create();
        replica.applySnapshot({ revision: 5, items: [{ name: "a" }] });
        replica.applyChanges(5, [], 9);
        expect(replica.revision()).to.equal(9);
        expect(replica.lastChangeRevision()).to.equal(5);
        replica.applyChanges(9, [{ kind: "gone", name: "a" }], 12);
        expect(replica.snapshot()).to.deep.equal({ revision: 12, items: [] });
        expect(replica.lastChangeRevision()).to.equal(12);
    });
});

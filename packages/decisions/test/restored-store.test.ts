/**
 * A store that is restored from a backup, as seen by replicas that learn of it in any order: no acknowledged change may
 * be lost before it is written again.
 */

import { milliseconds } from "@chalkdale/kernel";
import { expect } from "chai";
import fc from "fast-check";
import {
    type BackendServerRecord,
    type Configuration,
    createReplica,
    type ItemChange,
    type Replica,
    retentionPolicies,
    type Snapshot,
    storePosition,
} from "../src/index.js";
import { createRecord } from "./choice-setup.js";

const position = (epoch: number, revision: number) => storePosition(epoch, revision)!;

describe("a replica of a restored store [P8]", () => {
    let now: number;
    let seen: readonly BackendServerRecord[];
    let restored: string[][];
    let replica: Replica<BackendServerRecord>;

    beforeEach(() => {
        now = 0;
        seen = [];
        restored = [];
        replica = createServers();
    });

    function createServers(): Replica<BackendServerRecord> {
        return createReplica<BackendServerRecord>(
            record => record.id,
            items => {
                seen = items;
            },
            {
                clock: () => milliseconds(now),
                policy: retentionPolicies.servers,
                onStoreRestored: (_at, _previous, held) => restored.push([...held]),
            },
        );
    }

    const server = (name: string, draining = false) => createRecord(name, { draining });
    const put = (item: BackendServerRecord) => ({ kind: "put", name: item.id, item }) as const;
    const shown = () => seen.map(({ draining, id }) => draining ? `${id} draining` : String(id)).sort();

    it("takes its lists although their revisions are lower", () => {
        replica.applySnapshot({ revision: position(1, 53), items: [server("a")] });
        expect(replica.applySnapshot({ revision: position(2, 50), items: [server("a"), server("b")] })).to.equal(true);
        expect(shown()).to.deep.equal(["a", "b"]);
        expect(replica.applySnapshot({ revision: position(1, 60), items: [] })).to.equal(false);
        expect(replica.applyChanges(position(1, 53), [put(server("c"))], position(1, 54))).to.equal(false);
    });

    describe("holds acknowledged entries that are lost", () => {
        beforeEach(() => {
            replica.applySnapshot({
                revision: position(1, 50),
                items: [server("left"), server("leaving"), server("stays")],
            });
            const changes: ItemChange<BackendServerRecord>[] = [
                { kind: "gone", name: "left" },
                put(server("leaving", true)),
                put(server("added")),
            ];
            replica.applyChanges(position(1, 50), changes, position(1, 53));
            replica.applySnapshot({
                revision: position(2, 50),
                items: [server("left"), server("leaving"), server("stays")],
            });
        });

        it("until they are written again", () => {
            expect(restored).to.deep.equal([["leaving", "added", "left"]]);
            expect(shown()).to.deep.equal(["added", "leaving draining", "stays"]);
            const changes = [put(server("added")), put(server("leaving", true))];
            replica.applyChanges(position(2, 50), [...changes, { kind: "gone", name: "left" }], position(2, 54));
            now = 60_000;
            replica.expireHeldEntries();
            expect(shown()).to.deep.equal(["added", "leaving draining", "stays"]);
            expect(replica.snapshot()?.held).to.equal(undefined);
        });

        it("for as long as a running server may take to write its record again, and no longer", () => {
            now = 2499;
            replica.expireHeldEntries();
            expect(shown()).to.deep.equal(["added", "leaving draining", "stays"]);
            now = 2500;
            replica.expireHeldEntries();
            expect(shown()).to.deep.equal(["leaving draining", "stays"]);
            now = 6000;
            replica.expireHeldEntries();
            expect(shown()).to.deep.equal(["leaving", "left", "stays"]);
        });

        it("through a second restore", () => {
            now = 2000;
            replica.applySnapshot({ revision: position(3, 49), items: [server("left"), server("leaving")] });
            expect(shown()).to.deep.equal(["added", "leaving draining", "stays"]);
        });

        it("through a list of the same epoch that still lacks them", () => {
            replica.applySnapshot({
                revision: position(2, 52),
                items: [server("leaving"), server("stays"), server("left")],
            });
            expect(shown()).to.deep.equal(["added", "leaving draining", "stays"]);
            replica.applySnapshot({
                revision: position(2, 53),
                items: [server("added"), server("leaving", true), server("stays")],
            });
            now = 60_000;
            replica.expireHeldEntries();
            expect(shown()).to.deep.equal(["added", "leaving draining", "stays"]);
        });

        it("and sends them to starting boxes apart from what the store has", () => {
            const other = createServers();
            const snapshot = replica.snapshot()!;
            expect(snapshot.items.map(({ id }) => String(id))).to.deep.equal(["left", "leaving", "stays"]);
            other.applySnapshot(snapshot);
            expect(shown()).to.deep.equal(["added", "leaving draining", "stays"]);
            now = 60_000;
            other.expireHeldEntries();
            expect(shown()).to.deep.equal(["leaving", "left", "stays"]);
        });
    });

    it("takes a server's later incarnation, and no earlier one", () => {
        const born = (bornAt: number, draining = false) =>
            createRecord("a", { draining, bornAt: bornAt as BackendServerRecord["bornAt"] });
        replica.applySnapshot({ revision: position(1, 50), items: [born(2, true)] });
        replica.applySnapshot({ revision: position(2, 40), items: [born(1)] });
        expect(shown()).to.deep.equal(["a draining"]);
        replica.applyChanges(position(2, 40), [put(born(3))], position(2, 41));
        expect(shown()).to.deep.equal(["a"]);
    });

    describe("of the configuration", () => {
        const version = (number: number) => ({ version: number }) as Configuration;
        let inForce: number[];
        let configurationReplica: Replica<Configuration>;

        beforeEach(() => {
            inForce = [];
            configurationReplica = createReplica<Configuration>(
                () => "main",
                ([item]) => inForce.push(item.version),
                {
                    clock: () => milliseconds(now),
                    policy: retentionPolicies.configuration,
                    onStoreRestored: () => undefined,
                },
            );
        });

        it("never goes back to an older version, however long it takes to be written again", () => {
            configurationReplica.applySnapshot({ revision: position(0, 53), items: [version(24)] });
            configurationReplica.applySnapshot({ revision: position(1, 50), items: [version(22)] });
            configurationReplica.applyChanges(
                position(1, 50),
                [{ kind: "put", name: "main", item: version(23) }],
                position(1, 51),
            );
            now = 3_600_000;
            configurationReplica.expireHeldEntries();
            configurationReplica.applyChanges(
                position(1, 51),
                [{ kind: "put", name: "main", item: version(24) }],
                position(1, 52),
            );
            configurationReplica.applyChanges(
                position(1, 52),
                [{ kind: "put", name: "main", item: version(26) }],
                position(1, 53),
            );
            expect(inForce).to.deep.equal([24, 24, 24, 24, 26]);
        });
    });

    describe("among others that learn of it in any order", () => {
        /** Model of the store: a configuration version, with backups from which it can be restored. */
        interface ModelStore {
            epoch: number;
            revision: number;
            version: number;
            readonly backups: { readonly revision: number; readonly version: number; }[];
        }

        type Step =
            | { readonly kind: "write"; }
            | { readonly kind: "backUp"; }
            | { readonly kind: "restore"; readonly backup: number; }
            | { readonly kind: "list"; readonly box: number; }
            | { readonly kind: "send"; readonly from: number; readonly to: number; };

        const boxCount = 4;
        const box = fc.integer({ min: 0, max: boxCount - 1 });
        const step: fc.Arbitrary<Step> = fc.oneof(
            fc.constant<Step>({ kind: "write" }),
            fc.constant<Step>({ kind: "backUp" }),
            fc.record({ kind: fc.constant("restore" as const), backup: fc.nat(9) }),
            fc.record({ kind: fc.constant("list" as const), box }),
            fc.record({ kind: fc.constant("send" as const), from: box, to: box }),
        );

        it("no box goes back to an older version, and all end with the last one written", () => {
            fc.assert(
                fc.property(fc.array(step, { maxLength: 60 }), steps => {
                    const store: ModelStore = { epoch: 0, revision: 1, version: 1, backups: [] };
                    const inForce: number[][] = Array.from({ length: boxCount }, () => []);
                    const replicas = inForce.map(versions =>
                        createReplica<Configuration>(() => "main", ([item]) => versions.push(item.version), {
                            clock: () => milliseconds(0),
                            policy: retentionPolicies.configuration,
                            onStoreRestored: () => undefined,
                        })
                    );
                    let acknowledged = 1;
                    const list = (): Snapshot<Configuration> => ({
                        revision: position(store.epoch, store.revision),
                        items: [{ version: store.version } as Configuration],
                    });
                    const run = (next: Step) => {
                        switch (next.kind) {
                            case "write":
                                store.revision += 1;
                                store.version = acknowledged += 1;
                                return;
                            case "backUp":
                                store.backups.push({ revision: store.revision, version: store.version });
                                return;
                            case "restore":
                                Object.assign(store, store.backups[next.backup % store.backups.length] ?? {});
                                store.epoch += 1;
                                return;
                            case "list":
                                replicas[next.box].applySnapshot(list());
                                return;
                            case "send": {
                                const snapshot = replicas[next.from].snapshot();
                                if (snapshot !== undefined) {
                                    replicas[next.to].applySnapshot(snapshot);
                                }
                                return;
                            }
                        }
                    };
                    steps.forEach(run);
                    run({ kind: "write" });
                    replicas.forEach(each => each.applySnapshot(list()));
                    for (const versions of inForce) {
                        expect(versions).to.deep.equal([...versions].sort((a, b) => a - b));
                        expect(versions.at(-1)).to.equal(acknowledged);
                    }
                }),
                { seed: 54, numRuns: 2000 },
            );
        });
    });
});

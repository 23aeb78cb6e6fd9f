import { expect } from "chai";
import fc from "fast-check";
import { createRecordCache, milliseconds } from "../src/index.js";
import { propertyOptions } from "./property-options.js";

describe("record cache [P8]", () => {
    describe("with copies in any order and more than once", () => {
        it("never goes back to an older sequence", () => {
            const copyArbitrary = fc.record({ sequence: fc.nat(30), age: fc.nat(1000) });
            fc.assert(
                fc.property(fc.array(copyArbitrary, { maxLength: 60 }), copies => {
                    const cache = createRecordCache<number>(() => ({ lifetime: undefined }));
                    let highest = -1;
                    copies.forEach(({ sequence, age }, index) => {
                        const at = milliseconds(index * 10);
                        cache.merge([{ key: "settings", sequence, age, payload: sequence }], at);
                        highest = Math.max(highest, sequence);
                        expect(cache.get("settings", at)?.payload).to.equal(highest);
                    });
                }),
                propertyOptions,
            );
        });

        it("brings two caches that exchange all they have to the same state", () => {
            const recordArbitrary = fc.record({ key: fc.constantFrom("a", "b", "c"), sequence: fc.nat(9) });
            fc.assert(
                fc.property(fc.array(recordArbitrary), fc.array(recordArbitrary), (ours, theirs) => {
                    const at = milliseconds(0);
                    const fill = (records: typeof ours) => {
                        const cache = createRecordCache<number>(() => ({ lifetime: undefined }));
                        cache.merge(records.map(record => ({ ...record, age: 0, payload: record.sequence })), at);
                        return cache;
                    };
                    const [left, right] = [fill(ours), fill(theirs)];
                    left.merge(right.list("", at), at);
                    right.merge(left.list("", at), at);
                    const state = (cache: typeof left) => ["a", "b", "c"].map(key => cache.get(key, at)?.sequence);
                    expect(state(left)).to.deep.equal(state(right));
                }),
                propertyOptions,
            );
        });
    });

    describe("with a lifetime", () => {
        it("counts the age on the way as well", () => {
            const cache = createRecordCache<string>(() => ({ lifetime: 1000 }));
            cache.merge([{ key: "status", sequence: 1, age: 800, payload: "x" }], milliseconds(0));
            expect(cache.get("status", milliseconds(100))?.age).to.equal(900);
            expect(cache.expire(milliseconds(201))).to.deep.equal(["status"]);
        });

        it("does not take in what has expired on the way", () => {
            const cache = createRecordCache<string>(() => ({ lifetime: 1000 }));
            const news = cache.merge([{ key: "status", sequence: 1, age: 1500, payload: "x" }], milliseconds(0));
            expect(news).to.deep.equal([]);
        });
    });
});

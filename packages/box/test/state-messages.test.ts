import { expect } from "chai";
import fc from "fast-check";
import { isStateDigest, isStateUpdate } from "../src/state/state-messages.js";

const copy = { changed: 1, complete: 2, age: 3 };
const digest = { configuration: copy, servers: copy, closedZones: copy };
const server = {
    id: "s-1",
    service: "profiles",
    address: "192.0.2.7:80",
    zone: "north-a",
    region: "north",
    slots: 4,
    draining: false,
    coldFor: 0,
    revision: 7,
};
const update = {
    kind: "servers",
    since: 1,
    complete: 3,
    changes: [{ kind: "put", name: "s-1", item: server }, { kind: "gone", name: "s-2" }],
};

/** Returns the value as another box would get it. */
const sent = (value: unknown): unknown => JSON.parse(JSON.stringify(value));

describe("messages about copies", () => {
    it("are taken as boxes send them", () => {
        expect(isStateDigest(sent(digest))).to.equal(true);
        expect(isStateUpdate(sent(update))).to.equal(true);
    });

    it("are refused with a part missing or of another kind", () => {
        expect(isStateDigest({ ...digest, servers: undefined })).to.equal(false);
        expect(isStateDigest({ ...digest, servers: { ...copy, age: "1" } })).to.equal(false);
        expect(isStateUpdate({ ...update, kind: "boxes" })).to.equal(false);
        expect(isStateUpdate({ ...update, since: undefined })).to.equal(false);
        expect(isStateUpdate({ ...update, changes: [{ kind: "put", name: "s-1" }] })).to.equal(false);
        expect(isStateUpdate({ ...update, changes: [{ kind: "gone" }] })).to.equal(false);
        expect(isStateUpdate({ ...update, changes: {} })).to.equal(false);
    });

    it("are refused with an item that the box could not use", () => {
        const withItem = (kind: string, item: unknown) => ({
            ...update,
            kind,
            changes: [{ kind: "put", name: "x", item }],
        });
        expect(isStateUpdate(withItem("servers", {}))).to.equal(false);
        expect(isStateUpdate(withItem("servers", { ...server, id: undefined }))).to.equal(false);
        expect(isStateUpdate(withItem("closedZones", 7))).to.equal(false);
        expect(isStateUpdate(withItem("configuration", { version: 3 }))).to.equal(false);
        expect(isStateUpdate(withItem("closedZones", "north-a"))).to.equal(true);
    });

    it("are taken with and without what earlier releases lack", () => {
        expect(isStateDigest({ ...digest, rollouts: { ...copy, provenAge: 4 } })).to.equal(true);
        expect(isStateDigest({ ...digest, rollouts: { changed: 1 } })).to.equal(false);
        const withServer = (fields: object) => ({
            ...update,
            changes: [{ kind: "put", name: "s-1", item: { ...server, ...fields } }],
        });
        expect(isStateUpdate(withServer({ version: "v2", createdAt: 5 }))).to.equal(true);
        expect(isStateUpdate(withServer({ version: 2 }))).to.equal(false);
        expect(isStateUpdate(withServer({ createdAt: "5" }))).to.equal(false);
    });

    it("are refused with an order that could not be carried out", () => {
        const order = { service: "profiles", targetVersion: "v2", duration: 40_000, createdAt: 7, revision: 9 };
        const withOrder = (fields: object) =>
            isStateUpdate({
                ...update,
                kind: "rollouts",
                changes: [{ kind: "put", name: "profiles", item: { ...order, ...fields } }],
            });
        expect([withOrder({}), withOrder({ state: "rolledBack" })]).to.deep.equal([true, true]);
        expect([withOrder({ state: "done" }), withOrder({ targetVersion: undefined }), withOrder({ duration: "40s" })])
            .to.deep.equal([false, false, false]);
    });

    it("are refused with a configuration that does not say who may ask, or says it in another way [P21]", () => {
        const configurationWith = (access: unknown) => ({
            ...update,
            kind: "configuration",
            changes: [{
                kind: "put",
                name: "main",
                item: { version: 3, routes: [], services: [], limits: {}, access },
            }],
        });
        expect(isStateUpdate(configurationWith({ kind: "anyone" }))).to.equal(true);
        expect(isStateUpdate(configurationWith({ kind: "customers", customers: [] }))).to.equal(true);
        for (const access of [undefined, {}, { kind: "customers" }, { kind: "nobody" }, "anyone"]) {
            expect(isStateUpdate(configurationWith(access))).to.equal(false);
        }
    });

    it("never throw, whatever they hold", () => {
        fc.assert(fc.property(fc.jsonValue(), value => {
            expect(isStateDigest(value)).to.equal(false);
            expect(isStateUpdate(value)).to.equal(false);
        }));
    });

    it("never throw when one part is replaced", () => {
        fc.assert(fc.property(fc.constantFrom(...Object.keys(update)), fc.jsonValue(), (part, value) => {
            isStateUpdate({ ...update, [part]: value });
            isStateDigest({ ...digest, [part]: value });
        }));
    });
});

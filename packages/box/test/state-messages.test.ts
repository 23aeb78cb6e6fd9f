import { expect } from "chai";
import fc from "fast-check";
import { isStateDigest, isStateUpdate } from "../src/state/state-messages.js";

const progress = { changed: 1, complete: 2, age: 3 };
const digest = { configuration: progress, servers: progress, closedZones: progress };
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

/** Returns the value as another box receives it. */
const overWire = (value: unknown): unknown => JSON.parse(JSON.stringify(value));

describe("messages about shared state", () => {
    it("are accepted as boxes send them", () => {
        expect(isStateDigest(overWire(digest))).to.equal(true);
        expect(isStateUpdate(overWire(update))).to.equal(true);
    });

    it("are rejected with a part that is missing or of the wrong type", () => {
        expect(isStateDigest({ ...digest, servers: undefined })).to.equal(false);
        expect(isStateDigest({ ...digest, servers: { ...progress, age: "1" } })).to.equal(false);
        expect(isStateUpdate({ ...update, kind: "boxes" })).to.equal(false);
        expect(isStateUpdate({ ...update, since: undefined })).to.equal(false);
        expect(isStateUpdate({ ...update, changes: [{ kind: "put", name: "s-1" }] })).to.equal(false);
        expect(isStateUpdate({ ...update, changes: [{ kind: "gone" }] })).to.equal(false);
        expect(isStateUpdate({ ...update, changes: {} })).to.equal(false);
    });

    it("are rejected with an item that the box can't use", () => {
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

    it("are accepted with and without the fields that earlier releases don't send", () => {
        expect(isStateDigest({ ...digest, rollouts: { ...progress, provenAge: 4 } })).to.equal(true);
        expect(isStateDigest({ ...digest, rollouts: { changed: 1 } })).to.equal(false);
        const withServer = (fields: object) => ({
            ...update,
            changes: [{ kind: "put", name: "s-1", item: { ...server, ...fields } }],
        });
        expect(isStateUpdate(withServer({ version: "v2", createdAt: 5 }))).to.equal(true);
        expect(isStateUpdate(withServer({ version: 2 }))).to.equal(false);
        expect(isStateUpdate(withServer({ createdAt: "5" }))).to.equal(false);
    });

    it("are rejected with a roll-out order that can't be executed", () => {
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

    it("are rejected with a configuration whose access rules are missing or unknown [P21]", () => {
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

    it("are rejected without an exception when they are any JSON value", () => {
        fc.assert(fc.property(fc.jsonValue(), value => {
            expect(isStateDigest(value)).to.equal(false);
            expect(isStateUpdate(value)).to.equal(false);
        }));
    });

    it("cause no exception when one part is replaced by any JSON value", () => {
        fc.assert(fc.property(fc.constantFrom(...Object.keys(update)), fc.jsonValue(), (part, value) => {
            isStateUpdate({ ...update, [part]: value });
            isStateDigest({ ...digest, [part]: value });
        }));
    });
});

/**
 * Which requests have the same fingerprint.
 */

import { customerId } from "@chalkdale/kernel";
import { expect } from "chai";
import {
    type FingerprintedHead,
    fingerprintOf,
    fingerprintOfHead,
    headOfFingerprint,
} from "../src/requests/request-fingerprint.js";

const head: FingerprintedHead = { host: "app.example", method: "POST", path: "/save/1?a=b", customer: undefined };
const body = Buffer.from("a climb");

describe("the fingerprint of a request", () => {
    it("is the same for a repeat, whatever the case of the host", () => {
        expect(fingerprintOf({ ...head, host: "App.Example" }, Buffer.from(body))).to.equal(fingerprintOf(head, body));
    });

    const others: readonly (readonly [string, FingerprintedHead, Buffer])[] = [
        ["another host", { ...head, host: "other.example" }, body],
        ["another method", { ...head, method: "PUT" }, body],
        ["another path", { ...head, path: "/save/2?a=b" }, body],
        ["another query", { ...head, path: "/save/1?a=c" }, body],
        ["a customer", { ...head, customer: { id: customerId("school") } }, body],
        ["another body", head, Buffer.from("another climb")],
        ["the same characters split differently between method and path", {
            ...head,
            method: "POST/",
            path: "save/1?a=b",
        }, body],
    ];
    for (const [what, otherHead, otherBody] of others) {
        it(`differs for ${what}`, () => {
            expect(fingerprintOf(otherHead, otherBody)).not.to.equal(fingerprintOf(head, body));
        });
    }

    it("begins with the fingerprint of the head", () => {
        expect(headOfFingerprint(fingerprintOf(head, body))).to.equal(fingerprintOfHead(head));
        expect(fingerprintOfHead({ ...head, path: "/save/2" })).not.to.equal(fingerprintOfHead(head));
    });
});

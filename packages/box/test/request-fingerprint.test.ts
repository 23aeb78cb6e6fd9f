/**
 * Which requests count as the same.
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
    it("is the same for a repeat, in whatever letters the host is written", () => {
        expect(fingerprintOf({ ...head, host: "App.Example" }, Buffer.from(body))).to.equal(fingerprintOf(head, body));
    });

    const others: readonly (readonly [string, FingerprintedHead, Buffer])[] = [
        ["another host", { ...head, host: "other.example" }, body],
        ["another method", { ...head, method: "PUT" }, body],
        ["another path", { ...head, path: "/save/2?a=b" }, body],
        ["another query", { ...head, path: "/save/1?a=c" }, body],
        ["a customer", { ...head, customer: { id: customerId("school") } }, body],
        ["another body", head, Buffer.from("another climb")],
        ["the same letters divided otherwise", { ...head, method: "POST/", path: "save/1?a=b" }, body],
    ];
    for (const [what, otherHead, otherBody] of others) {
        it(`differs for ${what}`, () => {
            expect(fingerprintOf(otherHead, otherBody)).not.to.equal(fingerprintOf(head, body));
        });
    }

    it("begins with what the head alone tells", () => {
        expect(headOfFingerprint(fingerprintOf(head, body))).to.equal(fingerprintOfHead(head));
        expect(fingerprintOfHead({ ...head, path: "/save/2" })).not.to.equal(fingerprintOfHead(head));
    });
});

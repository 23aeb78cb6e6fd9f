/**
 * Fingerprint of a request's content: the same at every box and for every repeat,
 * whatever the request's id, its connection and the caller's address.
 *
 * It is computed from host, method, path with query, customer and body. The caller's
 * address is left out: behind a proxy or on a phone it may change between two
 * repeats, and many callers share one behind a gateway.
 *
 * Owns nothing.
 */

import type { Customer } from "@chalkdale/decisions";
import { hashText, type RequestFingerprint, requestFingerprint } from "@chalkdale/kernel";
import { createHash } from "node:crypto";

/** The parts of a request's head that the fingerprint covers. */
export interface FingerprintedHead {
    readonly host: string;
    readonly method: string;
    /** Path with the query. */
    readonly path: string;
    readonly customer: Pick<Customer, "id"> | undefined;
}

/** Hexadecimal digits of the hash of the head, with which a fingerprint begins. */
const headDigits = 8;
/** Hexadecimal digits of the digest: 64 bits make a collision among a million requests very unlikely. */
const digestDigits = 16;

/**
 * Returns the part of the fingerprint that depends on the head only. It costs far less than the whole, which hashes the
 * body.
 */
export function fingerprintOfHead(head: FingerprintedHead): string {
    return hashText(serializeHead(head)).toString(16).padStart(headDigits, "0");
}

/** Extracts the head's part from a fingerprint. */
export function headOfFingerprint(fingerprint: RequestFingerprint): string {
    return fingerprint.slice(0, headDigits);
}

/** Returns the fingerprint of a request with its complete body. */
export function fingerprintOf(head: FingerprintedHead, body: Buffer): RequestFingerprint {
    const digest = createHash("sha256").update(serializeHead(head)).update(body).digest("hex");
    return requestFingerprint(fingerprintOfHead(head) + digest.slice(0, digestDigits));
}

/** Each part is prefixed with its length, so that no two heads have the same text. */
function serializeHead({ customer, host, method, path }: FingerprintedHead): string {
    return [host.toLowerCase(), method, path, customer?.id ?? ""].map(part => `${part.length}:${part}`).join("");
}

/**
 * Fingerprint of what a request asks for: the same at every box and for every
 * repeat, whatever its id, its connection and the address that it came from.
 *
 * Host, method, path with query, customer and body make it. The address of the
 * caller does not: a proxy or a phone changes it between two repeats, and many
 * callers share one behind a gateway.
 *
 * Owns nothing.
 */

import type { Customer } from "@chalkdale/decisions";
import { hashText, type RequestFingerprint, requestFingerprint } from "@chalkdale/kernel";
import { createHash } from "node:crypto";

/** What of a request counts, the body apart. */
export interface FingerprintedHead {
    readonly host: string;
    readonly method: string;
    /** With its query. */
    readonly path: string;
    readonly customer: Pick<Customer, "id"> | undefined;
}

/** Hexadecimal digits of the hash of the head, by which a fingerprint begins. */
const headDigits = 8;
/** Hexadecimal digits of the digest: 64 bits, so that of a million requests no two are mistaken for each other. */
const digestDigits = 16;

/** Returns the part of the fingerprint that the head makes. It costs far less than the whole, which reads the body. */
export function fingerprintOfHead(head: FingerprintedHead): string {
    return hashText(textOf(head)).toString(16).padStart(headDigits, "0");
}

/** Returns the head's part of a fingerprint. */
export function headOfFingerprint(fingerprint: RequestFingerprint): string {
    return fingerprint.slice(0, headDigits);
}

/** Returns the fingerprint of a request whose body is whole. */
export function fingerprintOf(head: FingerprintedHead, body: Buffer): RequestFingerprint {
    const digest = createHash("sha256").update(textOf(head)).update(body).digest("hex");
    return requestFingerprint(fingerprintOfHead(head) + digest.slice(0, digestDigits));
}

/** The length stands before each part, so that no two heads have one text. */
function textOf({ customer, host, method, path }: FingerprintedHead): string {
    return [host.toLowerCase(), method, path, customer?.id ?? ""].map(part => `${part.length}:${part}`).join("");
}

/**
 * Weighted rendezvous hashing: every box ranks the same servers in the same
 * order for a key, and few keys move when the list of servers changes.
 *
 * Scores are `-weight / ln(u)` with a hash `u` in (0, 1), so that each server is
 * first for a share of the keys in proportion to its weight (Schindelhauer and
 * Schomaker, weighted distributed hash tables).
 *
 * Owns nothing; relies on ids having the same hash on every box.
 */

import { hashText } from "@chalkdale/kernel";

/** Number of values of a hash of 32 bits. */
const hashRange = 4294967296;

/** Returns the score of a candidate for a key; the highest wins. */
export function rendezvousScore(keyHash: number, idHash: number, weight: number): number {
    const mixed = mixHashes(keyHash, idHash);
    return -weight / Math.log((mixed + 0.5) / hashRange);
}

/** Returns the hash of a key within a service, so that services spread their keys independently. */
export function hashKey(service: string, key: string): number {
    return hashText(`${service}\u0000${key}`);
}

function mixHashes(first: number, second: number): number {
    let hash = Math.imul(first ^ 0x9e3779b9, 0x85ebca6b) ^ second;
    hash = Math.imul(hash ^ (hash >>> 16), 0x7feb352d);
    hash = Math.imul(hash ^ (hash >>> 15), 0x846ca68b);
    return (hash ^ (hash >>> 16)) >>> 0;
}

/**
 * A string hash that is the same in every process and release. Boxes rank
 * servers and each other by it, and agree on the ranking without messages.
 */

/** Offset basis of 32-bit FNV-1a. */
const fnvOffset = 0x811c9dc5;
/** Prime of 32-bit FNV-1a. */
const fnvPrime = 0x01000193;

/** Returns the 32-bit FNV-1a hash of a text's UTF-16 code units, finalized with MurmurHash3's avalanche step. */
export function hashText(text: string): number {
    let hash = fnvOffset;
    for (let index = 0; index < text.length; index++) {
        hash = Math.imul(hash ^ text.charCodeAt(index), fnvPrime);
    }
    hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
    hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
    return (hash ^ (hash >>> 16)) >>> 0;
}

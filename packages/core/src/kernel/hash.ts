/**
 * A small, stable hash and rendezvous hashing over it.
 */

const fnvOffset = 0x811c9dc5;
const fnvPrime = 0x01000193;

/** Returns the 32-bit FNV-1a hash of a text with a final avalanche step. */
export function hashText(text: string): number {
    let hash = fnvOffset;
    for (let index = 0; index < text.length; index++) {
        hash = Math.imul(hash ^ text.charCodeAt(index), fnvPrime);
    }
    hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
    hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
    return (hash ^ (hash >>> 16)) >>> 0;
}

/**
 * Returns the candidates ordered by their rendezvous score for the key,
 * highest first (Thaler and Ravishankar, highest random weight).
 */
export function rankByRendezvous<Candidate extends string>(
    key: string,
    candidates: readonly Candidate[],
): Candidate[] {
    return candidates
        .map(candidate => ({ candidate, score: hashText(`${key}\u0000${candidate}`) }))
        .sort((a, b) => b.score - a.score || (a.candidate < b.candidate ? -1 : 1))
        .map(entry => entry.candidate);
}

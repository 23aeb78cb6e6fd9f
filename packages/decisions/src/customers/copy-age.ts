/**
 * What a box may decide by a copy of the configuration of a given age. Every
 * copy is a past state of the store, so keys may have come or gone since.
 *
 * | copy | known key | unknown key, or none |
 * | --- | --- | --- |
 * | none, as at a start | not ready | not ready |
 * | confirmed within the bound on changes | admitted | denied for good |
 * | older: store down, calls turned away, relay lost, box cut off | admitted | may come back |
 * | older than the bound on revocations, where revocations are strict | may come back | may come back |
 *
 * Owns no state; the replicator knows the age.
 */

import type { Milliseconds } from "@chalkdale/kernel";

/** Bounds on how old a copy may be for a decision. */
export interface CopyAgeBounds {
    /** Time in which a change of the shared state is in force; what an older copy does not know may exist. */
    readonly maxPropagationDelay: Milliseconds;
    /** Age up to which a known key is admitted; undefined where it is admitted by a copy of any age. */
    readonly maxKeyCopyAge: Milliseconds | undefined;
}

/** True if a key that the copy does not know may be denied for good: callers do not ask again after that. */
export function mayRejectUnknownKey(age: Milliseconds, bounds: CopyAgeBounds): boolean {
    return age <= bounds.maxPropagationDelay;
}

/** True if a key that the copy knows may be admitted. */
export function mayAdmitKnownKey(age: Milliseconds, bounds: CopyAgeBounds): boolean {
    return bounds.maxKeyCopyAge === undefined || age <= bounds.maxKeyCopyAge;
}

/**
 * What a box may decide with a copy of the configuration of a given age. Every copy is a past state of the store, so
 * keys may have been added or revoked since.
 *
 * | copy | known key | unknown key, or none |
 * | --- | --- | --- |
 * | none, as after a start | not ready | not ready |
 * | confirmed within the bound on changes | admitted | rejected for good |
 * | older: store down or refusing the box, relay lost, box cut off | admitted | may retry |
 * | older than the bound on revocations, if revocations are strict | may retry | may retry |
 *
 * Owns no state; the caller knows the age.
 */

import type { Milliseconds } from "@chalkdale/kernel";

/** Bounds on the age of a copy for a decision. */
export interface CopyAgeBounds {
    /**
     * Time within which a change of the shared state is in force everywhere. A key unknown to an older copy may exist.
     */
    readonly maxPropagationDelay: Milliseconds;
    /** Age of a copy up to which its keys are admitted; undefined if they are admitted at any age. */
    readonly maxKeyCopyAge: Milliseconds | undefined;
}

/** True if a key that the copy does not know may be rejected for good: callers do not retry after that. */
export function mayRejectUnknownKey(age: Milliseconds, bounds: CopyAgeBounds): boolean {
    return age <= bounds.maxPropagationDelay;
}

/** True if a key that the copy knows may be admitted. */
export function mayAdmitKnownKey(age: Milliseconds, bounds: CopyAgeBounds): boolean {
    return bounds.maxKeyCopyAge === undefined || age <= bounds.maxKeyCopyAge;
}

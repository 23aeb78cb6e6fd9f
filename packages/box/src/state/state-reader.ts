/**
 * Reads of other boxes' replicas: the contract between the replicator, which needs them, and the peers' HTTP client,
 * which makes them.
 *
 * Owns nothing.
 */

import type { MissingChanges, SharedItems, SharedKind, Snapshot } from "@chalkdale/decisions";
import type { AvailabilityZoneId, BoxId, RegionId } from "@chalkdale/kernel";

/** Another box whose replicas can be read: the sender of a message. */
export interface StatePeer {
    readonly box: BoxId;
    readonly peerAddress: string;
    readonly region: RegionId;
    readonly zone: AvailabilityZoneId;
}

/** A snapshot of the peer's replica, or only the changes that the reader's replica lacks. */
export type StateReadResult<Kind extends SharedKind> =
    | { readonly kind: "snapshot"; readonly snapshot: Snapshot<SharedItems[Kind]>; }
    | { readonly kind: "missing"; readonly missing: MissingChanges<SharedItems[Kind]>; };

/**
 * Reads what another box has of a kind after revision `since`, or all of it if `since` is undefined. Rejects if the box
 * doesn't answer or its answer is invalid.
 */
export type StateReader = <Kind extends SharedKind>(
    peer: StatePeer,
    kind: Kind,
    since: number | undefined,
) => Promise<StateReadResult<Kind>>;

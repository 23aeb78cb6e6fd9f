/**
 * What is read of another box's copies: the one term of those that want it and
 * of those that fetch it.
 *
 * Owns nothing.
 */

import type { MissingChanges, SharedItems, SharedKind, Snapshot } from "@chalkdale/decisions";
import type { AvailabilityZoneId, BoxId, RegionId } from "@chalkdale/kernel";

/** The box that a message came from. */
export interface StatePeer {
    readonly box: BoxId;
    readonly peerAddress: string;
    readonly region: RegionId;
    readonly zone: AvailabilityZoneId;
}

/** A whole copy, or what the reader's own lacks. */
export type StateReadResult<Kind extends SharedKind> =
    | { readonly kind: "snapshot"; readonly snapshot: Snapshot<SharedItems[Kind]>; }
    | { readonly kind: "missing"; readonly missing: MissingChanges<SharedItems[Kind]>; };

/** Reads what another box has of a kind. Rejects when the box doesn't answer. */
export type StateReader = <Kind extends SharedKind>(
    peer: StatePeer,
    kind: Kind,
    since: number | undefined,
) => Promise<StateReadResult<Kind>>;

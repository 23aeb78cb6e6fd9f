/**
 * What one process can ask of an agent, apart from how it is carried.
 */

import type { Address } from "@chalkdale/runtime";
import type { PeerRecord } from "./payload.js";

/** Who asks. */
export interface PeerIdentity {
    readonly box: string;
    readonly incarnation: string;
}

/** Which records a subscriber wants. */
export type SubscriptionScope =
    /** All that the agent has. */
    | "all"
    /** The agent's own records and the platform's: what one relay sends another. */
    | "own";

/** What an entry program asks for. Rates are in units per second, times in seconds. */
export interface CapacityClaim {
    /** Box of the entry program; it may ask another box's agent. */
    readonly box: string;
    readonly incarnation: string;
    readonly wanted: Readonly<Record<string, number>>;
    readonly settingsVersion: number;
    readonly pools: Readonly<Record<string, number>>;
    readonly leaseTime: number;
    readonly isolationTime: number;
}

/** What an entry program may use. Times are milliseconds counted from the sending of the claim. */
export interface ClaimedCapacity {
    readonly units: Readonly<Record<string, number>>;
    readonly leaseRemaining: number;
    readonly floorRemaining: number;
    readonly superseded: boolean;
}

/** An answer to a publication. */
export interface PublishAnswer {
    readonly superseded: boolean;
}

/** A connection to one agent. Calls reject when it cannot be reached. */
export interface PeerConnection {
    /** Yields batches of records; an empty one is a heartbeat. Ends with an error when the agent is lost. */
    readonly subscribe: (
        self: PeerIdentity,
        scope: SubscriptionScope,
        signal: AbortSignal,
    ) => AsyncIterable<readonly PeerRecord[]>;
    readonly publish: (
        self: PeerIdentity,
        records: readonly PeerRecord[],
        signal: AbortSignal,
    ) => Promise<PublishAnswer>;
    readonly claim: (claim: CapacityClaim, signal: AbortSignal) => Promise<ClaimedCapacity>;
}

/** Makes connections to agents. */
export interface PeerNetwork {
    readonly connect: (address: Address, signal: AbortSignal) => PeerConnection;
}

/** What an agent answers others. */
export interface PeerHandlers {
    readonly subscribe: (
        self: PeerIdentity,
        scope: SubscriptionScope,
        signal: AbortSignal,
    ) => AsyncIterable<readonly PeerRecord[]>;
    readonly publish: (self: PeerIdentity, records: readonly PeerRecord[]) => PublishAnswer;
    readonly claim: (claim: CapacityClaim) => ClaimedCapacity;
}

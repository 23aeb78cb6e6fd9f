/**
 * What one attempt is asked to do, and how it can end: what the attempt, the loop
 * that makes attempts and the feedback on servers have in common.
 */

import type { BackendServer, Route } from "@chalkdale/decisions";
import type { Milliseconds, ServiceId } from "@chalkdale/kernel";
import type { ServerAnswer } from "../servers/exchange.js";

/** How an attempt ended. */
export type AttemptOutcome =
    /** The server's own answer, success or failure. `requestsBackoff`: a failure by which it only asks for back-off, though the request may have run. */
    | { readonly kind: "answered"; readonly answer: ServerAnswer; readonly requestsBackoff?: true; }
    /** Nothing reached the server. */
    | { readonly kind: "notSent"; readonly reason: string; }
    /** The server says that it did not run the request. `hasFreeSlots`: though it has free slots. */
    | { readonly kind: "notRun"; readonly status: number; readonly hasFreeSlots: boolean; }
    /**
     * The request may have run; there is no whole answer. `wasStaleConnection`: most likely as the connection had rested too long.
     * `serverTerminatedAt` resolves with when the server ended, or undefined if it lives, and never rejects; left out where nothing speaks for an end.
     */
    | {
        readonly kind: "broken";
        readonly reason: string;
        readonly wasStaleConnection: boolean;
        readonly serverTerminatedAt?: Promise<Milliseconds | undefined>;
    }
    | { readonly kind: "cancelled"; };

/** What is sent. */
export interface AttemptRequest {
    readonly route: Route;
    readonly service: ServiceId;
    readonly server: BackendServer;
    readonly method: string;
    readonly path: string;
    /** Names and values in turn, without those that an attempt sets. */
    readonly rawHeaders: readonly string[];
    readonly body: Buffer;
    readonly requestId: string | undefined;
    /** Time until the request must be answered. */
    readonly timeLeft: () => Milliseconds;
    readonly roundTrip: Milliseconds;
    /** Expected time until the answer of a server of ordinary speed. */
    readonly expected: Milliseconds;
    readonly signal: AbortSignal;
    /** Called once the request is about to be sent. */
    readonly onSend: () => void;
    /** Called with how long the server took for a success, without the way there and back. */
    readonly onServed: (duration: Milliseconds) => void;
}

/**
 * Decides whether a caller gets a status which guarantees that its request has not run and never will.
 *
 * Every status that a box sends to a caller comes from here, whether a server gave it or the box. Owns no state; relies
 * on the record of the request's sends for the proof, and on the table of refusals for the statuses.
 */

import { isGuaranteeStatus, type RefusalKind, refusals } from "./refusals.js";
import type { SendRecord } from "./send-record.js";

declare const callerStatusBrand: unique symbol;

/** A status that may be sent to the caller of a request; only this module makes one. */
export type CallerStatus = number & { readonly [callerStatusBrand]: true; };

/** A refusal that may be sent to the caller of a request; only this module makes one. */
export interface DecidedRefusal {
    readonly kind: RefusalKind;
    readonly status: CallerStatus;
    /** See `Refusal`. */
    readonly retryAfterSeconds: number | undefined;
}

/** The sends of the request to be answered. */
type Sends = Pick<SendRecord, "proveNotRun">;

/** HTTP 502 Bad Gateway: leaves open whether the request has run. */
export const statusMayHaveRun = 502 as CallerStatus;

/** The refusal for an internal fault, which guarantees nothing. */
export const internalFault: DecidedRefusal = decided("internalFault");

/** Returns the refusal itself, or the one without a guarantee in its place if the request may have run. */
export function decideRefusal(kind: RefusalKind, sends: Sends): DecidedRefusal {
    return decided(isAllowed(refusals[kind].status, sends) ? kind : refusalAfterRun(kind));
}

/** Returns the status itself, or undefined if it guarantees that the request has not run and this is not proven. */
export function decideStatus(status: number, sends: Sends): CallerStatus | undefined {
    return isAllowed(status, sends) ? status as CallerStatus : undefined;
}

/** Asks for the proof only if it is needed: once it is given, nothing more is sent. */
function isAllowed(status: number, sends: Sends): boolean {
    return !isGuaranteeStatus(status) || sends.proveNotRun() !== undefined;
}

function refusalAfterRun(kind: RefusalKind): RefusalKind {
    return kind === "timedOutUnsent" ? "timedOut" : "brokenOff";
}

function decided(kind: RefusalKind): DecidedRefusal {
    const { retryAfterSeconds, status } = refusals[kind];
    return { kind, status: status as CallerStatus, retryAfterSeconds };
}

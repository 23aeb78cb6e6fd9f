/**
 * Tickets for operations that must not run twice.
 *
 * A ticket is minted with a look-up and can be spent once, only at the box
 * and in the incarnation that minted it. An unspent ticket takes no memory:
 * it carries its own facts and a message authentication code under a key that
 * lives and dies with the incarnation. So no call to the platform is needed,
 * another box can say for sure that it ran nothing, and after a crash the
 * answer is `unknown` and never a second run.
 */

import { createHmac, timingSafeEqual } from "node:crypto";
import { type RequestError, requestError } from "../errors/errors.js";
import { type BoxId, type IncarnationId, type Milliseconds, milliseconds, type ServiceId } from "../kernel/ids.js";
import { Err, Ok, type Result } from "../kernel/result.js";

/** How an operation ended. */
export type OperationOutcome =
    /** It was never sent to a backend server; the ticket may be spent again. */
    | { readonly kind: "notRun"; }
    /** A backend server answered. */
    | { readonly kind: "answered"; readonly status: number; }
    /** It was sent, and no whole answer came. */
    | { readonly kind: "unknown"; };

/** A ticket that has been taken for one run. */
export interface SpentTicket {
    /** Notes how the operation ended; only the first call counts. */
    readonly finish: (outcome: OperationOutcome) => void;
}

/** The tickets of one incarnation. */
export interface TicketBook {
    /** Returns a new ticket for a service. */
    readonly mint: (service: ServiceId, lifetime: Milliseconds) => string;
    /** Says why a ticket cannot be spent, what it was spent on included; takes nothing. */
    readonly check: (ticket: string, service: ServiceId) => Result<void, RequestError>;
    /** Takes a ticket for one run, or says why not. */
    readonly spend: (ticket: string, service: ServiceId) => Result<SpentTicket, RequestError>;
    /** Forgets spent tickets that have expired. */
    readonly expire: () => void;
    /** Number of spent tickets held. */
    readonly size: () => number;
}

export interface TicketBookOptions {
    readonly box: BoxId;
    readonly incarnation: IncarnationId;
    readonly key: Uint8Array;
    readonly clock: () => Milliseconds;
    /** Spent tickets that are held at once. */
    readonly limit?: number;
}

type OperationState =
    | { readonly kind: "running"; readonly expiresAt: Milliseconds; }
    | { readonly kind: "answered"; readonly expiresAt: Milliseconds; readonly status: number; }
    | { readonly kind: "unknown"; readonly expiresAt: Milliseconds; };

interface TicketFacts {
    readonly box: string;
    readonly incarnation: string;
    readonly serial: string;
    readonly expiresAt: Milliseconds;
    readonly body: string;
    readonly code: string;
}

const defaultLimit = 200_000;
const codeLength = 22;
const ticketPrefix = "t1";

/** Creates the tickets of a fresh incarnation. */
export function createTicketBook(options: TicketBookOptions): TicketBook {
    const limit = options.limit ?? defaultLimit;
    const operations = new Map<string, OperationState>();
    let nextSerial = 0;

    return {
        mint(service, lifetime) {
            const serial = (nextSerial++).toString(36);
            const expiresAt = Math.floor(options.clock() + lifetime).toString(36);
            const body = [ticketPrefix, options.box, options.incarnation, serial, expiresAt].join("~");
            return `${body}~${codeOf(body, service)}`;
        },
        check: (ticket, service) => examine(ticket, service).map(() => undefined),
        spend: (ticket, service) =>
            examine(ticket, service).andThen(facts =>
                operations.size >= limit ? Err(requestError("tooManyRequests")) : Ok(start(facts))
            ),
        expire() {
            const now = options.clock();
            for (const [serial, state] of operations) {
                if (state.kind !== "running" && state.expiresAt < now) {
                    operations.delete(serial);
                }
            }
        },
        size: () => operations.size,
    };

    function examine(ticket: string, service: ServiceId): Result<TicketFacts, RequestError> {
        const facts = parseTicket(ticket);
        if (facts === undefined) {
            return Err(requestError("ticketInvalid"));
        }
        if (facts.box !== options.box) {
            return Err(requestError("ticketOfOtherBox", { detail: facts.box }));
        }
        if (facts.incarnation !== options.incarnation) {
            return Err(requestError("ticketOfOtherIncarnation"));
        }
        if (!isAuthentic(facts, service)) {
            return Err(requestError("ticketInvalid"));
        }
        const state = operations.get(facts.serial);
        if (state !== undefined) {
            return Err(errorOfState(state));
        }
        if (facts.expiresAt < options.clock()) {
            return Err(requestError("ticketExpired"));
        }
        return Ok(facts);
    }

    function start({ serial, expiresAt }: TicketFacts): SpentTicket {
        operations.set(serial, { kind: "running", expiresAt });
        let finished = false;
        return {
            finish(outcome) {
                if (finished) {
                    return;
                }
                finished = true;
                switch (outcome.kind) {
                    case "notRun":
                        operations.delete(serial);
                        return;
                    case "answered":
                        operations.set(serial, { kind: "answered", expiresAt, status: outcome.status });
                        return;
                    case "unknown":
                        operations.set(serial, { kind: "unknown", expiresAt });
                        return;
                }
            },
        };
    }

    function isAuthentic(facts: TicketFacts, service: ServiceId): boolean {
        const expected = Buffer.from(codeOf(facts.body, service));
        const given = Buffer.from(facts.code);
        return expected.length === given.length && timingSafeEqual(expected, given);
    }

    function codeOf(body: string, service: ServiceId): string {
        return createHmac("sha256", options.key)
            .update(`${body}~${service}`)
            .digest("base64url")
            .slice(0, codeLength);
    }
}

function errorOfState(state: OperationState): RequestError {
    switch (state.kind) {
        case "running":
            return requestError("ticketRunning");
        case "answered":
            return requestError("ticketSpent", { detail: `status ${state.status}` });
        case "unknown":
            return requestError("ticketExpired", { detail: "the run broke off; its outcome is unknown" });
    }
}

function parseTicket(ticket: string): TicketFacts | undefined {
    const parts = ticket.split("~");
    if (parts.length !== 6 || parts[0] !== ticketPrefix) {
        return undefined;
    }
    const [, box, incarnation, serial, expiry, code] = parts;
    const expiresAt = milliseconds(parseInt(expiry, 36));
    if (Number.isNaN(expiresAt)) {
        return undefined;
    }
    return { box, incarnation, serial, expiresAt, body: parts.slice(0, -1).join("~"), code };
}

/**
 * Answers the claims of entry programs and keeps their leases renewed.
 */

import { type Clock, createGrantObserver, type Milliseconds, milliseconds } from "@chalkdale/core";
import type { CapacityClaim, ClaimedCapacity } from "@chalkdale/peer";
import type { Platform } from "@chalkdale/platform";
import { createTask, type Log, type Stepped } from "@chalkdale/runtime";
import { type CapacityHolder, createCapacityHolder } from "./capacity-holder.js";
import type { Contact } from "./contact.js";

/** The claims on one agent. */
export interface Claims extends Stepped {
    readonly answer: (claim: CapacityClaim) => ClaimedCapacity;
    /** Gives all leases back, for a planned stop. */
    readonly release: (signal: AbortSignal) => Promise<void>;
}

export interface ClaimsOptions {
    /** Incarnation of the agent. */
    readonly incarnation: string;
    readonly platform: Platform;
    readonly clock: Clock;
    readonly log: Log;
    readonly contact: Contact;
    readonly signal: AbortSignal;
    /** Returns whether a newer process of the same box is known. */
    readonly isSuperseded: (incarnation: string) => boolean;
}

interface KnownClaim {
    claim: CapacityClaim;
    claimedAt: Milliseconds;
    readonly holder: CapacityHolder;
    readonly task: Stepped;
}

/** A claim not repeated for this many milliseconds is forgotten. */
const claimLifetime = 5000;
/** Renewals within the time of a lease. */
const renewalsPerLease = 3;

/** Creates an agent's claims, none at first. */
export function createClaims(options: ClaimsOptions): Claims {
    const { clock } = options;
    const known = new Map<string, KnownClaim>();
    const observer = createGrantObserver();

    return {
        answer(claim) {
            const entry = note(claim);
            const held = entry.holder.held();
            const remaining = Math.max(0, held.until - clock());
            return {
                units: remaining > 0 ? held.units : {},
                leaseRemaining: remaining,
                floorRemaining: options.contact.remaining(milliseconds(claim.isolationTime * 1000)),
                superseded: options.isSuperseded(claim.incarnation),
            };
        },
        step() {
            for (const [incarnation, entry] of known) {
                if (clock() - entry.claimedAt > claimLifetime) {
                    known.delete(incarnation);
                    continue;
                }
                entry.task.step();
            }
        },
        async release(signal) {
            await Promise.all([...known.values()].map(entry => entry.holder.release(signal)));
            known.clear();
        },
    };

    function note(claim: CapacityClaim): KnownClaim {
        const entry = known.get(claim.incarnation);
        if (entry !== undefined) {
            entry.claim = claim;
            entry.claimedAt = clock();
            return entry;
        }
        const created = create(claim);
        known.set(claim.incarnation, created);
        return created;
    }

    function create(claim: CapacityClaim): KnownClaim {
        const holder = createCapacityHolder({
            ...options,
            holder: `${claim.incarnation}@${options.incarnation}`,
            observer,
            onContact: options.contact.note,
        });
        const entry: KnownClaim = { claim, claimedAt: clock(), holder, task: { step: () => undefined } };
        const task = createTask({
            clock,
            interval: () => entry.claim.leaseTime * 1000 / renewalsPerLease,
            signal: options.signal,
            onFailure: error => options.log.error("lease.failed", { reason: String(error) }),
        }, signal => holder.renew(requestOf(entry.claim), signal));
        return Object.assign(entry, { task });
    }
}

function requestOf(claim: CapacityClaim) {
    return {
        duration: milliseconds(claim.leaseTime * 1000),
        wanted: claim.wanted,
        settingsVersion: claim.settingsVersion,
        pools: claim.pools,
    };
}

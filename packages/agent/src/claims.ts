/**
 * Answers the claims of entry programs and keeps their leases renewed.
 */

import { type Clock, createGrantObserver, hashText, type Milliseconds, milliseconds } from "@chalkdale/core";
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
    readonly isSuperseded: (box: string, incarnation: string) => boolean;
}

interface KnownClaim {
    claim: CapacityClaim;
    claimedAt: Milliseconds;
    readonly holder: CapacityHolder;
    readonly task: Stepped;
    /** False when the last renewal met with nothing but conflicts. */
    settled: boolean;
    renewals: number;
}

/** A claim not repeated for this many milliseconds is forgotten. */
const claimLifetime = 5000;
/** Renewals within the time of a lease. */
const renewalsPerLease = 3;
/** A renewal after conflicts comes after this part of the usual time. */
const contendedPart = 0.15;

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
                superseded: options.isSuperseded(claim.box, claim.incarnation),
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
        const entry = { claim, claimedAt: clock(), holder, settled: true, renewals: 0 };
        const task = createTask({
            clock,
            interval: () => pauseOf(claim.incarnation, entry),
            signal: options.signal,
            onFailure: error => options.log.error("lease.failed", { reason: String(error) }),
        }, async signal => {
            entry.renewals++;
            entry.settled = await holder.renew(requestOf(entry.claim), signal);
        });
        return Object.assign(entry, { task });
    }
}

/**
 * Milliseconds to the next renewal: a third of the lease, made uneven by
 * hashing. Boxes that start together would otherwise write together for ever,
 * and the same few would always win.
 */
function pauseOf(incarnation: string, entry: Pick<KnownClaim, "claim" | "settled" | "renewals">): number {
    const usual = entry.claim.leaseTime * 1000 / renewalsPerLease;
    const spread = 0.7 + 0.6 * hashText(`${incarnation} ${entry.renewals}`) / hashRange;
    return usual * spread * (entry.settled ? 1 : contendedPart);
}

const hashRange = 0x1_0000_0000;

function requestOf(claim: CapacityClaim) {
    return {
        duration: milliseconds(claim.leaseTime * 1000),
        wanted: claim.wanted,
        settingsVersion: claim.settingsVersion,
        pools: claim.pools,
    };
}

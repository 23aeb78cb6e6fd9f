/**
 * Leased capacity above the floors, kept in one object at the platform.
 *
 * The object lists each holder's grant with a serial number that the holder
 * raises at every renewal. No two clocks are compared: a holder counts its
 * lease from before it sent the renewal, an observer counts from when it
 * first saw the serial, and gives the units to others only when the serial
 * stood still for the lease time and a margin. Every change is a conditional
 * update, so of two writers one is told to look again. (Gray and Cheriton,
 * "Leases", 1989; the clock-free expiry is the usual one of lease objects.)
 */

import { type Milliseconds, milliseconds } from "../kernel/ids.js";

/** Units per second by region. */
export type UnitsByRegion = Readonly<Record<string, number>>;

/** What one holder has. */
export interface CapacityGrant {
    /** Raised by the holder at every renewal. */
    readonly serial: number;
    /** Milliseconds that the lease holds from its renewal. */
    readonly duration: number;
    /** Units per second that the holder may use above its floor. */
    readonly units: UnitsByRegion;
    /** Units per second that the holder asked for. */
    readonly wanted: UnitsByRegion;
}

/** The object at the platform. */
export interface CapacityObject {
    /** Settings version that the pools were taken from; never goes down. */
    readonly settingsVersion: number;
    /** Units per second to give out, by region. */
    readonly pools: UnitsByRegion;
    /** Grants by holder. */
    readonly grants: Readonly<Record<string, CapacityGrant>>;
}

/** What a holder asks for. */
export interface CapacityRequest {
    readonly holder: string;
    /**
     * Highest serial that the holder has ever used, written or not. An entry that was taken out and
     * comes back must not bear a serial that an observer has already seen stand still.
     */
    readonly lastSerial: number;
    readonly duration: Milliseconds;
    readonly wanted: UnitsByRegion;
    readonly settingsVersion: number;
    readonly pools: UnitsByRegion;
}

/** Added to a lease's time before an observer calls it expired, as a part of it. */
export const expiryMargin = 0.5;

/** An object without grants. */
export const emptyCapacityObject: CapacityObject = { settingsVersion: 0, pools: {}, grants: {} };

/** Remembers since when each grant's serial has stood still. */
export interface GrantObserver {
    /** Notes an object as read at a time. */
    readonly observe: (object: CapacityObject, at: Milliseconds) => void;
    /** Returns whether a holder's grant has expired for sure. */
    readonly isExpired: (holder: string, at: Milliseconds) => boolean;
}

/** Creates an observer that has seen nothing: it takes every grant for live at first. */
export function createGrantObserver(): GrantObserver {
    const seen = new Map<string, { serial: number; since: Milliseconds; duration: number; }>();
    return {
        observe(object, at) {
            for (const holder of seen.keys()) {
                if (object.grants[holder] === undefined) {
                    seen.delete(holder);
                }
            }
            for (const [holder, grant] of Object.entries(object.grants)) {
                if (seen.get(holder)?.serial !== grant.serial) {
                    seen.set(holder, { serial: grant.serial, since: at, duration: grant.duration });
                }
            }
        },
        isExpired(holder, at) {
            const entry = seen.get(holder);
            return entry !== undefined && at - entry.since > entry.duration * (1 + expiryMargin);
        },
    };
}

/**
 * Returns the object with the holder's grant renewed: its wish, scaled down
 * when all wishes exceed the pool, and never more than what others leave.
 */
export function renewGrant(
    object: CapacityObject,
    request: CapacityRequest,
    isExpired: (holder: string) => boolean,
): CapacityObject {
    const newer = request.settingsVersion > object.settingsVersion;
    const pools = newer ? request.pools : object.pools;
    const others = Object.entries(object.grants)
        .filter(([holder]) => holder !== request.holder && !isExpired(holder));
    const units: Record<string, number> = {};
    for (const region of Object.keys(pools)) {
        units[region] = unitsFor(region, pools[region], request, others.map(([, grant]) => grant));
    }
    const previous = object.grants[request.holder];
    const grant: CapacityGrant = {
        serial: Math.max(previous?.serial ?? 0, request.lastSerial) + 1,
        duration: request.duration,
        units,
        wanted: request.wanted,
    };
    return {
        settingsVersion: Math.max(object.settingsVersion, request.settingsVersion),
        pools,
        grants: { ...Object.fromEntries(others), [request.holder]: grant },
    };
}

/** Returns the object without a holder's grant, for a planned stop. */
export function releaseGrant(object: CapacityObject, holder: string): CapacityObject {
    const grants = Object.fromEntries(Object.entries(object.grants).filter(([name]) => name !== holder));
    return { ...object, grants };
}

/** Returns, region by region, the smaller of two amounts. */
export function smallerUnits(a: UnitsByRegion, b: UnitsByRegion): UnitsByRegion {
    return Object.fromEntries(Object.keys(a).map(region => [region, Math.min(a[region], b[region] ?? 0)]));
}

function unitsFor(
    region: string,
    pool: number,
    request: CapacityRequest,
    others: readonly CapacityGrant[],
): number {
    const wanted = amountOf(request.wanted, region);
    const wantedByOthers = others.reduce((sum, grant) => sum + amountOf(grant.wanted, region), 0);
    const heldByOthers = others.reduce((sum, grant) => sum + amountOf(grant.units, region), 0);
    const allWanted = wanted + wantedByOthers;
    const fair = allWanted > pool ? wanted * pool / allWanted : wanted;
    return Math.max(0, Math.min(fair, pool - heldByOthers));
}

/** Returns an amount; what is no amount counts as none. */
function amountOf(units: UnitsByRegion, region: string): number {
    const amount = units[region];
    return Number.isFinite(amount) ? Math.max(0, amount) : 0;
}

/** A holder's own view of what it may use. */
export interface HeldCapacity {
    readonly units: UnitsByRegion;
    /** Monotonic time after which nothing of it may be used. */
    readonly until: Milliseconds;
}

/** Nothing held. */
export const nothingHeld: HeldCapacity = { units: {}, until: milliseconds(-Infinity) };

/**
 * What a holder may use while a renewal is under way: never more than either
 * the old or the proposed grant, since the write may have taken effect.
 */
export function heldWhileRenewing(held: HeldCapacity, proposed: CapacityGrant): HeldCapacity {
    return { units: smallerUnits(held.units, proposed.units), until: held.until };
}

/** What a holder may use once a renewal that was sent at a time is known to stand. */
export function heldAfterRenewal(grant: CapacityGrant, sentAt: Milliseconds): HeldCapacity {
    return { units: grant.units, until: milliseconds(sentAt + grant.duration) };
}

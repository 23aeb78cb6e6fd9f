/**
 * Holds a lease on capacity for one entry program.
 */

import {
    type CapacityObject,
    type CapacityRequest,
    type Clock,
    createGrantObserver,
    emptyCapacityObject,
    type GrantObserver,
    heldAfterRenewal,
    type HeldCapacity,
    heldWhileRenewing,
    type Milliseconds,
    nothingHeld,
    releaseGrant,
    renewGrant,
} from "@chalkdale/core";
import {
    type CallOptions,
    objectKeys,
    type Platform,
    type PlatformOutcome,
    type StoredObject,
} from "@chalkdale/platform";
import type { Log } from "@chalkdale/runtime";

/** What is asked for, apart from what the holder itself knows. */
export type CapacityWish = Omit<CapacityRequest, "holder" | "lastSerial">;

/** The lease of one entry program. */
export interface CapacityHolder {
    /**
     * Asks for capacity anew. Never rejects; without an answer the lease runs out.
     * @returns whether it came to an end, and not only to conflicts with other holders.
     */
    readonly renew: (request: CapacityWish, signal: AbortSignal) => Promise<boolean>;
    /** Gives the lease back. */
    readonly release: (signal: AbortSignal) => Promise<void>;
    /** Returns what may be used now. */
    readonly held: () => HeldCapacity;
}

export interface CapacityHolderOptions {
    /** Name of the lease; unique for each pair of entry program and agent. */
    readonly holder: string;
    readonly platform: Platform;
    readonly clock: Clock;
    readonly log: Log;
    /** Shared by all holders of one agent. */
    readonly observer?: GrantObserver;
    /** Told when the platform answered a question sent at a time. */
    readonly onContact: (sentAt: Milliseconds) => void;
}

const callTimeout = 2000;
const attempts = 4;

/** Creates a holder that holds nothing. */
export function createCapacityHolder(options: CapacityHolderOptions): CapacityHolder {
    const { holder, platform, clock, log } = options;
    const observer = options.observer ?? createGrantObserver();
    let held: HeldCapacity = nothingHeld;
    let lastSerial = 0;

    return { renew, release, held: () => held };

    async function renew(request: CapacityWish, signal: AbortSignal): Promise<boolean> {
        for (let attempt = 0; attempt < attempts; attempt++) {
            const read = await readObject(signal);
            if (read === undefined || (wantsNothing(request) && !isListed(read))) {
                return true;
            }
            const outcome = await writeRenewal(read, { ...request, holder, lastSerial }, signal);
            if (outcome === "ended") {
                return true;
            }
        }
        log.warn("lease.contended", { holder });
        return false;
    }

    function isListed(read: StoredObject | "absent"): boolean {
        return read !== "absent" && (read.value as CapacityObject).grants[holder] !== undefined;
    }

    /** Reads the object; undefined when the platform does not answer. */
    async function readObject(signal: AbortSignal): Promise<StoredObject | "absent" | undefined> {
        const sentAt = clock();
        const read = await platform.get(objectKeys.capacity, call(signal));
        switch (read.kind) {
            case "done":
                options.onContact(sentAt);
                observer.observe(read.value.value as CapacityObject, clock());
                return read.value;
            case "absent":
                options.onContact(sentAt);
                return "absent";
            case "conflict":
            case "unavailable":
            case "unknown":
                log.warn("lease.unavailable", { holder, reason: reasonOf(read) });
                return undefined;
        }
    }

    async function writeRenewal(
        read: StoredObject | "absent",
        request: CapacityRequest,
        signal: AbortSignal,
    ): Promise<"again" | "ended"> {
        const current = read === "absent" ? emptyCapacityObject : read.value as CapacityObject;
        const next = renewGrant(current, request, name => observer.isExpired(name, clock()));
        const proposed = next.grants[holder];
        lastSerial = proposed.serial;
        held = heldWhileRenewing(held, proposed);
        const sentAt = clock();
        const written = await write(read, next, signal);
        switch (written.kind) {
            case "done":
                held = heldAfterRenewal(proposed, sentAt);
                return "ended";
            case "conflict":
            case "absent":
                return "again";
            case "unavailable":
                log.warn("lease.unavailable", { holder, reason: written.reason });
                return "ended";
            case "unknown":
                return settleUnknown(proposed.serial, sentAt, signal);
        }
    }

    /** After a lost answer: the object itself says whether the write took effect. */
    async function settleUnknown(
        serial: number,
        sentAt: Milliseconds,
        signal: AbortSignal,
    ): Promise<"again" | "ended"> {
        const read = await readObject(signal);
        if (read === undefined || read === "absent") {
            return "ended";
        }
        const found = (read.value as CapacityObject).grants[holder];
        if (found?.serial !== serial) {
            return "again";
        }
        log.info("lease.settled", { holder, serial });
        held = heldAfterRenewal(found, sentAt);
        return "ended";
    }

    function write(read: StoredObject | "absent", next: CapacityObject, signal: AbortSignal) {
        return read === "absent"
            ? platform.create(objectKeys.capacity, next, call(signal))
            : platform.update(objectKeys.capacity, read.version, next, call(signal));
    }

    async function release(signal: AbortSignal): Promise<void> {
        held = nothingHeld;
        const read = await readObject(signal);
        if (read === undefined || read === "absent") {
            return;
        }
        await write(read, releaseGrant(read.value as CapacityObject, holder), signal);
    }

    function call(signal: AbortSignal): CallOptions {
        return { timeout: callTimeout, signal };
    }
}

function wantsNothing({ wanted }: CapacityWish): boolean {
    return Object.values(wanted).every(units => units === 0);
}

function reasonOf(outcome: PlatformOutcome<unknown>): string {
    return "reason" in outcome ? outcome.reason : outcome.kind;
}

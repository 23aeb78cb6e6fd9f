/**
 * Brings the platform's objects into the records: relays watch, and any
 * other box reads now and then while its relays are silent.
 */

import {
    type Clock,
    type MemberList,
    type Milliseconds,
    milliseconds,
    objectVersion,
    type OriginTraffic,
} from "@chalkdale/core";
import { type PeerRecord, recordKeys } from "@chalkdale/peer";
import {
    objectKeys,
    type Platform,
    type PlatformOutcome,
    type StoredObject,
    type WatchBatch,
} from "@chalkdale/platform";
import { createTask, type Log, type Stepped } from "@chalkdale/runtime";

export interface PlatformFeedOptions {
    readonly platform: Platform;
    readonly clock: Clock;
    readonly log: Log;
    readonly signal: AbortSignal;
    readonly onRecords: (records: readonly PeerRecord[]) => void;
    readonly onContact: (sentAt: Milliseconds) => void;
    readonly isRelay: () => boolean;
    /** Returns whether a relay has been heard lately. */
    readonly hearsRelays: () => boolean;
}

/** What the platform's answers have been. */
export interface PlatformFeed extends Stepped {
    /** Returns milliseconds since the platform last answered; infinite when it never did. */
    readonly silence: () => number;
    readonly firstReadEnded: () => boolean;
}

const listTimeout = 2000;
/** Milliseconds that a watch waits. */
const watchTime = 20_000;
const retryPause = 500;
/** Milliseconds between direct reads of a box that hears no relay. */
const fallbackInterval = 5000;
/** Milliseconds between reads of a box that hears its relays, against a relay that is behind. */
const auditInterval = 60_000;

/** Creates the feed. Its first step reads everything once. */
export function createPlatformFeed(options: PlatformFeedOptions): PlatformFeed {
    const { platform, clock, log } = options;
    let version = objectVersion(0);
    let answeredAt = milliseconds(-Infinity);
    let firstReadEnded = false;
    let listed = false;
    let available = true;
    const onFailure = (error: unknown) => log.error("platform.failed", { reason: String(error) });
    const watching = createTask(
        { clock, interval: () => available ? 0 : retryPause, signal: options.signal, onFailure },
        watchOnce,
    );
    const reading = createTask(
        { clock, interval: readInterval, signal: options.signal, onFailure },
        readAll,
    );

    return {
        step() {
            if (firstReadEnded && listed && options.isRelay()) {
                watching.step();
                return;
            }
            reading.step();
        },
        silence: () => clock() - answeredAt,
        firstReadEnded: () => firstReadEnded,
    };

    function readInterval(): number {
        if (!listed && options.isRelay()) {
            return retryPause;
        }
        return options.hearsRelays() ? auditInterval : fallbackInterval;
    }

    async function readAll(signal: AbortSignal): Promise<void> {
        const sentAt = clock();
        const outcome = await platform.list(objectKeys.watched, { timeout: listTimeout, signal });
        const shares = await platform.get(objectKeys.lastShares, { timeout: listTimeout, signal });
        const objects = shares.kind === "done" ? [shares.value] : [];
        take(outcome, sentAt, objects);
        firstReadEnded = true;
    }

    async function watchOnce(signal: AbortSignal): Promise<void> {
        const sentAt = clock();
        take(await platform.watch(objectKeys.watched, version, { timeout: watchTime, signal }), sentAt, []);
    }

    function take(outcome: PlatformOutcome<WatchBatch>, sentAt: Milliseconds, more: readonly StoredObject[]): void {
        if (options.signal.aborted) {
            return;
        }
        noteAvailability(outcome);
        if (outcome.kind !== "done") {
            listed = false;
            return;
        }
        listed = true;
        answeredAt = clock();
        version = objectVersion(Math.max(version, outcome.value.version));
        options.onContact(sentAt);
        options.onRecords([...outcome.value.objects, ...more].flatMap(recordOf));
    }

    function noteAvailability(outcome: PlatformOutcome<unknown>): void {
        const now = outcome.kind === "done";
        if (now === available) {
            return;
        }
        available = now;
        if (now) {
            log.info("platform.back");
            return;
        }
        log.warn("platform.unavailable", { reason: "reason" in outcome ? outcome.reason : outcome.kind });
    }
}

/** Returns the record of an object, or nothing for an object of another kind. */
function recordOf({ key, version, value }: StoredObject): PeerRecord[] {
    const common = { sequence: version, age: 0 };
    if (key === objectKeys.settings) {
        const document = JSON.stringify((value as { document: unknown; }).document);
        return [{ ...common, key: recordKeys.settings, payload: { kind: "settings", document } }];
    }
    if (key === objectKeys.lastShares) {
        const { traffic } = value as { traffic: OriginTraffic[]; };
        return [{ ...common, key: recordKeys.lastShares, payload: { kind: "lastShares", traffic } }];
    }
    const list = value as MemberList;
    if (key === objectKeys.members(list.zone)) {
        return [{ ...common, key: recordKeys.members(list.zone), payload: { kind: "members", list } }];
    }
    return [];
}

/**
 * The agent's cache of records and those who subscribe to its changes.
 */

import { type Clock, createRecordCache, type Milliseconds, milliseconds, type RecordPolicy } from "@chalkdale/core";
import { type Payload, type PeerRecord, recordKeys, type SubscriptionScope } from "@chalkdale/peer";

/** The records of one agent. */
export interface RecordHub {
    /** Takes records in and passes on those that are new. */
    readonly merge: (records: readonly PeerRecord[]) => readonly PeerRecord[];
    readonly get: (key: string) => PeerRecord | undefined;
    readonly list: (prefix: string) => readonly PeerRecord[];
    /** Yields all records, then changes as they come, and an empty batch at each heartbeat. */
    readonly subscribe: (scope: SubscriptionScope, signal: AbortSignal) => AsyncIterable<readonly PeerRecord[]>;
    /** Drops old records and sends what is due. */
    readonly step: () => void;
    readonly subscriberCount: () => number;
}

/** Milliseconds between two heartbeats to a subscriber. */
const heartbeatInterval = 1000;
/** Milliseconds for which measurements are gathered into one batch. */
const flushInterval = 300;
const statusLifetime = 5000;
const summaryLifetime = 30_000;
const probesLifetime = 10_000;

interface Subscriber {
    readonly scope: SubscriptionScope;
    /** Keys whose newest copy it has not been sent; never more than the cache has records. */
    readonly pending: Set<string>;
    wake: () => void;
    lastSent: Milliseconds;
    /** True when a batch is to go out. */
    due: boolean;
    /** True when something waits that may not wait long. */
    urgent: boolean;
}

/** Creates an empty hub; `isOwn` tells the records that this agent makes or was sent by its zone's boxes. */
export function createRecordHub(clock: Clock, isOwn: (key: string) => boolean): RecordHub {
    const cache = createRecordCache<Payload>(policyOf);
    const subscribers = new Set<Subscriber>();

    return {
        merge,
        get: key => cache.get(key, clock()),
        list: prefix => cache.list(prefix, clock()),
        subscribe,
        step() {
            cache.expire(clock());
            subscribers.forEach(flush);
        },
        subscriberCount: () => subscribers.size,
    };

    function merge(records: readonly PeerRecord[]): readonly PeerRecord[] {
        const news = cache.merge(records, clock());
        subscribers.forEach(subscriber => queue(subscriber, news));
        return news;
    }

    function queue(subscriber: Subscriber, records: readonly PeerRecord[]): void {
        const wanted = records.filter(({ key }) => isWanted(key, subscriber.scope));
        if (wanted.length === 0) {
            return;
        }
        wanted.forEach(({ key }) => subscriber.pending.add(key));
        subscriber.urgent ||= wanted.some(({ key }) => isOfPlatform(key));
    }

    /** Statuses of single boxes go to their zone's relays only, by publication. */
    function isWanted(key: string, scope: SubscriptionScope): boolean {
        if (key.startsWith(recordKeys.statusPrefix)) {
            return false;
        }
        return scope === "all" || isOwn(key) || isOfPlatform(key);
    }

    /** Sends what is due: platform records at once, others together a few times a second. */
    function flush(subscriber: Subscriber): void {
        const silence = clock() - subscriber.lastSent;
        const hasNews = subscriber.pending.size > 0 && silence >= flushInterval;
        if (subscriber.urgent || hasNews || silence >= heartbeatInterval) {
            subscriber.due = true;
            subscriber.wake();
        }
    }

    async function* subscribe(scope: SubscriptionScope, signal: AbortSignal): AsyncGenerator<readonly PeerRecord[]> {
        const subscriber: Subscriber = {
            scope,
            pending: new Set(cache.list("", clock()).map(({ key }) => key).filter(key => isWanted(key, scope))),
            wake: () => undefined,
            lastSent: clock(),
            due: true,
            urgent: false,
        };
        const wakeUp = () => subscriber.wake();
        signal.addEventListener("abort", wakeUp, { once: true });
        subscribers.add(subscriber);
        try {
            while (!signal.aborted) {
                if (subscriber.due) {
                    yield takePending(subscriber);
                    continue;
                }
                await new Promise<void>(resolve => {
                    subscriber.wake = resolve;
                });
            }
        }
        finally {
            subscribers.delete(subscriber);
            signal.removeEventListener("abort", wakeUp);
        }
    }

    /** Takes what is pending, with the ages as of now. */
    function takePending(subscriber: Subscriber): readonly PeerRecord[] {
        const records = [...subscriber.pending]
            .map(key => cache.get(key, clock()))
            .filter(record => record !== undefined);
        subscriber.pending.clear();
        subscriber.due = false;
        subscriber.urgent = false;
        subscriber.lastSent = clock();
        return records;
    }
}

function isOfPlatform(key: string): boolean {
    return key === recordKeys.settings || key === recordKeys.lastShares || key.startsWith(recordKeys.membersPrefix);
}

function policyOf(key: string): RecordPolicy {
    if (key.startsWith(recordKeys.statusPrefix)) {
        return { lifetime: milliseconds(statusLifetime) };
    }
    if (key.startsWith(recordKeys.summaryPrefix)) {
        return { lifetime: milliseconds(summaryLifetime) };
    }
    if (key.startsWith(recordKeys.probesPrefix)) {
        return { lifetime: milliseconds(probesLifetime) };
    }
    return { lifetime: undefined };
}

/**
 * The agent's cache of records and those who subscribe to its changes.
 */

import { type Clock, createRecordCache, type Milliseconds, milliseconds, type RecordPolicy } from "@chalkdale/core";
import { type Payload, type PeerRecord, recordKeys } from "@chalkdale/peer";

/** The records of one agent. */
export interface RecordHub {
    /** Takes records in and passes on those that are new. */
    readonly merge: (records: readonly PeerRecord[]) => readonly PeerRecord[];
    readonly get: (key: string) => PeerRecord | undefined;
    readonly list: (prefix: string) => readonly PeerRecord[];
    /** Yields all records, then changes as they come, and an empty batch at each heartbeat. */
    readonly subscribe: (signal: AbortSignal) => AsyncIterable<readonly PeerRecord[]>;
    /** Drops old records and sends heartbeats where due. */
    readonly step: () => void;
    readonly subscriberCount: () => number;
}

/** Milliseconds between two heartbeats to a subscriber. */
const heartbeatInterval = 1000;
/** Records that wait for a slow subscriber; beyond that it is sent all anew. */
const longestQueue = 10_000;
const statusLifetime = 5000;
const summaryLifetime = 30_000;
const probesLifetime = 10_000;

interface Subscriber {
    /** Newest copy of each key that it has not been sent. */
    readonly pending: Map<string, PeerRecord>;
    wake: () => void;
    lastSent: Milliseconds;
    heartbeatDue: boolean;
}

/** Creates an empty hub. */
export function createRecordHub(clock: Clock): RecordHub {
    const cache = createRecordCache<Payload>(policyOf);
    const subscribers = new Set<Subscriber>();

    return {
        merge,
        get: key => cache.get(key, clock()),
        list: prefix => cache.list(prefix, clock()),
        subscribe,
        step() {
            cache.expire(clock());
            subscribers.forEach(sendHeartbeat);
        },
        subscriberCount: () => subscribers.size,
    };

    function merge(records: readonly PeerRecord[]): readonly PeerRecord[] {
        const news = cache.merge(records, clock());
        const shared = news.filter(record => isShared(record.key));
        if (shared.length > 0) {
            subscribers.forEach(subscriber => queue(subscriber, shared));
        }
        return news;
    }

    function queue(subscriber: Subscriber, records: readonly PeerRecord[]): void {
        records.forEach(record => subscriber.pending.set(record.key, record));
        if (subscriber.pending.size > longestQueue) {
            subscriber.pending.clear();
            sharedRecords().forEach(record => subscriber.pending.set(record.key, record));
        }
        subscriber.wake();
    }

    function sharedRecords(): readonly PeerRecord[] {
        return cache.list("", clock()).filter(record => isShared(record.key));
    }

    function sendHeartbeat(subscriber: Subscriber): void {
        if (clock() - subscriber.lastSent >= heartbeatInterval) {
            subscriber.heartbeatDue = true;
            subscriber.wake();
        }
    }

    async function* subscribe(signal: AbortSignal): AsyncGenerator<readonly PeerRecord[]> {
        const subscriber: Subscriber = {
            pending: new Map(sharedRecords().map(record => [record.key, record])),
            wake: () => undefined,
            lastSent: clock(),
            heartbeatDue: true,
        };
        const wakeUp = () => subscriber.wake();
        signal.addEventListener("abort", wakeUp, { once: true });
        subscribers.add(subscriber);
        try {
            while (!signal.aborted) {
                if (subscriber.pending.size > 0 || subscriber.heartbeatDue) {
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
        const records = [...subscriber.pending.keys()]
            .map(key => cache.get(key, clock()))
            .filter(record => record !== undefined);
        subscriber.pending.clear();
        subscriber.heartbeatDue = false;
        subscriber.lastSent = clock();
        return records;
    }
}

/** Statuses of single boxes go to their zone's relays only. */
function isShared(key: string): boolean {
    return !key.startsWith(recordKeys.statusPrefix);
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

/**
 * Writes the states of orders into the store: for each service one write at a
 * time, with a pause after one that failed. A write without an answer may be done
 * or be done later, so the order is read again before the next.
 *
 * Owns which writes are in progress; relies on the revision under which the store
 * writes, by which one of several writers wins.
 */

import {
    describePosition,
    initialBackoff,
    jitteredBackoff,
    nextBackoff,
    type RolloutOrder,
    type RolloutState,
} from "@chalkdale/decisions";
import type { Clock, Milliseconds, ServiceId } from "@chalkdale/kernel";
import type { Log } from "@chalkdale/runtime";
import type { StateStore } from "../state/state-store.js";

export interface RolloutWriterOptions {
    readonly clock: Clock;
    readonly random: () => number;
    readonly log: Log;
    readonly store: Pick<StateStore, "writeRolloutState" | "readRollout">;
    /** The store has the order so; undefined: it has none. */
    readonly onOrder: (service: ServiceId, order: RolloutOrder | undefined) => void;
    readonly signal: AbortSignal;
}

/** The writer of one box. */
export interface RolloutWriter {
    /** Begins to write a state, unless a write for the service is in progress or pauses. Whoever wants it written asks again. */
    readonly write: (order: RolloutOrder, state: RolloutState) => void;
    /** True while the last call for a service failed. */
    readonly isFailing: (service: ServiceId) => boolean;
}

interface Failure {
    readonly backoff: Milliseconds;
    readonly until: Milliseconds;
}

/** Creates the writer. */
export function createRolloutWriter(options: RolloutWriterOptions): RolloutWriter {
    const { clock, log, signal, store } = options;
    const inProgress = new Set<ServiceId>();
    const failures = new Map<ServiceId, Failure>();

    return {
        write(order, state) {
            const { service } = order;
            const failure = failures.get(service);
            if (inProgress.has(service) || failure !== undefined && clock() < failure.until || signal.aborted) {
                return;
            }
            inProgress.add(service);
            void carryOut(order, state).finally(() => inProgress.delete(service));
        },
        isFailing: service => failures.has(service),
    };

    /** Never rejects. */
    async function carryOut(order: RolloutOrder, state: RolloutState): Promise<void> {
        const { service, targetVersion } = order;
        try {
            if (failures.has(service) && !await isUnchanged(order)) {
                return;
            }
            const stored = await store.writeRolloutState(order, state, signal);
            failures.delete(service);
            const revision = stored && describePosition(stored.revision);
            log.info("rollout.written", { service, targetVersion, wanted: state, stored: stored?.state, revision });
            options.onOrder(service, stored);
        }
        catch (error) {
            onFailure(service);
            log.warn("rollout.writeFailed", { service, targetVersion, wanted: state, reason: String(error) });
        }
    }

    /** Reads the order again; true if the write still applies to what the store has. */
    async function isUnchanged({ revision, service }: RolloutOrder): Promise<boolean> {
        const stored = await store.readRollout(service, signal);
        failures.delete(service);
        options.onOrder(service, stored);
        return stored?.revision === revision;
    }

    function onFailure(service: ServiceId): void {
        const last = failures.get(service);
        const backoff = last === undefined ? initialBackoff : nextBackoff(last.backoff, true);
        const until = clock() + jitteredBackoff(backoff, options.random());
        failures.set(service, { backoff, until: until as Milliseconds });
    }
}

/**
 * Writes the states of orders into the store: one write at a time for each service,
 * with a back-off after a failure. A write without an answer may have been applied
 * or may still be applied, so the order is read again before the next write.
 *
 * Owns which writes are in progress and the back-offs; relies on the store's check
 * of revisions, by which one of several writers wins.
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
    /** Called with the order as the store has it; undefined if it has none. */
    readonly onOrder: (service: ServiceId, order: RolloutOrder | undefined) => void;
    readonly signal: AbortSignal;
}

/** The writer of one box. */
export interface RolloutWriter {
    /**
     * Starts to write a state, unless a write for the service is in progress or backs off. Callers repeat the call
     * until the state is written.
     */
    readonly write: (order: RolloutOrder, state: RolloutState) => void;
    /** True if the last call of the store for a service failed. */
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
            void writeState(order, state).finally(() => inProgress.delete(service));
        },
        isFailing: service => failures.has(service),
    };

    /** Never rejects. */
    async function writeState(order: RolloutOrder, state: RolloutState): Promise<void> {
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

    /** Reads the order again; true if it still has the revision that the write is based on. */
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

/**
 * Roll-outs in a soak run: operators start servers of a new version beside the old ones
 * and order the service to move onto them. Once the state in the store is final, they stop
 * the old servers at once (completed) or drain the new ones (any other outcome).
 *
 * Owns the orders and the observed states; the checks read them.
 */

import { createSeededRandom, milliseconds } from "@chalkdale/kernel";
import { pause } from "../standins/deployment.js";
import { rolloutObject } from "../standins/platform-objects.js";
import { pickRandom } from "./fault-tools.js";
import type { Interval, ObservedRollout } from "./observations.js";
import { inForceWithin } from "./soak-bounds.js";
import { type SoakEnvironment, zoneNames } from "./soak-environment.js";
import type { SoakServer } from "./soak-servers.js";

/** The roll-outs of one run. */
export interface SoakRollouts {
    /** All orders so far, with the states that the store showed. */
    readonly observed: readonly ObservedRollout[];
    /**
     * Orders one version after the other until the time `end` of the run; resolves once the servers of the
     * losing versions are removed.
     */
    readonly startRolloutsUntil: (end: number) => Promise<void>;
    /** Ends the observation of states. */
    readonly stopObserving: () => void;
}

const services = ["profiles", "packs"];
/** Duration over which a roll-out is ordered. */
const rolloutDuration = milliseconds(8000);
/** Milliseconds after that in which a state may still be written: the store may be unavailable as long. */
const maxStateDelay = 6000;
/** Fraction of its requests that a bad version fails. */
const failureFraction = 0.6;
/** Time between two reads of the state. */
const pollInterval = milliseconds(20);
/** Maximum pause before an order, in milliseconds. */
const maxPause = 3000;
/** Spreads the runs' seeds: generators with consecutive seeds would begin with similar draws. */
const seedMultiplier = 7919;

/**
 * Creates the roll-outs without ordering any. `drained`: by server id, when the server must get no requests;
 * entries are added.
 */
export function createSoakRollouts(environment: SoakEnvironment, drained: Map<string, Interval>): SoakRollouts {
    const { now, logEvent, servers, store } = environment;
    // A separate source, so that the other draws from a seed stay the same.
    const random = createSeededRandom(environment.seed * seedMultiplier);
    const observed: ObservedRollout[] = [];
    const movingServices = new Set<string>();
    let isStopped = false;

    return {
        observed,
        async startRolloutsUntil(end) {
            const rollouts: Promise<void>[] = [];
            while (now() < end) {
                await pause(milliseconds(maxPause * random()));
                const service = pickRandom(services, random);
                if (now() < end && !movingServices.has(service)) {
                    rollouts.push(rollOut(service));
                }
            }
            await Promise.all(rollouts);
        },
        stopObserving() {
            isStopped = true;
        },
    };

    async function rollOut(service: string): Promise<void> {
        movingServices.add(service);
        await moveTo(service, `v${observed.length + 2}`, random() < 0.5);
        movingServices.delete(service);
    }

    async function moveTo(service: string, version: string, isBad: boolean): Promise<void> {
        const target: SoakServer[] = [];
        for (const zone of zoneNames) {
            target.push(await environment.addServer(service, zone, version));
        }
        if (isBad) {
            target.forEach(server => {
                server.isExcludedFromFaults = true;
                server.backend.setBehaviour(() =>
                    random() < failureFraction ? { kind: "fail", status: 500 } : { kind: "serve" }
                );
            });
        }
        logEvent(`fault="order of ${isBad ? "bad" : "good"} ${version} for ${service}"`);
        store.put("rollouts", service, rolloutObject(service, version, `${rolloutDuration}ms`));
        const serverIds = new Set(target.map(({ backend }) => backend.id));
        const order: ObservedRollout = {
            service,
            version,
            isBad,
            from: now(),
            to: now() + rolloutDuration,
            servers: serverIds,
            states: [],
        };
        observed.push(order);
        void observeStates(order);
        while (finalState(order) === undefined && now() < order.to + maxStateDelay) {
            await pause(pollInterval);
        }
        logEvent(`rollout=${version} service=${service} state=${finalState(order) ?? "undecided"}`);
        if (finalState(order) === "completed") {
            stopOtherVersions(service, version);
        }
        else {
            if (finalState(order) === undefined) {
                // An operator withdraws an order before ending its servers; boxes may still complete it otherwise.
                store.delete("rollouts", service);
            }
            await drainTarget(target);
        }
    }

    /** Stops the servers of other versions at once. */
    function stopOtherVersions(service: string, version: string): void {
        environment.setVersion(service, version);
        for (const server of servers.filter(other => other.service === service && other.version !== version)) {
            markDrained(server);
            server.isPermanentlyStopped = true;
            store.delete("servers", server.backend.id);
            server.backend.close();
        }
    }

    /** Drains the servers of the new version for some seconds, then removes their records. */
    async function drainTarget(target: readonly SoakServer[]): Promise<void> {
        target.forEach(server => {
            environment.writeRecord(server, "draining");
            markDrained(server);
        });
        await pause(milliseconds(inForceWithin));
        target.forEach(({ backend }) => store.delete("servers", backend.id));
    }

    function markDrained(server: SoakServer): void {
        server.gone = true;
        drained.set(server.backend.id, { from: now() + inForceWithin, to: Infinity });
    }

    /** Once the store was restored from an older snapshot, it may show an earlier state again, which is not new. */
    function isNewState(state: string, states: ObservedRollout["states"]): boolean {
        return store.epoch() === undefined
            ? state !== states.at(-1)?.state
            : !states.some(seen => seen.state === state);
    }

    async function observeStates({ service, states, version }: ObservedRollout): Promise<void> {
        while (!isStopped) {
            const { body } = store.get("rollouts", service);
            const { spec, status } = (body ?? {}) as {
                spec?: { target_version: string; };
                status?: { state: string; target_version: string; };
            };
            const isReplaced = spec !== undefined && spec.target_version !== version;
            if (isReplaced && store.lostWrites().every(({ kind }) => kind !== "rollouts")) {
                return;
            }
            if (status?.target_version === version && isNewState(status.state, states)) {
                states.push({ state: status.state, at: now() });
            }
            await pause(pollInterval);
        }
    }
}

function finalState({ states }: ObservedRollout): string | undefined {
    return states.find(({ state }) => state !== "running")?.state;
}

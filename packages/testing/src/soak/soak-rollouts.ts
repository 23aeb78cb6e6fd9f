/**
 * Roll-outs in a soak run: operators start servers of a new version beside the
 * old ones and order the service onto them; then they stop the old servers at
 * once, or empty the new ones, as the state in the store says.
 *
 * Owns what was ordered and which states were seen; the checks read it.
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
    readonly observed: readonly ObservedRollout[];
    /** Orders one version after the other until a time of the run. Resolves when the servers that lost are gone. */
    readonly startRolloutsUntil: (end: number) => Promise<void>;
    /** Notes the states until the run is over. */
    readonly stopObserving: () => void;
}

const services = ["profiles", "packs"];
const over = milliseconds(8000);
/** Milliseconds beyond that in which a state may still be written: the store may be out as long. */
const lateBy = 6000;
/** Part of the requests that a bad version fails. */
const failedPart = 0.6;
const pollInterval = milliseconds(20);
/** Longest pause between two orders, in milliseconds. */
const longestPause = 3000;
/** Draws of seeds that follow on each other would begin alike. */
const seedSpread = 7919;

/** Creates it; nothing is ordered yet. `drained`: from when on a server must get nothing, by its id. */
export function createSoakRollouts(world: SoakEnvironment, drained: Map<string, Interval>): SoakRollouts {
    const { now, logEvent: say, servers, store } = world;
    // Its own, so that what else is drawn from a seed stays as it is.
    const random = createSeededRandom(world.seed * seedSpread);
    const observed: ObservedRollout[] = [];
    const moving = new Set<string>();
    let isOver = false;

    return {
        observed,
        async startRolloutsUntil(end) {
            const moves: Promise<void>[] = [];
            while (now() < end) {
                await pause(milliseconds(longestPause * random()));
                const service = pickRandom(services, random);
                if (now() < end && !moving.has(service)) {
                    moves.push(rollOut(service));
                }
            }
            await Promise.all(moves);
        },
        stopObserving() {
            isOver = true;
        },
    };

    async function rollOut(service: string): Promise<void> {
        moving.add(service);
        await moveTo(service, `v${observed.length + 2}`, random() < 0.5);
        moving.delete(service);
    }

    async function moveTo(service: string, version: string, isBad: boolean): Promise<void> {
        const target: SoakServer[] = [];
        for (const zone of zoneNames) {
            target.push(await world.addServer(service, zone, version));
        }
        if (isBad) {
            target.forEach(server => {
                server.isExcludedFromFaults = true;
                server.backend.setBehaviour(() =>
                    random() < failedPart ? { kind: "fail", status: 500 } : { kind: "serve" }
                );
            });
        }
        say(`fault="order of ${isBad ? "bad" : "good"} ${version} for ${service}"`);
        store.put("rollouts", service, rolloutObject(service, version, `${over}ms`));
        const ids = new Set(target.map(({ backend }) => backend.id));
        const order: ObservedRollout = {
            service,
            version,
            isBad,
            from: now(),
            to: now() + over,
            servers: ids,
            states: [],
        };
        observed.push(order);
        void noteStates(order);
        while (finalState(order) === undefined && now() < order.to + lateBy) {
            await pause(pollInterval);
        }
        say(`rollout=${version} service=${service} state=${finalState(order) ?? "undecided"}`);
        if (finalState(order) === "completed") {
            stopOthers(service, version);
        }
        else {
            await empty(target);
        }
    }

    /** The old servers are stopped at once. */
    function stopOthers(service: string, version: string): void {
        world.setVersion(service, version);
        for (const server of servers.filter(other => other.service === service && other.version !== version)) {
            retire(server);
            server.isPermanentlyStopped = true;
            store.delete("servers", server.backend.id);
            server.backend.close();
        }
    }

    /** The new servers drain for some seconds. */
    async function empty(target: readonly SoakServer[]): Promise<void> {
        target.forEach(server => {
            world.writeRecord(server, "draining");
            retire(server);
        });
        await pause(milliseconds(inForceWithin));
        target.forEach(({ backend }) => store.delete("servers", backend.id));
    }

    function retire(server: SoakServer): void {
        server.gone = true;
        drained.set(server.backend.id, { from: now() + inForceWithin, to: Infinity });
    }

    /** A store that came back from an older copy may show an earlier state once more. */
    function isNews(state: string, states: ObservedRollout["states"]): boolean {
        return store.epoch() === undefined
            ? state !== states.at(-1)?.state
            : !states.some(known => known.state === state);
    }

    async function noteStates({ service, states, version }: ObservedRollout): Promise<void> {
        while (!isOver) {
            const { body } = store.get("rollouts", service);
            const { spec, status } = (body ?? {}) as {
                spec?: { target_version: string; };
                status?: { state: string; target_version: string; };
            };
            const isReplaced = spec !== undefined && spec.target_version !== version;
            if (isReplaced && store.lostWrites().every(({ kind }) => kind !== "rollouts")) {
                return;
            }
            if (status?.target_version === version && isNews(status.state, states)) {
                states.push({ state: status.state, at: now() });
            }
            await pause(pollInterval);
        }
    }
}

function finalState({ states }: ObservedRollout): string | undefined {
    return states.find(({ state }) => state !== "running")?.state;
}

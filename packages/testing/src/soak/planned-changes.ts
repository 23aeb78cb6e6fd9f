/**
 * Planned changes of a soak run, as operators make them: servers are replaced and
 * restarted, availability zones closed, and the configuration changed.
 *
 * Owns when a server or a zone must get no requests; the checks read it.
 */

import { milliseconds, type RandomSource } from "@chalkdale/kernel";
import { pause } from "../standins/deployment.js";
import { type Fault, pickRandom } from "./fault-tools.js";
import type { Interval } from "./observations.js";
import { inForceWithin } from "./soak-bounds.js";
import { type SoakEnvironment, zoneNames } from "./soak-environment.js";
import { createSoakRollouts, type SoakRollouts } from "./soak-rollouts.js";
import type { SoakServer } from "./soak-servers.js";

/** The changes of one run. */
export interface PlannedChanges {
    /** By server id: when the server must get no requests. */
    readonly drained: ReadonlyMap<string, Interval>;
    /** By availability zone: when its servers must get no requests. */
    readonly zoneClosures: ReadonlyMap<string, readonly Interval[]>;
    /** Drains and removes a server; another of its service takes its place. */
    readonly replaceServer: Fault;
    /** Restarts a server, also one that drains; that one is in use again afterwards. */
    readonly restart: (random: RandomSource) => Promise<void>;
    /** Closes a random availability zone for a while. */
    readonly closeZone: Fault;
    /** Writes the next version of the configuration. */
    readonly changeConfiguration: Fault;
    readonly rollouts: SoakRollouts;
}

/** Time for which a draining server stays listed. */
const drainTime = milliseconds(3000);
/** Maximum downtime of a restarting server, in milliseconds. */
const maxDownTime = 1500;
/** Maximum time that a zone stays closed once its closure must be in force, in milliseconds. */
const maxClosedTime = 2500;

/** Creates the changes without making any. */
export function createPlannedChanges(environment: SoakEnvironment): PlannedChanges {
    const { now, random, logEvent, servers, store } = environment;
    const drained = new Map<string, Interval>();
    const zoneClosures = new Map<string, Interval[]>();
    const closedZones = new Set<string>();
    /** Servers that `replaceServer` drained and `restart` may take into use again. */
    const replaced = new Set<SoakServer>();

    const rollouts = createSoakRollouts(environment, drained);
    return {
        drained,
        zoneClosures,
        replaceServer,
        restart,
        closeZone,
        changeConfiguration,
        rollouts,
    };

    async function replaceServer(): Promise<void> {
        const server = servers.find(candidate => !candidate.gone && !candidate.isExcludedFromFaults);
        if (server === undefined || servers.length > environment.mostServers) {
            return;
        }
        server.gone = true;
        logEvent(`fault="release of ${server.backend.id}"`);
        await environment.addServer(server.service, server.zone);
        environment.writeRecord(server, "draining");
        drained.set(server.backend.id, { from: now() + inForceWithin, to: Infinity });
        replaced.add(server);
        await pause(drainTime);
        if (server.gone) {
            store.delete("servers", server.backend.id);
        }
    }

    async function restart(restartRandom: RandomSource): Promise<void> {
        const running = servers.filter(({ isDown, isPermanentlyStopped }) => !isDown && !isPermanentlyStopped);
        const candidates = running.filter(server =>
            replaced.has(server) || !server.gone && !server.isExcludedFromFaults
        );
        if (candidates.length === 0) {
            return;
        }
        const server = pickRandom(candidates, restartRandom);
        const { id } = server.backend;
        logEvent(`fault="restart of ${id}${server.gone ? ", which was leaving" : ""}"`);
        replaced.delete(server);
        if (!await environment.restartServer(server, milliseconds(maxDownTime * restartRandom()))) {
            return;
        }
        server.gone = false;
        const drainInterval = drained.get(id);
        if (drainInterval !== undefined) {
            drained.set(id, { ...drainInterval, to: now() });
        }
    }

    async function closeZone(): Promise<void> {
        const zone = pickRandom(zoneNames, random);
        if (closedZones.has(zone) || closedZones.size === zoneNames.length - 1) {
            return;
        }
        closedZones.add(zone);
        logEvent(`fault="evacuation of ${zone}"`);
        store.put("evacuations", zone, {});
        const from = now() + inForceWithin;
        await pause(milliseconds(inForceWithin + maxClosedTime * random()));
        store.delete("evacuations", zone);
        closedZones.delete(zone);
        zoneClosures.set(zone, [...zoneClosures.get(zone) ?? [], { from, to: now() }]);
    }

    async function changeConfiguration(): Promise<void> {
        logEvent("fault=\"configuration\"");
        environment.writeNextConfiguration();
    }
}

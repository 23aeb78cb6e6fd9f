/**
 * What operators do in a soak run: servers are replaced, zones closed, and the
 * configuration changed.
 *
 * Owns from when on a server or a zone must get nothing; the checks read it.
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
    /** From when on a server must get nothing, by its id. */
    readonly drained: ReadonlyMap<string, Interval>;
    /** When a zone's servers must get nothing. */
    readonly zoneClosures: ReadonlyMap<string, readonly Interval[]>;
    /** A server drains and leaves; another of its service takes its place. */
    readonly replaceServer: Fault;
    /** A server starts again, whatever it was about to do; one that was released is in use again. */
    readonly restart: (random: RandomSource) => Promise<void>;
    /** A zone is closed for a while. */
    readonly closeZone: Fault;
    readonly changeConfiguration: Fault;
    readonly rollouts: SoakRollouts;
}

/** Milliseconds for which a draining server stays listed. */
const drainTime = milliseconds(3000);
/** Longest time for which a server that starts again is down, in milliseconds. */
const longestDown = 1500;
/** Longest time that a closed zone stays closed once that is in force, in milliseconds. */
const longestClosed = 2500;

/** Creates the changes; nothing has been changed yet. */
export function createPlannedChanges(world: SoakEnvironment): PlannedChanges {
    const { now, random, logEvent: say, servers, store } = world;
    const drained = new Map<string, Interval>();
    const evacuated = new Map<string, Interval[]>();
    const closedZones = new Set<string>();
    /** Servers that were told to leave and may come back. */
    const released = new Set<SoakServer>();

    const rollouts = createSoakRollouts(world, drained);
    return {
        drained,
        zoneClosures: evacuated,
        replaceServer: release,
        restart,
        closeZone: evacuate,
        changeConfiguration,
        rollouts,
    };

    async function release(): Promise<void> {
        const server = servers.find(candidate => !candidate.gone && !candidate.isExcludedFromFaults);
        if (server === undefined || servers.length > world.mostServers) {
            return;
        }
        server.gone = true;
        say(`fault="release of ${server.backend.id}"`);
        await world.addServer(server.service, server.zone);
        world.writeRecord(server, "draining");
        drained.set(server.backend.id, { from: now() + inForceWithin, to: Infinity });
        released.add(server);
        await pause(drainTime);
        if (server.gone) {
            store.delete("servers", server.backend.id);
        }
    }

    async function restart(draw: RandomSource): Promise<void> {
        const running = servers.filter(({ isDown, isPermanentlyStopped: isEnded }) => !isDown && !isEnded);
        const candidates = running.filter(server =>
            released.has(server) || !server.gone && !server.isExcludedFromFaults
        );
        if (candidates.length === 0) {
            return;
        }
        const server = pickRandom(candidates, draw);
        const { id } = server.backend;
        say(`fault="restart of ${id}${server.gone ? ", which was leaving" : ""}"`);
        released.delete(server);
        if (!await world.restartServer(server, milliseconds(longestDown * draw()))) {
            return;
        }
        server.gone = false;
        const leaving = drained.get(id);
        if (leaving !== undefined) {
            drained.set(id, { ...leaving, to: now() });
        }
    }

    async function evacuate(): Promise<void> {
        const zone = pickRandom(zoneNames, random);
        if (closedZones.has(zone) || closedZones.size === zoneNames.length - 1) {
            return;
        }
        closedZones.add(zone);
        say(`fault="evacuation of ${zone}"`);
        store.put("evacuations", zone, {});
        const from = now() + inForceWithin;
        await pause(milliseconds(inForceWithin + longestClosed * random()));
        store.delete("evacuations", zone);
        closedZones.delete(zone);
        evacuated.set(zone, [...evacuated.get(zone) ?? [], { from, to: now() }]);
    }

    async function changeConfiguration(): Promise<void> {
        say("fault=\"configuration\"");
        world.writeNextConfiguration();
    }
}

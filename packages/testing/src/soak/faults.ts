/**
 * The faults of a soak run, drawn from its random source and injected from
 * outside the boxes.
 */

import { milliseconds } from "@chalkdale/kernel";
import { pause } from "../standins/deployment.js";
import { createFreeze, createRestart } from "./box-faults.js";
import { type ExtendedFaultCounts, injectExtendedFaults } from "./extended-faults.js";
import { type Fault, type FaultSet, pickRandom } from "./fault-tools.js";
import { injectServerLimits } from "./limit-faults.js";
import { allLinks, createLinkImpairment, createLinkReset } from "./link-faults.js";
import { injectNotices } from "./notice-faults.js";
import type { BoxTermination, Interval, ObservedBackoff, ObservedLeaving, ObservedLimit } from "./observations.js";
import { createPlannedChanges, type PlannedChanges } from "./planned-changes.js";
import { injectStoreRestores } from "./restore-faults.js";
import { createMisbehaviour, createPartialStoreFailure, createStoreFailure } from "./service-faults.js";
import type { SoakEnvironment } from "./soak-environment.js";
import type { SoakRollouts } from "./soak-rollouts.js";

/** What was done, as far as the checks must know. */
export interface InjectedFaults {
    readonly count: number;
    /** Those that came later, by what they are; undefined if none were drawn. */
    readonly extendedFaults: ExtendedFaultCounts | undefined;
    /** From when on a server must get nothing, by its id. */
    readonly drained: ReadonlyMap<string, Interval>;
    /** When a zone's servers must get nothing. */
    readonly zoneClosures: ReadonlyMap<string, readonly Interval[]>;
    /** Signals that ended boxes, in their order. */
    readonly boxTerminations: readonly BoxTermination[];
    readonly rollouts: SoakRollouts;
    /** Limits that servers named; undefined if none were drawn. */
    readonly limits: readonly ObservedLimit[] | undefined;
    /** What servers said of themselves; undefined if none was drawn. */
    readonly leaving?: readonly ObservedLeaving[];
    readonly backoffs?: readonly ObservedBackoff[];
    /** What operators do once all faults are over: a server is replaced and the configuration changes. */
    readonly changeAfterFaults: () => Promise<void>;
}

/** Least time between the beginnings of two faults, in milliseconds. */
const shortestPause = 200;
/** What chance adds to it at most, in milliseconds: faults overlap. */
const longestAddition = 900;

/** Injects faults for so many milliseconds; resolves when all of them are over and every box runs. */
export async function injectFaults(world: SoakEnvironment, length: number, set: FaultSet): Promise<InjectedFaults> {
    const { now, random } = world;
    const changes = createPlannedChanges(world);
    const boxEnds: BoxTermination[] = [];
    const faults = everyFault(world, changes, boxEnds);
    const ends: Promise<void>[] = [];
    const end = now() + length;
    const rollouts = changes.rollouts.startRolloutsUntil(end);
    const later = set === "first" ? undefined : injectExtendedFaults(world, changes, end, set);
    const limits = set === "limits" ? injectServerLimits(world, end) : undefined;
    const notices = set === "notices" ? injectNotices(world, end) : undefined;
    const restores = set === "notices" ? injectStoreRestores(world, end) : undefined;
    while (now() < end) {
        ends.push(pickRandom(faults, random)());
        await pause(milliseconds(shortestPause + random() * longestAddition));
    }
    await Promise.all(ends);
    const laterCounts = await later;
    const namedLimits = await limits;
    const observedNotices = await notices;
    await restores;
    makeWhole(world);
    await rollouts;
    const { drained, zoneClosures: evacuated } = changes;
    return {
        count: ends.length,
        extendedFaults: laterCounts,
        drained,
        zoneClosures: evacuated,
        boxTerminations: boxEnds,
        rollouts: changes.rollouts,
        limits: namedLimits,
        ...observedNotices,
        async changeAfterFaults() {
            await changes.changeConfiguration();
            await changes.replaceServer();
        },
    };
}

/** All that may happen, each as likely as the others. */
function everyFault(world: SoakEnvironment, changes: PlannedChanges, boxEnds: BoxTermination[]): readonly Fault[] {
    const misbehave = createMisbehaviour(world);
    return [
        createRestart(world, "SIGKILL", boxEnds),
        createRestart(world, "SIGTERM", boxEnds),
        createFreeze(world),
        createLinkImpairment(world, () => world.storeLinks, "link to the store"),
        createLinkImpairment(world, () => world.servers.map(server => server.proxy), "link to a server"),
        createStoreFailure(world),
        misbehave,
        misbehave,
        changes.replaceServer,
        changes.closeZone,
        changes.changeConfiguration,
        async () => forgetHistory(world),
        createLinkReset(world),
        createPartialStoreFailure(world),
    ];
}

function forgetHistory({ logEvent: say, store }: SoakEnvironment): void {
    say("fault=\"history forgotten\"");
    store.compact();
}

function makeWhole(world: SoakEnvironment): void {
    world.storeServer.setFault(() => ({ kind: "none" }));
    allLinks(world).forEach(link => link.setState("whole"));
    world.boxes.filter(box => !box.isRunning()).forEach(box => box.start());
    world.logEvent("faults=over");
}

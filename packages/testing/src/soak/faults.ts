/**
 * The faults of a soak run, drawn from its random source and injected from
 * outside the boxes.
 */

import { milliseconds } from "@chalkdale/kernel";
import { pause } from "../standins/deployment.js";
import { createFreeze, createRestart } from "./box-faults.js";
import { type Fault, type FaultSet, pick } from "./fault-tools.js";
import { injectLaterFaults, type LaterFaultCounts } from "./later-faults.js";
import { nameLimits } from "./limit-faults.js";
import { allLinks, createLinkHarm, createLinkReset } from "./link-faults.js";
import { injectNotices } from "./notice-faults.js";
import type { BoxEnd, Interval, ObservedLeaving, ObservedLimit, ObservedRest } from "./observations.js";
import { createPlannedChanges, type PlannedChanges } from "./planned-changes.js";
import { restoreStore } from "./restore-faults.js";
import { createMisbehaviour, createStoreFailure, createTurningAway } from "./service-faults.js";
import type { SoakRollouts } from "./soak-rollouts.js";
import type { SoakWorld } from "./soak-world.js";

/** What was done, as far as the checks must know. */
export interface InjectedFaults {
    readonly count: number;
    /** Those that came later, by what they are; undefined if none were drawn. */
    readonly later: LaterFaultCounts | undefined;
    /** From when on a server must get nothing, by its id. */
    readonly drained: ReadonlyMap<string, Interval>;
    /** When a zone's servers must get nothing. */
    readonly evacuated: ReadonlyMap<string, readonly Interval[]>;
    /** Signals that ended boxes, in their order. */
    readonly boxEnds: readonly BoxEnd[];
    readonly rollouts: SoakRollouts;
    /** Limits that servers named; undefined if none were drawn. */
    readonly limits: readonly ObservedLimit[] | undefined;
    /** What servers said of themselves; undefined if none was drawn. */
    readonly leaving?: readonly ObservedLeaving[];
    readonly rests?: readonly ObservedRest[];
    /** What operators do once all faults are over: a server is replaced and the configuration changes. */
    readonly changeInCalm: () => Promise<void>;
}

/** Least time between the beginnings of two faults, in milliseconds. */
const shortestPause = 200;
/** What chance adds to it at most, in milliseconds: faults overlap. */
const longestAddition = 900;

/** Injects faults for so many milliseconds; resolves when all of them are over and every box runs. */
export async function injectFaults(world: SoakWorld, length: number, set: FaultSet): Promise<InjectedFaults> {
    const { now, random } = world;
    const changes = createPlannedChanges(world);
    const boxEnds: BoxEnd[] = [];
    const faults = everyFault(world, changes, boxEnds);
    const ends: Promise<void>[] = [];
    const end = now() + length;
    const rollouts = changes.rollouts.orderUntil(end);
    const later = set === "first" ? undefined : injectLaterFaults(world, changes, end, set);
    const limits = set === "limits" ? nameLimits(world, end) : undefined;
    const notices = set === "notices" ? injectNotices(world, end) : undefined;
    const restores = set === "notices" ? restoreStore(world, end) : undefined;
    while (now() < end) {
        ends.push(pick(faults, random)());
        await pause(milliseconds(shortestPause + random() * longestAddition));
    }
    await Promise.all(ends);
    const laterCounts = await later;
    const namedLimits = await limits;
    const observedNotices = await notices;
    await restores;
    makeWhole(world);
    await rollouts;
    const { drained, evacuated } = changes;
    return {
        count: ends.length,
        later: laterCounts,
        drained,
        evacuated,
        boxEnds,
        rollouts: changes.rollouts,
        limits: namedLimits,
        ...observedNotices,
        async changeInCalm() {
            await changes.changeConfiguration();
            await changes.release();
        },
    };
}

/** All that may happen, each as likely as the others. */
function everyFault(world: SoakWorld, changes: PlannedChanges, boxEnds: BoxEnd[]): readonly Fault[] {
    const misbehave = createMisbehaviour(world);
    return [
        createRestart(world, "SIGKILL", boxEnds),
        createRestart(world, "SIGTERM", boxEnds),
        createFreeze(world),
        createLinkHarm(world, () => world.storeLinks, "link to the store"),
        createLinkHarm(world, () => world.servers.map(server => server.proxy), "link to a server"),
        createStoreFailure(world),
        misbehave,
        misbehave,
        changes.release,
        changes.evacuate,
        changes.changeConfiguration,
        async () => forgetHistory(world),
        createLinkReset(world),
        createTurningAway(world),
    ];
}

function forgetHistory({ say, store }: SoakWorld): void {
    say("fault=\"history forgotten\"");
    store.compact();
}

function makeWhole(world: SoakWorld): void {
    world.storeServer.setFault(() => ({ kind: "none" }));
    allLinks(world).forEach(link => link.setState("whole"));
    world.boxes.filter(box => !box.isRunning()).forEach(box => box.start());
    world.say("faults=over");
}

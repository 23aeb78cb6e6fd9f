/**
 * Injects the faults of a soak run from outside the boxes: those of the set `first`,
 * drawn from the run's random source, and beside them those of the run's fault set.
 */

import { milliseconds } from "@chalkdale/kernel";
import { pause } from "../standins/deployment.js";
import { injectAnswerFaults } from "./answer-faults.js";
import { createBoxPause, createBoxRestart } from "./box-faults.js";
import { injectColdServers } from "./cold-faults.js";
import { injectDepartureFaults } from "./departure-faults.js";
import { type ExtendedFaultCounts, injectExtendedFaults } from "./extended-faults.js";
import { type Fault, type FaultSet, pickRandom } from "./fault-tools.js";
import { injectServerLimits } from "./limit-faults.js";
import { allLinks, createLinkImpairment, createLinkReset } from "./link-faults.js";
import { injectNotices } from "./notice-faults.js";
import type {
    BoxTermination,
    Interval,
    ObservedBackoff,
    ObservedColdPeriod,
    ObservedLeaving,
    ObservedLimit,
    ObservedPartition,
} from "./observations.js";
import { writeOddBoxRecords } from "./odd-box-records.js";
import { injectPartitions } from "./partition-faults.js";
import { createPlannedChanges, type PlannedChanges } from "./planned-changes.js";
import { injectStoreRestores } from "./restore-faults.js";
import { injectRetryFaults } from "./retry-faults.js";
import { createMisbehaviour, createPartialStoreFailure, createStoreFailure } from "./service-faults.js";
import type { SoakEnvironment } from "./soak-environment.js";
import type { SoakRollouts } from "./soak-rollouts.js";

/** What was injected, as far as the checks need it. */
export interface InjectedFaults {
    readonly count: number;
    /** Number of extended faults by kind; undefined if the set has none. */
    readonly extendedFaults: ExtendedFaultCounts | undefined;
    /** By server id: when the server must get no requests. */
    readonly drained: ReadonlyMap<string, Interval>;
    /** By availability zone: when its servers must get no requests. */
    readonly zoneClosures: ReadonlyMap<string, readonly Interval[]>;
    /** Signals that ended boxes, in order of time. */
    readonly boxTerminations: readonly BoxTermination[];
    readonly rollouts: SoakRollouts;
    /** Limits that servers announced; undefined if the set has none. */
    readonly limits: readonly ObservedLimit[] | undefined;
    /** Announcements of servers in their answers; undefined if the set has none. */
    readonly leaving?: readonly ObservedLeaving[];
    readonly backoffs?: readonly ObservedBackoff[];
    readonly partitions: readonly ObservedPartition[] | undefined;
    readonly coldPeriods: readonly ObservedColdPeriod[] | undefined;
    /** Planned changes without faults beside them: changes the configuration and replaces a server. */
    readonly changeAfterFaults: () => Promise<void>;
}

/** Minimum time between the beginnings of two faults, in milliseconds. */
const minPause = 200;
/** Maximum random addition in milliseconds; it is short enough for faults to overlap. */
const maxAddedPause = 900;

/**
 * Injects faults for `duration` milliseconds; resolves when all of them are over and every box has been started
 * again.
 */
export async function injectFaults(
    environment: SoakEnvironment,
    duration: number,
    set: FaultSet,
): Promise<InjectedFaults> {
    const { now, random } = environment;
    const changes = createPlannedChanges(environment);
    const boxTerminations: BoxTermination[] = [];
    const faults = createFirstFaults(environment, changes, boxTerminations);
    const ends: Promise<void>[] = [];
    const end = now() + duration;
    const rollouts = changes.rollouts.startRolloutsUntil(end);
    const extendedFaults = set === "first" ? undefined : injectExtendedFaults(environment, changes, end, set);
    const limits = set === "limits" ? injectServerLimits(environment, end) : undefined;
    const notices = set === "notices" ? injectNotices(environment, end) : undefined;
    const partitions = set === "partitions" || set === "guarantees" ? injectPartitions(environment, end) : undefined;
    const retryFaults = set === "retries" ? injectRetryFaults(environment, end) : undefined;
    const departureFaults = set === "departures" ? injectDepartureFaults(environment, end) : undefined;
    const answerFaults = set === "answers" || set === "guarantees" || set === "statuses"
        ? injectAnswerFaults(environment, end, set)
        : undefined;
    const oddRecords = set === "statuses" ? writeOddBoxRecords(environment, end) : undefined;
    const coldServers = set === "cold" ? injectColdServers(environment, end) : undefined;
    const restores = set === "notices" ? injectStoreRestores(environment, end) : undefined;
    while (now() < end) {
        ends.push(pickRandom(faults, random)());
        await pause(milliseconds(minPause + random() * maxAddedPause));
    }
    await Promise.all(ends);
    const extendedFaultCounts = await extendedFaults;
    const observedLimits = await limits;
    const observedNotices = await notices;
    const observedPartitions = await partitions;
    const coldPeriods = await coldServers;
    await restores;
    await retryFaults;
    await departureFaults;
    await answerFaults;
    await oddRecords;
    endAllFaults(environment);
    await rollouts;
    const { drained, zoneClosures } = changes;
    return {
        count: ends.length,
        extendedFaults: extendedFaultCounts,
        drained,
        zoneClosures,
        boxTerminations,
        rollouts: changes.rollouts,
        limits: observedLimits,
        ...observedNotices,
        partitions: observedPartitions,
        coldPeriods,
        async changeAfterFaults() {
            await changes.changeConfiguration();
            await changes.replaceServer();
        },
    };
}

/** The faults of the set `first`, all equally likely; one that is listed twice is twice as likely. */
function createFirstFaults(
    environment: SoakEnvironment,
    changes: PlannedChanges,
    boxTerminations: BoxTermination[],
): readonly Fault[] {
    const misbehave = createMisbehaviour(environment);
    return [
        createBoxRestart(environment, "SIGKILL", boxTerminations),
        createBoxRestart(environment, "SIGTERM", boxTerminations),
        createBoxPause(environment),
        createLinkImpairment(environment, () => environment.storeLinks, "link to the store"),
        createLinkImpairment(environment, () => environment.servers.map(server => server.proxy), "link to a server"),
        createStoreFailure(environment),
        misbehave,
        misbehave,
        changes.replaceServer,
        changes.closeZone,
        changes.changeConfiguration,
        async () => compactStore(environment),
        createLinkReset(environment),
        createPartialStoreFailure(environment),
    ];
}

function compactStore({ logEvent, store }: SoakEnvironment): void {
    logEvent("fault=\"history forgotten\"");
    store.compact();
}

function endAllFaults(environment: SoakEnvironment): void {
    environment.storeServer.setFault(() => ({ kind: "none" }));
    allLinks(environment).forEach(link => link.setState("whole"));
    environment.boxes.filter(box => !box.isRunning()).forEach(box => box.start());
    environment.logEvent("faults=over");
}

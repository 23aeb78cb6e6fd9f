/**
 * One run of the fault soak: boxes as separate processes, a store and servers behind
 * links that can fail, callers that send requests all the time, and faults drawn from a
 * seed. It runs in real time, so the promises that it checks have wide bounds.
 */

import { createSeededRandom, milliseconds } from "@chalkdale/kernel";
import { pause } from "../standins/deployment.js";
import { startCallers } from "./callers.js";
import { findBreaches } from "./checks.js";
import { usedColdShare } from "./cold-checks.js";
import { type ConnectedBoxCounts, countConnectedBoxChecks } from "./connected-box-checks.js";
import { startDepartingCallers } from "./departing-callers.js";
import type { ExtendedFaultCounts } from "./extended-faults.js";
import type { FaultSet } from "./fault-tools.js";
import { injectFaults } from "./faults.js";
import { countCheckedLimits } from "./limit-checks.js";
import { countNotices, type NoticeCounts } from "./notice-checks.js";
import type { Breach, ObservedRollout } from "./observations.js";
import { recordOwnDelays } from "./own-delays.js";
import { startPartitionCallers } from "./partition-callers.js";
import { countComparedPartitions } from "./partition-checks.js";
import { startPipeliningCallers } from "./pipelining-callers.js";
import { probeRecovery } from "./recovery-probe.js";
import { startRepeatingCallers } from "./repeating-callers.js";
import { usedRetryShare } from "./retry-checks.js";
import { connectedAfter } from "./soak-bounds.js";
import { type SoakEnvironment, startSoakEnvironment } from "./soak-environment.js";
import { startSteadyCallers } from "./steady-callers.js";

/** What to run. */
export interface SoakOptions {
    readonly seed: number;
    /** Time with faults, in milliseconds. */
    readonly faultDuration: number;
    /** Which faults are drawn. */
    readonly faults: FaultSet;
    readonly boxes?: number;
    readonly callers?: number;
    /** Called with a line for each fault and breach. */
    readonly onEvent?: (line: string) => void;
}

/** The outcome of a run. */
export interface SoakResult {
    readonly seed: number;
    readonly attempts: number;
    readonly served: number;
    readonly faults: number;
    /** Number of extended faults by kind; undefined if the set has none. */
    readonly extendedFaults: ExtendedFaultCounts | undefined;
    readonly rollouts: readonly ObservedRollout[];
    readonly breaches: readonly Breach[];
    /** Changes that the checks of boxes connected to the store could test. */
    readonly connectedBoxes: ConnectedBoxCounts;
    /** Number of limits that the check could test, and of all that servers announced. */
    readonly limits: { readonly checked: number; readonly named: number; };
    /** Partitions in which the check could compare boxes, and all that were injected. */
    readonly partitions: { readonly compared: number; readonly injected: number; };
    /** Announcements of servers that reached boxes, and how often the store was restored. */
    readonly notices: NoticeCounts & { readonly restores: number; };
    /** The largest fraction of the retry budget of a window that was used. */
    readonly usedRetryShare: number;
    /** Cold periods of servers, and the most that one got in a window, as a fraction of what it tolerates. */
    readonly cold: { readonly periods: number; readonly usedShare: number; };
    /** Requests whose callers left without an answer. */
    readonly departures: number;
    /** Directory of the boxes' settings and logs. */
    readonly logFolder: string;
}

/** Milliseconds after the faults in which the system may recover. */
const recoverWithin = 9000;
/** Time after the faults until all boxes count as connected to the store again, with a margin. */
const reconnectTime = milliseconds(connectedAfter + 200);
/** Milliseconds for which the run goes on after the recovery time. */
const observedAfterRecovery = 2500;
const defaultBoxes = 5;
const defaultCallers = 6;
/** Number of servers above which none is replaced, by set of faults. */
const maxServers: Readonly<Record<FaultSet, number>> = {
    first: 24,
    silences: 60,
    all: 60,
    limits: 60,
    notices: 80,
    partitions: 60,
    retries: 60,
    departures: 60,
    answers: 60,
    guarantees: 60,
    statuses: 60,
    cold: 60,
};
const pipeliningCallerCount = 2;
/** Sets of faults in which some callers repeat their ids. */
const repeatingCallerSets: ReadonlySet<FaultSet> = new Set(["answers", "guarantees", "statuses"]);
/** Fraction of the callers' requests, and of the pipelining callers' rounds, that are abandoned early. */
const abandonedFraction = 0.05;

/** Runs the soak once with one seed. */
export async function runSoak(options: SoakOptions): Promise<SoakResult> {
    const random = createSeededRandom(options.seed);
    const { boxes = defaultBoxes, onEvent, seed } = options;
    const environment = await startSoakEnvironment({
        seed,
        random,
        boxes,
        mostServers: maxServers[options.faults],
        onEvent,
    });
    try {
        return await runInEnvironment(environment, options);
    }
    catch (error) {
        // The boxes are separate processes and would outlive a failed run.
        await environment.stopAll();
        throw error;
    }
}

async function runInEnvironment(environment: SoakEnvironment, options: SoakOptions): Promise<SoakResult> {
    const { callers: count = defaultCallers, seed } = options;
    const { now, logEvent } = environment;
    const ownDelays = recordOwnDelays(now);
    const callers = await startCallers(environment, { count, prefix: `s${seed}`, disconnectShare: abandonedFraction });
    const pipelining = startPipeliningCallers(environment, {
        count: pipeliningCallerCount,
        seed,
        disconnectShare: abandonedFraction,
    });
    const partitionCallers = options.faults === "partitions" ? startPartitionCallers(environment) : undefined;
    const departing = options.faults === "departures" ? startDepartingCallers(environment) : undefined;
    const steady = options.faults === "cold" ? startSteadyCallers(environment) : undefined;
    const repeating = repeatingCallerSets.has(options.faults) ? startRepeatingCallers(environment) : undefined;
    const injection = await injectFaults(environment, options.faultDuration, options.faults);
    const { changeAfterFaults, count: faults, extendedFaults, rollouts, ...injected } = injection;
    const recoveredFrom = now() + recoverWithin;
    await pause(reconnectTime);
    const changing = changeAfterFaults();
    await pause(milliseconds(recoveredFrom - now()));
    const recoveryProbe = await probeRecovery(environment);
    await pause(milliseconds(recoveredFrom + observedAfterRecovery - now()));
    await changing;
    await Promise.all(
        [callers, pipelining, partitionCallers, departing, steady, repeating].map(running => running?.stop()),
    );
    rollouts.stopObserving();
    ownDelays.stop();
    await environment.stopAll();

    const attempts = [callers, pipelining, partitionCallers, repeating].flatMap(running => running?.attempts ?? []);
    const { arrivals, destinations, logFolder, runs } = environment;
    const invalidFrom = environment.customers.keyInvalidFrom;
    const { unsolicitedBytes } = pipelining;
    const seen = {
        attempts,
        runs,
        arrivals,
        otherRequestTimes: departing?.requestTimes ?? steady?.requestTimes,
        departures: [...callers.departures, ...pipelining.departures, ...departing?.departures ?? []],
        unsolicitedBytes,
        ...injected,
        destinations,
        keyInvalidFrom: invalidFrom,
        rollouts: rollouts.observed,
        recoveredFrom,
        isConnected: environment.storeConnectivity.isConnected,
        hadBoxFault: environment.storeConnectivity.hadBoxFault,
        hadBoxFaultBetween: environment.storeConnectivity.hadBoxFaultBetween,
        recoveryProbe,
        ownDelayWithin: ownDelays.within,
        ownEnds: environment.boxes.flatMap(box => box.ownEnds().map(code => ({ box: box.callerAddress, code }))),
    };
    const breaches = findBreaches(seen);
    breaches.forEach(breach => logEvent(`breach="${breach.promise}" at=${Math.round(breach.at)} ${breach.detail}`));
    const served = attempts.filter(attempt => attempt.answer.status === 200).length;
    const { observed } = rollouts;
    const connectedBoxes = countConnectedBoxChecks(seen);
    const limits = { checked: countCheckedLimits(seen), named: seen.limits?.length ?? 0 };
    const notices = { ...countNotices(seen), restores: environment.store.epoch() ?? 0 };
    const partitions = { compared: countComparedPartitions(seen), injected: seen.partitions?.length ?? 0 };
    return {
        seed,
        attempts: attempts.length,
        served,
        faults,
        extendedFaults,
        rollouts: observed,
        breaches,
        connectedBoxes,
        limits,
        notices,
        partitions,
        usedRetryShare: usedRetryShare(seen),
        cold: { periods: seen.coldPeriods?.length ?? 0, usedShare: usedColdShare(seen) },
        departures: seen.departures.length,
        logFolder,
    };
}

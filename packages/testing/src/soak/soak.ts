/**
 * One run of the fault soak: boxes as processes of their own, a store and
 * servers behind harmful links, callers without pause, and faults drawn from a
 * seed. All waiting is real time; the verdict rests on promises with wide bounds.
 */

import { createSeededRandom, milliseconds } from "@chalkdale/kernel";
import { pause } from "../standins/deployment.js";
import { startCallers } from "./callers.js";
import { findBreaches } from "./checks.js";
import { type ConnectedBoxCounts, countConnectedBoxChecks } from "./connected-box-checks.js";
import type { ExtendedFaultCounts } from "./extended-faults.js";
import type { FaultSet } from "./fault-tools.js";
import { injectFaults } from "./faults.js";
import { countCheckedLimits } from "./limit-checks.js";
import { countNotices, type NoticeCounts } from "./notice-checks.js";
import type { Breach, ObservedRollout } from "./observations.js";
import { startPipeliningCallers } from "./pipelining-callers.js";
import { probeRecovery } from "./recovery-probe.js";
import { connectedAfter } from "./soak-bounds.js";
import { type SoakEnvironment, startSoakEnvironment } from "./soak-environment.js";

export interface SoakOptions {
    readonly seed: number;
    /** Time with faults, in milliseconds. */
    readonly faultDuration: number;
    /** Which faults are drawn; see `injectFaults`. */
    readonly faults: FaultSet;
    readonly boxes?: number;
    readonly callers?: number;
    /** Told of each fault and breach. */
    readonly onEvent?: (line: string) => void;
}

/** What came of a run. */
export interface SoakResult {
    readonly seed: number;
    readonly attempts: number;
    readonly served: number;
    readonly faults: number;
    /** Faults of the later set, by what they are; undefined if none were drawn. */
    readonly extendedFaults: ExtendedFaultCounts | undefined;
    readonly rollouts: readonly ObservedRollout[];
    readonly breaches: readonly Breach[];
    /** What the checks of boxes in touch with the store could see. */
    readonly connectedBoxes: ConnectedBoxCounts;
    /** Limits that the check could see kept or broken, and all that were named. */
    readonly limits: { readonly checked: number; readonly named: number; };
    /** What servers said, as far as the checks could see boxes that had been told, and how often the store came back older. */
    readonly notices: NoticeCounts & { readonly restores: number; };
    /** Where the logs of the boxes lie. */
    readonly logFolder: string;
}

const recoverWithin = 9000;
/** All boxes count as in touch with the store again so long after the faults, and a moment more. */
const inTouchAgain = milliseconds(connectedAfter + 200);
const observedAfterRecovery = 2500;
const defaultBoxes = 5;
const defaultCallers = 6;
/** Servers in a run of each set of faults beyond which none is replaced. */
const mostServers: Readonly<Record<FaultSet, number>> = {
    first: 24,
    silences: 60,
    all: 60,
    limits: 60,
    notices: 80,
};
const pipeliningCallers = 2;
/** Part of the callers' requests that are given up early. */
const leavingShare = 0.05;

/** Plays one run. */
export async function runSoak(options: SoakOptions): Promise<SoakResult> {
    const random = createSeededRandom(options.seed);
    const { boxes = defaultBoxes, onEvent, seed } = options;
    const world = await startSoakEnvironment({
        seed,
        random,
        boxes,
        mostServers: mostServers[options.faults],
        onEvent,
    });
    try {
        return await play(world, options);
    }
    catch (error) {
        // Nothing that a failed run has started may go on: its boxes are processes of their own.
        await world.stopAll();
        throw error;
    }
}

async function play(world: SoakEnvironment, options: SoakOptions): Promise<SoakResult> {
    const { callers: count = defaultCallers, seed } = options;
    const { now, logEvent: say } = world;
    const callers = await startCallers(world, { count, prefix: `s${seed}`, disconnectShare: leavingShare });
    const pipelining = startPipeliningCallers(world, { count: pipeliningCallers, seed, disconnectShare: leavingShare });
    const injecting = await injectFaults(world, options.faultDuration, options.faults);
    const { changeAfterFaults: changeInCalm, count: faults, extendedFaults: later, rollouts, ...injected } = injecting;
    const recoveredFrom = now() + recoverWithin;
    await pause(inTouchAgain);
    const changing = changeInCalm();
    await pause(milliseconds(recoveredFrom - now()));
    const back = await probeRecovery(world);
    await pause(milliseconds(recoveredFrom + observedAfterRecovery - now()));
    await changing;
    await Promise.all([callers.stop(), pipelining.stop()]);
    rollouts.stopObserving();
    await world.stopAll();

    const attempts = [...callers.attempts, ...pipelining.attempts];
    const { destinations, logFolder: folder, runs } = world;
    const keyEndsAt = world.customers.keyInvalidFrom;
    const { unsolicitedBytes: surplus } = pipelining;
    const seen = {
        attempts,
        runs,
        unsolicitedBytes: surplus,
        ...injected,
        destinations,
        keyInvalidFrom: keyEndsAt,
        rollouts: rollouts.observed,
        recoveredFrom,
        isConnected: world.storeConnectivity.isConnected,
        hadBoxFault: world.storeConnectivity.hadBoxFault,
        recoveryProbe: back,
    };
    const breaches = findBreaches(seen);
    breaches.forEach(breach => say(`breach="${breach.promise}" at=${Math.round(breach.at)} ${breach.detail}`));
    const served = attempts.filter(attempt => attempt.answer.status === 200).length;
    const { observed } = rollouts;
    const inTouch = countConnectedBoxChecks(seen);
    const limits = { checked: countCheckedLimits(seen), named: seen.limits?.length ?? 0 };
    const notices = { ...countNotices(seen), restores: world.store.epoch() ?? 0 };
    return {
        seed,
        attempts: attempts.length,
        served,
        faults,
        extendedFaults: later,
        rollouts: observed,
        breaches,
        connectedBoxes: inTouch,
        limits,
        notices,
        logFolder: folder,
    };
}

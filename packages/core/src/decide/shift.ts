/**
 * Rate-bounded movement of traffic shares.
 *
 * Each box holds, for one service and one region of origin, the share of
 * traffic that it sends to each availability zone. A share rises by no more
 * than the cap times the time that has passed, and a long gap between two
 * steps counts as one step of `maximumStep`. Every box keeps the bound on its
 * own shares; a weighted mean of bounded shares is bounded by the same rate,
 * so the deployment keeps the cap without asking anyone.
 */

import { developmentCheck } from "../kernel/assert.js";
import { type Milliseconds, milliseconds } from "../kernel/ids.js";

/** Longest time in milliseconds that one step may be credited with. */
export const maximumStep = 1000;

const millisecondsPerMinute = 60_000;
const negligibleShare = 1e-9;

/** One step of the shift. */
export interface ShiftStep {
    readonly at: Milliseconds;
    /** Wanted share of each zone; sums to 1. */
    readonly goal: ArrayLike<number>;
    /** Share that may move into one place per minute. */
    readonly capPerMinute: number;
    /** Warmth of each zone from 0 (cold) to 1 (warm); cold places gain more slowly. */
    readonly warmth: ArrayLike<number>;
    /** Index of the region of each zone; the cap holds for a region as a whole, too. */
    readonly regionOfZone: ArrayLike<number>;
}

/** The shares of one service and origin. */
export interface Shift {
    /** Current share of each zone; sums to 1. Reads live, so copy it to keep it. */
    readonly shares: Float64Array;
    /** Moves the shares towards the goal as far as the cap allows. */
    readonly advance: (step: ShiftStep) => void;
}

/** A cold place gains at this part of the cap. */
export const coldGainFactor = 0.5;

/**
 * Creates the shares of one service and origin.
 *
 * @param initial shares to start from; a box that joins passes what its peers
 * do, never the goal.
 */
export function createShift(initial: ArrayLike<number>, startedAt: Milliseconds): Shift {
    const shares = normalised(initial);
    const gains = new Float64Array(shares.length);
    let last = startedAt;

    return { shares, advance };

    function advance(step: ShiftStep): void {
        const elapsed = Math.min(step.at - last, maximumStep);
        if (elapsed <= 0) {
            return;
        }
        last = step.at;
        const allowance = step.capPerMinute * elapsed / millisecondsPerMinute;
        const gained = boundGains(step, allowance);
        developmentCheck(Number.isFinite(gained), "gains are finite");
        if (!(gained >= negligibleShare)) {
            return;
        }
        moveShares(step.goal, gained);
    }

    /** Fills `gains` with what each zone may gain and returns their sum. */
    function boundGains(step: ShiftStep, allowance: number): number {
        const perRegion = new Map<number, number>();
        for (let zone = 0; zone < shares.length; zone++) {
            const factor = coldGainFactor + (1 - coldGainFactor) * step.warmth[zone];
            const wanted = Math.max(0, step.goal[zone] - shares[zone]);
            gains[zone] = Math.min(wanted, allowance * factor);
            const region = step.regionOfZone[zone];
            perRegion.set(region, (perRegion.get(region) ?? 0) + gains[zone]);
        }
        let total = 0;
        for (let zone = 0; zone < shares.length; zone++) {
            const regionGain = perRegion.get(step.regionOfZone[zone])!;
            if (regionGain > allowance) {
                gains[zone] *= allowance / regionGain;
            }
            total += gains[zone];
        }
        return total;
    }

    /** Takes what was gained from the zones above their goal, in proportion to their excess. */
    function moveShares(goal: ArrayLike<number>, gained: number): void {
        let excess = 0;
        for (let zone = 0; zone < shares.length; zone++) {
            excess += Math.max(0, shares[zone] - goal[zone]);
        }
        if (excess < gained) {
            return;
        }
        const lossFactor = gained / excess;
        for (let zone = 0; zone < shares.length; zone++) {
            const loss = Math.max(0, shares[zone] - goal[zone]) * lossFactor;
            shares[zone] += gains[zone] - loss;
        }
    }
}

/**
 * Returns the time until a share has fallen to nothing at the given cap, for
 * the answer to a request whose place can take no traffic any more.
 */
export function timeToMove(share: number, capPerMinute: number): Milliseconds {
    if (capPerMinute <= 0) {
        return milliseconds(millisecondsPerMinute);
    }
    const whole = share / capPerMinute * millisecondsPerMinute;
    return milliseconds(Math.min(Math.max(whole, 100), millisecondsPerMinute));
}

/** Scales shares so that they sum to 1; all equal when they sum to nothing. */
function normalised(values: ArrayLike<number>): Float64Array {
    const shares = Float64Array.from(values);
    const sum = shares.reduce((total, share) => total + share, 0);
    if (sum <= 0) {
        return shares.fill(1 / shares.length);
    }
    return shares.map(share => share / sum);
}

/** Shares held by a peer, and the traffic that it sends by them. */
export interface PeerShares {
    readonly shares: ArrayLike<number>;
    /** Requests per second. */
    readonly rate: number;
}

/**
 * Returns the mean of the peers' shares, weighted by their traffic, or
 * undefined when there are no peers. A box that joins with this mean leaves
 * the deployment's shares as they are.
 */
export function meanOfPeers(peers: readonly PeerShares[]): Float64Array | undefined {
    if (peers.length === 0) {
        return undefined;
    }
    const mean = new Float64Array(peers[0].shares.length);
    const weights = peers.map(peer => peer.rate + 1e-6);
    const total = weights.reduce((sum, weight) => sum + weight, 0);
    peers.forEach((peer, index) => {
        for (let zone = 0; zone < mean.length; zone++) {
            mean[zone] += peer.shares[zone] * weights[index] / total;
        }
    });
    return mean;
}

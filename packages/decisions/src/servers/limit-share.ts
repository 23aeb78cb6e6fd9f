/**
 * This box's share of the rate limit that a server has set.
 *
 * The shares add up to the whole rate. In any span of 4 s all boxes together send little more than four times the rate
 * (in requests per second) plus one and a half requests for each holder of a share; servers tolerate six times the rate
 * plus 5 requests. The number of holders therefore grows with the rate, and the margin covers boxes that temporarily
 * disagree on the holders.
 *
 * A limit ends only when the server reports it. While no update of the limit arrives, boxes without a share send probe
 * requests as well, one box after the other.
 *
 * Owns the time of this box's last request; relies on `shared-rate` for its share.
 */

import type { BackendServerId, BoxId, Milliseconds } from "@chalkdale/kernel";
import { createBoxRank } from "../limits/box-rank.js";
import { createSharedRate, type SharedRate } from "../limits/shared-rate.js";

/** Number of holders of the smallest rates above `probeRate`. */
const minHolders = 3;
/**
 * Fraction of a request that a holder saves up beyond a whole one, since requests don't arrive exactly when one is
 * earned.
 */
const maxSavedFraction = 0.5;
/** Additional holders for each request per second of the rate. */
const holdersPerRate = 1;
/**
 * Lowest rate, in requests per second, also for a server that accepts fewer or none: only its answers report that the
 * limit has ended. One box holds all of it.
 */
const probeRate = 0.25;

/** Milliseconds without an update of the limit until other boxes send probes: the holders may have no callers. */
const silenceBeforeProbes = 6000;
/** Milliseconds between two probes of all boxes together: longer than an update takes to reach all boxes. */
const probeTurn = 4000;

export interface LimitShareOptions {
    readonly self: BoxId;
    readonly server: BackendServerId;
    /** Boxes among which the holders are chosen; one that is not among them sends nothing. */
    readonly boxes: () => readonly BoxId[];
    /** Boxes of all regions that are advertised to callers; the same array while they don't change. */
    readonly advertisedBoxIds: () => readonly BoxId[];
    /** See `SharedRateOptions`. */
    readonly equalParts?: () => number | undefined;
}

/** The limit as this box knows it. */
export interface KnownLimit {
    /** Requests per second. */
    readonly rate: number;
    /** Time of the latest update. */
    readonly updatedAt: Milliseconds;
}

/**
 * Creates the share of a rate limit that a server has just set; `known` returns the limit as known at the time of the
 * call.
 */
export function createLimitShare(options: LimitShareOptions, known: () => KnownLimit): SharedRate {
    const holderShare = createHolderShare(options, () => known().rate);
    const ownRank = createBoxRank({ self: options.self, subject: options.server });
    let lastSentAt = -Infinity;
    let previousSentAt = -Infinity;

    return {
        allows: at => holderShare.allows(at) || mayProbe(at),
        onSent(at) {
            previousSentAt = lastSentAt;
            lastSentAt = at;
            holderShare.onSent(at);
        },
        onNotSent() {
            lastSentAt = previousSentAt;
            holderShare.onNotSent();
        },
        ownRate: holderShare.ownRate,
    };

    /**
     * The longer no update arrives, the more boxes send probes and the less often each does: one probe per turn in
     * total. A box that does not see most others sends none beyond its part of the rate.
     */
    function mayProbe(at: Milliseconds): boolean {
        if (options.equalParts?.() !== undefined) {
            return false;
        }
        const overdue = at - known().updatedAt - silenceBeforeProbes;
        const probers = Math.floor(overdue / probeTurn) + 1;
        const rank = overdue < 0 ? undefined : ownRank(options.advertisedBoxIds());
        return rank !== undefined && rank < probers && at - lastSentAt >= probeTurn * probers;
    }
}

function createHolderShare({ boxes, equalParts, self, server }: LimitShareOptions, rate: () => number): SharedRate {
    return createSharedRate({
        self,
        subject: server,
        boxes,
        equalParts,
        rate: () => Math.max(probeRate, rate()),
        maxHolders: usedRate => usedRate <= probeRate ? 1 : minHolders + Math.floor(usedRate * holdersPerRate),
        usedFraction: 1,
        savedFraction: maxSavedFraction,
    });
}

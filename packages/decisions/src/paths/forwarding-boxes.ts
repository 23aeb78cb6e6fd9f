/**
 * Chooses the boxes through which a box reaches a server whose direct path is cut.
 *
 * A forwarding box is in the server's zone or region if possible: it is most likely to
 * reach the server, and the request takes no detour. Among equally near ones, that with
 * the fewest forwarded requests of this box comes first, so that the requests of a cut
 * zone are spread. The next one to try is in another zone, since the boxes of one zone may
 * have lost their links together. Boxes that failed lately come last, the longer the more
 * often they failed; while most boxes fail, those that have worked lately come first. Boxes
 * whose release can't forward are left out until they restart.
 *
 * Owns what is known of each forwarding box; relies on the membership for the boxes.
 */

import type { BoxId, IncarnationId, Milliseconds, RegionId } from "@chalkdale/kernel";
import type { MemberRecord } from "../membership/member-record.js";
import type { BackendServerRecord } from "../servers/server-record.js";

/** Which boxes may forward a request to a server. */
interface ForwardingRequest {
    readonly server: Pick<BackendServerRecord, "region" | "zone">;
    /** Regions that the request may be sent to; undefined if all may. */
    readonly allowedRegions: ReadonlySet<RegionId> | undefined;
}

/** The choice of forwarding boxes, and what it learns from them. */
export interface ForwardingBoxes {
    /** Boxes through which to send a request, or which to ask about a server, best first; `count` at most. */
    readonly ranked: (request: ForwardingRequest, count: number, at: Milliseconds) => readonly MemberRecord[];
    /** A request is being forwarded; returns the function to call when it has ended. */
    readonly onBegin: (box: BoxId) => () => void;
    /** The box refused a request, does not reach the server, or its connection broke. */
    readonly onFailed: (box: BoxId, at: Milliseconds) => void;
    /** The box has forwarded a request, or reaches the server that it was asked about. */
    readonly onReached: (box: BoxId, at: Milliseconds) => void;
    /** The release of the box can't forward requests. */
    readonly onUnsupported: (box: MemberRecord) => void;
}

export interface ForwardingBoxesOptions {
    readonly self: MemberRecord;
    /** Boxes that serve callers; see `Membership.inService`. */
    readonly inService: (at: Milliseconds) => readonly MemberRecord[];
    /** Returns numbers from 0 to 1. */
    readonly random: () => number;
}

/** Milliseconds for which a box that failed comes after the others; doubles with each further failure. */
const firstPenalty = 500;
const maxPenalty = 8000;
/** Milliseconds for which a box that worked is known to work. */
const knownGoodLifetime = 4000;

/** Failures of a box since it last worked. */
interface Penalty {
    readonly duration: number;
    readonly until: number;
}

/** A box with the properties by which it is ranked, the lowest first. */
interface Candidate {
    readonly record: MemberRecord;
    readonly isPenalized: boolean;
    /** It worked lately, which counts while most boxes fail. */
    readonly isPreferred: boolean;
    /** 0 in the server's zone, 1 in its region, 2 in this box's region, 3 elsewhere. */
    readonly distance: number;
    /** Forwarded requests in progress in proportion to the box's capacity. */
    readonly load: number;
    readonly order: number;
}

/** Creates the choice of one box; nothing is known of any forwarding box. */
export function createForwardingBoxes({ inService, random, self }: ForwardingBoxesOptions): ForwardingBoxes {
    const inProgress = new Map<BoxId, number>();
    const penalties = new Map<BoxId, Penalty>();
    const reachedAt = new Map<BoxId, Milliseconds>();
    const unsupported = new Map<BoxId, IncarnationId>();

    return {
        ranked(request, count, at) {
            const candidates = sortedCandidates(request, at);
            const firstOfZones = candidates.filter(({ record }, index) =>
                candidates.findIndex(other => other.record.zone === record.zone) === index
            );
            const others = candidates.filter(candidate => !firstOfZones.includes(candidate));
            return [...firstOfZones, ...others].slice(0, count).map(({ record }) => record);
        },
        onBegin(box) {
            inProgress.set(box, (inProgress.get(box) ?? 0) + 1);
            return () => onEnd(box);
        },
        onFailed(box, at) {
            const { duration = 0, until = -Infinity } = penalties.get(box) ?? {};
            reachedAt.delete(box);
            if (at >= until) {
                const next = Math.min(maxPenalty, Math.max(firstPenalty, duration * 2));
                penalties.set(box, { duration: next, until: at + next });
            }
        },
        onReached(box, at) {
            penalties.delete(box);
            reachedAt.set(box, at);
        },
        onUnsupported: ({ box, incarnation }) => void unsupported.set(box, incarnation),
    };

    function onEnd(box: BoxId): void {
        const left = (inProgress.get(box) ?? 0) - 1;
        if (left <= 0) {
            inProgress.delete(box);
            return;
        }
        inProgress.set(box, left);
    }

    function sortedCandidates(request: ForwardingRequest, at: Milliseconds): readonly Candidate[] {
        const records = inService(at).filter(record => mayForward(record, request));
        const penalizedCount = records.filter(({ box }) => isPenalized(box, at)).length;
        const goodCount = records.filter(({ box }) => isKnownGood(box, at)).length;
        const isMostlyFailing = penalizedCount > goodCount;
        return records.map(record => candidateOf(record, request, isMostlyFailing, at)).sort(compareCandidates);
    }

    function mayForward(record: MemberRecord, { allowedRegions }: ForwardingRequest): boolean {
        return record.box !== self.box
            && unsupported.get(record.box) !== record.incarnation
            && (allowedRegions === undefined || allowedRegions.has(record.region));
    }

    function isPenalized(box: BoxId, at: Milliseconds): boolean {
        return at < (penalties.get(box)?.until ?? -Infinity);
    }

    function isKnownGood(box: BoxId, at: Milliseconds): boolean {
        return at - (reachedAt.get(box) ?? -Infinity) < knownGoodLifetime;
    }

    function candidateOf(
        record: MemberRecord,
        { server }: ForwardingRequest,
        isMostlyFailing: boolean,
        at: Milliseconds,
    ): Candidate {
        return {
            record,
            isPenalized: isPenalized(record.box, at),
            isPreferred: isMostlyFailing && isKnownGood(record.box, at),
            distance: distanceOf(record, server),
            load: (inProgress.get(record.box) ?? 0) / Math.max(record.capacity, minCapacity),
            order: random(),
        };
    }

    function distanceOf(record: MemberRecord, server: ForwardingRequest["server"]): number {
        if (record.zone === server.zone) {
            return 0;
        }
        if (record.region === server.region) {
            return 1;
        }
        return record.region === self.region ? 2 : 3;
    }
}

/** Cores; a record without a valid capacity must not divide by zero. */
const minCapacity = 0.01;

function compareCandidates(a: Candidate, b: Candidate): number {
    return Number(a.isPenalized) - Number(b.isPenalized) || Number(b.isPreferred) - Number(a.isPreferred)
        || a.distance - b.distance || a.load - b.load
        || a.order - b.order;
}

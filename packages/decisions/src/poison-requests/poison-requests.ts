/**
 * The requests under which servers end, as one box knows them, and whether one of
 * them may be sent to a server now.
 *
 * Owns the records, within a bound; relies on whoever confirms that a server has
 * ended, and on other boxes' records for what ended elsewhere.
 */

import {
    type AnswerId,
    hashText,
    type Milliseconds,
    milliseconds,
    type RequestFingerprint,
    type ServerIncarnationId,
} from "@chalkdale/kernel";
import { rendezvousScore } from "../choose/rendezvous.js";
import {
    createPoisonRequestRecord,
    mergePoisonRequestRecords,
    poisonRecordLifetime,
    type PoisonRequestRecord,
    type RequestRestriction,
    restrictionOf,
    trialDueAt,
} from "./poison-request-record.js";

/** What a request may do now. */
type Clearance =
    | { readonly kind: "go"; }
    /** Another one of its kind is at a server: what becomes of that tells. */
    | { readonly kind: "wait"; }
    | { readonly kind: "refuse"; };

/** What this box has of a request besides its record. */
interface ClearanceInputs {
    /** This box sends a request of the kind to a server now. */
    readonly isUnderWay: boolean;
    /** This box makes the trials of the kind; one box does, so that a trial costs one server. */
    readonly makesTrials: boolean;
    readonly at: Milliseconds;
}

/** A record that says more than before. */
export interface PoisonRequestChange {
    readonly record: PoisonRequestRecord;
    readonly before: RequestRestriction;
    readonly now: RequestRestriction;
}

/** The requests of one box under which servers end. */
export interface PoisonRequests {
    readonly isEmpty: () => boolean;
    readonly find: (fingerprint: RequestFingerprint) => PoisonRequestRecord | undefined;
    /** The standing of a request; "unsuspected" for one that isn't known. */
    readonly restriction: (fingerprint: RequestFingerprint) => RequestRestriction;
    readonly decide: (fingerprint: RequestFingerprint, inputs: ClearanceInputs) => Clearance;
    /** A server ended while it had the request. */
    readonly onServerEnded: (
        fingerprint: RequestFingerprint,
        life: ServerIncarnationId,
        at: Milliseconds,
    ) => PoisonRequestChange;
    /** A server answered a request that is known. Undefined for another, and for one that nothing spoke against. */
    readonly onAnswer: (
        fingerprint: RequestFingerprint,
        answer: AnswerId,
        at: Milliseconds,
    ) => PoisonRequestChange | undefined;
    /** A caller sent a request that is known. */
    readonly onSeen: (fingerprint: RequestFingerprint, at: Milliseconds) => void;
    /** Takes another box's record; undefined if it says nothing new of how the request may be served. */
    readonly onRecord: (record: PoisonRequestRecord) => PoisonRequestChange | undefined;
    readonly records: () => readonly PoisonRequestRecord[];
    readonly fingerprints: () => Iterable<RequestFingerprint>;
    /** Forgets what nobody sends any more. */
    readonly sweep: (at: Milliseconds) => void;
}

/** Requests that are known at most: each costs some 0.5 KB, and the least suspect goes first. */
const mostRecords = 256;
/** Boxes to which an end is told first: two, so that one of them may be lost. */
const collectorsOfRequest = 2;
const strictness: readonly RequestRestriction[] = ["unsuspected", "watched", "oneAtATime", "held"];

/** Creates the records of a box that knows of none. */
export function createPoisonRequests(): PoisonRequests {
    const records = new Map<RequestFingerprint, PoisonRequestRecord>();

    return {
        isEmpty: () => records.size === 0,
        find: fingerprint => records.get(fingerprint),
        restriction: standing,
        decide(fingerprint, { at, isUnderWay, makesTrials }) {
            const record = records.get(fingerprint);
            switch (standing(fingerprint)) {
                case "unsuspected":
                case "watched":
                    return { kind: "go" };
                case "oneAtATime":
                    return { kind: isUnderWay ? "wait" : "go" };
                case "held": {
                    const isTrial = makesTrials && !isUnderWay && record !== undefined && at >= trialDueAt(record);
                    return { kind: isTrial ? "go" : "refuse" };
                }
            }
        },
        onServerEnded(fingerprint, life, at) {
            const record = { ...createPoisonRequestRecord(fingerprint, at), ends: [{ id: life, at }] };
            return take(record);
        },
        onAnswer(fingerprint, answer, at) {
            if (standing(fingerprint) === "unsuspected") {
                return undefined;
            }
            return take({ ...createPoisonRequestRecord(fingerprint, at), answers: [{ id: answer, at }] });
        },
        onSeen(fingerprint, at) {
            const record = records.get(fingerprint);
            if (record !== undefined) {
                records.set(fingerprint, { ...record, seenAt: at });
            }
        },
        onRecord(record) {
            const change = take(record);
            return change.before === change.now ? undefined : change;
        },
        records: () => [...records.values()],
        fingerprints: () => records.keys(),
        sweep(at) {
            for (const { fingerprint, seenAt } of records.values()) {
                if (at - seenAt > poisonRecordLifetime) {
                    records.delete(fingerprint);
                }
            }
        },
    };

    function standing(fingerprint: RequestFingerprint): RequestRestriction {
        const record = records.get(fingerprint);
        return record === undefined ? "unsuspected" : restrictionOf(record);
    }

    function take(record: PoisonRequestRecord): PoisonRequestChange {
        const { fingerprint } = record;
        const before = standing(fingerprint);
        const known = records.get(fingerprint) ?? createPoisonRequestRecord(fingerprint, record.seenAt);
        const merged = mergePoisonRequestRecords(known, record);
        records.set(fingerprint, merged);
        if (records.size > mostRecords) {
            records.delete(leastSuspect());
        }
        return { record: merged, before, now: restrictionOf(merged) };
    }

    function leastSuspect(): RequestFingerprint {
        const [first] = [...records.values()].sort((a, b) =>
            strictness.indexOf(restrictionOf(a)) - strictness.indexOf(restrictionOf(b)) || a.seenAt - b.seenAt
        );
        return first.fingerprint;
    }
}

/** True for a standing that every box has to know. */
export function requiresBroadcast(standing: RequestRestriction): boolean {
    return standing === "oneAtATime" || standing === "held";
}

/**
 * Returns the boxes that collect what is known of a request, the one that makes its trials first: by rendezvous hashing, so that
 * all boxes that know each other find the same ones.
 */
export function collectorsOf<Box extends { readonly box: string; }>(
    fingerprint: RequestFingerprint,
    boxes: readonly Box[],
): readonly Box[] {
    const hash = hashText(fingerprint);
    const scores = new Map(boxes.map(box => [box, rendezvousScore(hash, hashText(box.box), 1)]));
    return [...boxes].sort((a, b) => scores.get(b)! - scores.get(a)!).slice(0, collectorsOfRequest);
}

/** Returns a time that lies so long before another. */
export function timeBefore(at: Milliseconds, age: number): Milliseconds {
    return milliseconds(at - Math.max(0, age));
}

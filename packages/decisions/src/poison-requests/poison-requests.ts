/**
 * The suspected poison requests that one box knows, and whether one of them may be sent
 * to a server now.
 *
 * Owns the records, of which there are at most `maxRecords`; relies on its callers to
 * confirm that a server has terminated, and on other boxes' records for terminations
 * that those observed.
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

/** Whether a request may be sent to a server now. */
type SendDecision =
    | { readonly kind: "go"; }
    /** Another request with the fingerprint is at a server: its outcome decides. */
    | { readonly kind: "wait"; }
    | { readonly kind: "refuse"; };

/** What a decision on a request depends on besides its record. */
interface SendDecisionInputs {
    /** This box has a request with the fingerprint at a server now. */
    readonly isInProgress: boolean;
    /** This box makes the trials of the fingerprint; only one box does, so that a trial costs one server. */
    readonly makesTrials: boolean;
    readonly at: Milliseconds;
}

/** A change of a record, with the restriction before and after it. */
export interface PoisonRequestChange {
    readonly record: PoisonRequestRecord;
    readonly before: RequestRestriction;
    readonly now: RequestRestriction;
}

/** The suspected poison requests that one box knows. */
export interface PoisonRequests {
    readonly isEmpty: () => boolean;
    readonly find: (fingerprint: RequestFingerprint) => PoisonRequestRecord | undefined;
    /** Returns how a request may be served; "unsuspected" if it has no record. */
    readonly restriction: (fingerprint: RequestFingerprint) => RequestRestriction;
    /** Decides whether a request with the fingerprint may be sent to a server now. */
    readonly decide: (fingerprint: RequestFingerprint, inputs: SendDecisionInputs) => SendDecision;
    /** A server terminated while it ran the request. */
    readonly onServerEnded: (
        fingerprint: RequestFingerprint,
        incarnation: ServerIncarnationId,
        at: Milliseconds,
    ) => PoisonRequestChange;
    /** A server answered the request. Undefined if the request was unsuspected. */
    readonly onAnswer: (
        fingerprint: RequestFingerprint,
        answer: AnswerId,
        at: Milliseconds,
    ) => PoisonRequestChange | undefined;
    /** A caller sent the request. Requests without a record are ignored. */
    readonly onSeen: (fingerprint: RequestFingerprint, at: Milliseconds) => void;
    /** Merges another box's record; undefined if that does not change how the request may be served. */
    readonly onRecord: (record: PoisonRequestRecord) => PoisonRequestChange | undefined;
    readonly records: () => readonly PoisonRequestRecord[];
    readonly fingerprints: () => Iterable<RequestFingerprint>;
    /** Removes records of requests that no caller has sent for `poisonRecordLifetime`. */
    readonly sweep: (at: Milliseconds) => void;
}

/** Maximum number of records: each takes about 0.5 KB; the least restricted one is removed first. */
const maxRecords = 256;
/** Number of boxes that collect the terminations of a request: two, so that one of them may be lost. */
const collectorsPerRequest = 2;
/** All restrictions, from the least to the most restrictive. */
const strictness: readonly RequestRestriction[] = ["unsuspected", "watched", "oneAtATime", "held"];

/** Creates an empty set of records. */
export function createPoisonRequests(): PoisonRequests {
    const records = new Map<RequestFingerprint, PoisonRequestRecord>();

    return {
        isEmpty: () => records.size === 0,
        find: fingerprint => records.get(fingerprint),
        restriction: currentRestriction,
        decide(fingerprint, { at, isInProgress, makesTrials }) {
            const record = records.get(fingerprint);
            switch (currentRestriction(fingerprint)) {
                case "unsuspected":
                case "watched":
                    return { kind: "go" };
                case "oneAtATime":
                    return { kind: isInProgress ? "wait" : "go" };
                case "held": {
                    const isTrial = makesTrials && !isInProgress && record !== undefined && at >= trialDueAt(record);
                    return { kind: isTrial ? "go" : "refuse" };
                }
            }
        },
        onServerEnded(fingerprint, incarnation, at) {
            const record = { ...createPoisonRequestRecord(fingerprint, at), ends: [{ id: incarnation, at }] };
            return mergeRecord(record);
        },
        onAnswer(fingerprint, answer, at) {
            if (currentRestriction(fingerprint) === "unsuspected") {
                return undefined;
            }
            return mergeRecord({ ...createPoisonRequestRecord(fingerprint, at), answers: [{ id: answer, at }] });
        },
        onSeen(fingerprint, at) {
            const record = records.get(fingerprint);
            if (record !== undefined) {
                records.set(fingerprint, { ...record, seenAt: at });
            }
        },
        onRecord(record) {
            const change = mergeRecord(record);
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

    function currentRestriction(fingerprint: RequestFingerprint): RequestRestriction {
        const record = records.get(fingerprint);
        return record === undefined ? "unsuspected" : restrictionOf(record);
    }

    function mergeRecord(record: PoisonRequestRecord): PoisonRequestChange {
        const { fingerprint } = record;
        const before = currentRestriction(fingerprint);
        const known = records.get(fingerprint) ?? createPoisonRequestRecord(fingerprint, record.seenAt);
        const merged = mergePoisonRequestRecords(known, record);
        records.set(fingerprint, merged);
        if (records.size > maxRecords) {
            records.delete(findLeastRestricted());
        }
        return { record: merged, before, now: restrictionOf(merged) };
    }

    function findLeastRestricted(): RequestFingerprint {
        const [first] = [...records.values()].sort((a, b) =>
            strictness.indexOf(restrictionOf(a)) - strictness.indexOf(restrictionOf(b)) || a.seenAt - b.seenAt
        );
        return first.fingerprint;
    }
}

/** True for a restriction that every box has to apply. */
export function requiresBroadcast(restriction: RequestRestriction): boolean {
    return restriction === "oneAtATime" || restriction === "held";
}

/**
 * Returns the boxes that collect what is known of a request, the one that makes its trials first. They are chosen by
 * rendezvous hashing, so that all boxes that know each other choose the same ones.
 */
export function collectorsOf<Box extends { readonly box: string; }>(
    fingerprint: RequestFingerprint,
    boxes: readonly Box[],
): readonly Box[] {
    const hash = hashText(fingerprint);
    const scores = new Map(boxes.map(box => [box, rendezvousScore(hash, hashText(box.box), 1)]));
    return [...boxes].sort((a, b) => scores.get(b)! - scores.get(a)!).slice(0, collectorsPerRequest);
}

/** Returns the time `age` milliseconds before `at`; a negative age counts as 0. */
export function timeBefore(at: Milliseconds, age: number): Milliseconds {
    return milliseconds(at - Math.max(0, age));
}

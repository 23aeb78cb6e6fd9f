/**
 * Checks that boxes which are partitioned from all servers serve their callers about as the other boxes do, as long as
 * there are others.
 */

import type { Breach, Observations, ObservedAttempt, ObservedPartition } from "./observations.js";

/** Milliseconds after the cut, and after they state that they are ready, from which its boxes must serve. */
const servedWithin = 2000;
/** Fraction of the other boxes' share of served requests that cut boxes must reach; the users' rule asks two thirds. */
const minShareOfOthers = 0.9;
/** Attempts that may fail beyond what the others' share predicts, and the fraction of all: the users' rule. */
const allowedFailures = 10;
const allowedFailedFraction = 1 / 50;
/** Milliseconds within which another box must have taken requests. */
const nearby = 300;
/** Attempts on each side from which shares are compared. */
const minCompared = 20;
/** Statuses of requests that are refused before a server is chosen: an unknown key, and a customer's quota. */
const admissionStatuses = new Set([401, 429]);

/** Returns the breaches of all partitions. */
export function partitionBreaches(seen: Observations): Breach[] {
    return (seen.partitions ?? []).flatMap(partition => breachesOf(partition, seen));
}

/** Number of partitions in which the shares could be compared. */
export function countComparedPartitions(seen: Observations): number {
    return (seen.partitions ?? []).filter(partition => sharesOf(partition, seen) !== undefined).length;
}

function breachesOf(partition: ObservedPartition, seen: Observations): Breach[] {
    const shares = sharesOf(partition, seen);
    if (shares === undefined || shares.cut >= shares.others * minShareOfOthers) {
        return [];
    }
    const missing = (shares.others - shares.cut) * shares.cutCount;
    if (missing <= allowedFailures + shares.cutCount * allowedFailedFraction) {
        return [];
    }
    const percent = (share: number) => `${Math.round(share * 100)}%`;
    const hosts = [...partition.hosts].join(", ");
    const detail = `${partition.kind} until ${Math.round(partition.to)}: ${percent(shares.cut)} served at ${hosts}, ${
        percent(shares.others)
    } at the others`;
    return [{ promise: "partition", at: partition.from, detail }];
}

/** Shares of served attempts at cut boxes and at others, and the number of attempts at cut ones. */
interface ComparedShares {
    readonly cut: number;
    readonly cutCount: number;
    readonly others: number;
}

/** The shares served at cut boxes and at others while the partition lasts; undefined if there are too few attempts. */
function sharesOf(
    partition: ObservedPartition,
    { attempts, hadBoxFault, partitions = [] }: Observations,
): ComparedShares | undefined {
    const hostOf = ({ box }: ObservedAttempt) => box.split(":")[0];
    const ofCallers = attempts.filter(({ requestId }) => requestId.startsWith("part-"));
    const during = ofCallers.filter(attempt =>
        attempt.at >= Math.min(firstServedAt(ofCallers, attempt.box), (attempt.readySince ?? Infinity) + servedWithin)
        && attempt.at >= partition.from + servedWithin && attempt.at <= partition.to
        && !admissionStatuses.has(attempt.answer.status)
        && hadBoxFault?.(hostOf(attempt), attempt.at) !== true
    );
    const isCut = (attempt: ObservedAttempt) =>
        partitions.some(({ from, hosts, to }) =>
            hosts.has(hostOf(attempt)) && attempt.at >= from && attempt.at <= to + servedWithin
        );
    const atOthers = during.filter(attempt => !isCut(attempt));
    // While the only boxes with links are down as well, nobody can serve.
    const atCut = during.filter(attempt =>
        partition.hosts.has(hostOf(attempt))
        && atOthers.some(({ at }) => Math.abs(at - attempt.at) <= nearby)
    );
    return atCut.length < minCompared || atOthers.length < minCompared
        ? undefined
        : { cut: servedShare(atCut), cutCount: atCut.length, others: servedShare(atOthers) };
}

/** When the box is known to serve, whatever it states about itself. */
function firstServedAt(attempts: readonly ObservedAttempt[], box: string): number {
    return attempts.find(attempt => attempt.box === box && attempt.answer.status === 200)?.at ?? Infinity;
}

function servedShare(attempts: readonly ObservedAttempt[]): number {
    return attempts.filter(({ answer }) => answer.status === 200).length / attempts.length;
}

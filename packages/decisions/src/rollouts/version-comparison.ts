/**
 * Compares the failures and the slowness of the two sides of a trial by server group, for
 * all routes together and for each route.
 *
 * Relies on the sums of `evidence`.
 */

import { type EvidenceSides, type EvidenceTable, type GroupEvidence, routesOf, sidesOf } from "./evidence.js";
import { rankSumScore } from "./rank-sum.js";

/** The quantity that is compared. */
type VerdictTest = "failures" | "slowness";

/** Figures of one comparison, the basis of a verdict. */
export interface VersionComparison {
    readonly test: VerdictTest;
    /** Hash of the route's name; undefined for all routes together. */
    readonly route: number | undefined;
    /** Answers of the trial version that were compared: all for failures, only successes for slowness. */
    readonly answers: number;
    /** Failures of the trial version. */
    readonly failures: number;
    /** Groups of the trial version that have compared answers. */
    readonly groups: number;
    /** Groups of the trial version that have a failure. */
    readonly failedGroups: number;
    readonly controlAnswers: number;
    readonly controlFailures: number;
    /** Share of failures, or mean logarithm of slowness, of the trial version minus that of the proven version. */
    readonly difference: number;
    /** The same without the worst groups of each side. */
    readonly trimmedDifference: number;
    /** Standard score of the difference. */
    readonly score: number;
    /** Score from which the difference counts as significant; Infinity with too few groups. */
    readonly criticalScore: number;
}

/** Evidence of one time window. */
export interface EvidenceWindow {
    readonly table: EvidenceTable;
    /**
     * The trial version gets all new requests. Its servers have queues and are cold for many keys, unlike those of the
     * proven version before the move, so times mean less.
     */
    readonly isMoving: boolean;
}

/** Thresholds of the comparisons. Differences are in shares of failures, or in mean logarithms of slowness. */
interface TestThresholds {
    readonly criticalScore: number;
    readonly minFailureDifference: number;
    readonly minSlownessDifference: number;
    /** Minimum number of answers of the trial version for a good verdict. */
    readonly minAnswersForGood: number;
    readonly toleratedFailureDifference: number;
    readonly toleratedSlownessDifference: number;
    /** Minimum number of groups on each side for a score. */
    readonly minGroups: number;
}

/** For all routes together. Smaller differences are not detectable in few answers, or would not matter to callers. */
const allRoutesThresholds: TestThresholds = {
    criticalScore: 2.9,
    minFailureDifference: 0.02,
    minSlownessDifference: 0.15,
    minAnswersForGood: 20,
    toleratedFailureDifference: 0.06,
    toleratedSlownessDifference: 0.08,
    minGroups: 3,
};
/** For one route. There are up to nine routes, and thus nine times as many chances of a false alarm. */
const singleRouteThresholds: TestThresholds = {
    criticalScore: 2.9,
    minFailureDifference: 0.05,
    minSlownessDifference: 0.2,
    minAnswersForGood: 2,
    toleratedFailureDifference: 0.2,
    toleratedSlownessDifference: 0.1,
    minGroups: 5,
};
/** Fraction of the groups, the worst ones, that trimmed estimates leave out: 16 % of the servers may fail at once. */
const trimmedFraction = 0.375;
/**
 * Fraction of the score of perfectly separated groups that suffices where there are too few groups to reach the
 * usual score.
 */
const separatedScoreFraction = 0.98;

/** Returns the comparisons of a window, those of all routes together first. */
export function compareVersions({ table }: EvidenceWindow): readonly VersionComparison[] {
    return [undefined, ...routesOf(table)].flatMap(route => {
        const sides = sidesOf(table, route);
        return [compare("failures", route, sides), compare("slowness", route, sides)];
    });
}

/** Returns the thresholds for one route, or for all routes together. */
export function thresholdsOf({ route }: Pick<VersionComparison, "route">): TestThresholds {
    return route === undefined ? allRoutesThresholds : singleRouteThresholds;
}

function compare(test: VerdictTest, route: number | undefined, sides: EvidenceSides): VersionComparison {
    const trial = sides.trial.filter(group => observationCount(test, group) > 0);
    const control = sides.control.filter(group => observationCount(test, group) > 0);
    const summaryOf = (group: GroupEvidence) => observationSum(test, group) / observationCount(test, group);
    const separatedScore = Math.sqrt(3 * trial.length * control.length / (trial.length + control.length + 1));
    const isComparable = Math.min(trial.length, control.length) >= thresholdsOf({ route }).minGroups;
    return {
        test,
        route,
        answers: total(sides.trial, group => observationCount(test, group)),
        failures: total(sides.trial, group => group.failures),
        groups: trial.length,
        failedGroups: sides.trial.filter(group => group.failures > 0).length,
        controlAnswers: total(sides.control, group => observationCount(test, group)),
        controlFailures: total(sides.control, group => group.failures),
        difference: pooledMean(test, trial) - pooledMean(test, control),
        trimmedDifference: pooledMean(test, withoutWorst(trial, summaryOf))
            - pooledMean(test, withoutWorst(control, summaryOf)),
        score: rankSumScore(trial.map(summaryOf), control.map(summaryOf)),
        criticalScore: isComparable
            ? Math.min(thresholdsOf({ route }).criticalScore, separatedScore * separatedScoreFraction)
            : Infinity,
    };
}

function withoutWorst(
    groups: readonly GroupEvidence[],
    summaryOf: (group: GroupEvidence) => number,
): readonly GroupEvidence[] {
    const worstFirst = groups.toSorted((a, b) => summaryOf(b) - summaryOf(a));
    return worstFirst.slice(Math.floor(groups.length * trimmedFraction));
}

function pooledMean(test: VerdictTest, groups: readonly GroupEvidence[]): number {
    return total(groups, group => observationSum(test, group))
        / Math.max(1, total(groups, group => observationCount(test, group)));
}

/** Returns the number of answers to compare; failures have no meaningful time. */
function observationCount(test: VerdictTest, { answers, failures }: GroupEvidence): number {
    return test === "failures" ? answers : answers - failures;
}

function observationSum(test: VerdictTest, { failures, slownessSum }: GroupEvidence): number {
    return test === "failures" ? failures : slownessSum;
}

function total(groups: readonly GroupEvidence[], valueOf: (group: GroupEvidence) => number): number {
    return groups.reduce((sum, group) => sum + valueOf(group), 0);
}

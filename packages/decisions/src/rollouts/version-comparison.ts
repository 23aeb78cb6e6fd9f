/**
 * Compares the two sides of a trial by groups of servers: failures, and slowness,
 * for all routes together and for each.
 *
 * Owns nothing; relies on sums of the answers.
 */

import { type EvidenceSides, type EvidenceTable, type GroupEvidence, routesOf, sidesOf } from "./evidence.js";
import { rankSumScore } from "./rank-sum.js";

/** What was compared. */
type VerdictTest = "failures" | "slowness";

/** Figures that a verdict goes by. */
export interface VersionComparison {
    readonly test: VerdictTest;
    /** Hash of the route; undefined for all together. */
    readonly route: number | undefined;
    /** Answers of the version on trial that were compared. */
    readonly answers: number;
    /** Of these, failures. */
    readonly failures: number;
    /** Groups of the version on trial, and those of them that have a failure. */
    readonly groups: number;
    readonly failedGroups: number;
    readonly controlAnswers: number;
    readonly controlFailures: number;
    /** Share of failures, or mean of the logarithms of slowness, above that of the proven version. */
    readonly difference: number;
    /** The same without the worst groups of each side. */
    readonly trimmedDifference: number;
    /** Standard score of the difference. */
    readonly score: number;
    /** Score from which the difference is taken for real. */
    readonly criticalScore: number;
}

/** Evidence of one span of time. */
export interface EvidenceWindow {
    readonly table: EvidenceTable;
    /** The version gets all requests: its servers wait and learn keys as the others did not have to, so times say less. */
    readonly isMoving: boolean;
}

/** What a test needs and bears. */
interface TestBounds {
    readonly score: number;
    readonly leastFailures: number;
    readonly leastSlowness: number;
    /** Answers of the version on trial from which it may count as good. */
    readonly enoughAnswers: number;
    readonly toleratedFailures: number;
    readonly toleratedSlowness: number;
    /** Groups that each side needs. */
    readonly fewestGroups: number;
}

/** For all routes together. The least differences are ones that no test finds in few answers, or that no caller would mind. */
const ofAll: TestBounds = {
    score: 2.9,
    leastFailures: 0.02,
    leastSlowness: 0.15,
    enoughAnswers: 20,
    toleratedFailures: 0.06,
    toleratedSlowness: 0.08,
    fewestGroups: 3,
};
/** For one route: there are up to nine of them, so chance has nine times as many. */
const ofRoute: TestBounds = {
    score: 2.9,
    leastFailures: 0.05,
    leastSlowness: 0.2,
    enoughAnswers: 2,
    toleratedFailures: 0.2,
    toleratedSlowness: 0.1,
    fewestGroups: 5,
};
/** Part of the groups, the worst ones, that trimmed estimates leave out: 16 in 100 servers may do badly at once. */
const trimmedPart = 0.375;
/** Part of the score of perfectly separated groups that suffices where there are too few groups for the bound. */
const separatedPart = 0.98;
/** The comparisons of a span; the first ones are of all routes together. */
export function compareVersions({ table }: EvidenceWindow): readonly VersionComparison[] {
    return [undefined, ...routesOf(table)].flatMap(route => {
        const sides = sidesOf(table, route);
        return [compare("failures", route, sides), compare("slowness", route, sides)];
    });
}

/** Returns what the tests of a route, or of all together, need and bear. */
export function thresholdsOf({ route }: Pick<VersionComparison, "route">): TestBounds {
    return route === undefined ? ofAll : ofRoute;
}

function compare(test: VerdictTest, route: number | undefined, sides: EvidenceSides): VersionComparison {
    const trial = sides.trial.filter(group => countOf(test, group) > 0);
    const control = sides.control.filter(group => countOf(test, group) > 0);
    const summaryOf = (group: GroupEvidence) => sumOf(test, group) / countOf(test, group);
    const separated = Math.sqrt(3 * trial.length * control.length / (trial.length + control.length + 1));
    const isComparable = Math.min(trial.length, control.length) >= thresholdsOf({ route }).fewestGroups;
    return {
        test,
        route,
        answers: total(sides.trial, group => countOf(test, group)),
        failures: total(sides.trial, group => group.failures),
        groups: trial.length,
        failedGroups: sides.trial.filter(group => group.failures > 0).length,
        controlAnswers: total(sides.control, group => countOf(test, group)),
        controlFailures: total(sides.control, group => group.failures),
        difference: pooled(test, trial) - pooled(test, control),
        trimmedDifference: pooled(test, withoutWorst(trial, summaryOf))
            - pooled(test, withoutWorst(control, summaryOf)),
        score: rankSumScore(trial.map(summaryOf), control.map(summaryOf)),
        criticalScore: isComparable ? Math.min(thresholdsOf({ route }).score, separated * separatedPart) : Infinity,
    };
}

function withoutWorst(
    groups: readonly GroupEvidence[],
    summaryOf: (group: GroupEvidence) => number,
): readonly GroupEvidence[] {
    const worstFirst = groups.toSorted((a, b) => summaryOf(b) - summaryOf(a));
    return worstFirst.slice(Math.floor(groups.length * trimmedPart));
}

function pooled(test: VerdictTest, groups: readonly GroupEvidence[]): number {
    return total(groups, group => sumOf(test, group)) / Math.max(1, total(groups, group => countOf(test, group)));
}

/** Failures say nothing of times. */
function countOf(test: VerdictTest, { answers, failures }: GroupEvidence): number {
    return test === "failures" ? answers : answers - failures;
}

function sumOf(test: VerdictTest, { failures, slownessSum }: GroupEvidence): number {
    return test === "failures" ? failures : slownessSum;
}

function total(groups: readonly GroupEvidence[], valueOf: (group: GroupEvidence) => number): number {
    return groups.reduce((sum, group) => sum + valueOf(group), 0);
}

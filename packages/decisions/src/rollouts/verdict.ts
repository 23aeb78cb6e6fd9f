/**
 * Whether a version on trial is bad: it fails or is slow against the proven
 * version at the same time.
 *
 * Both sides are summed up by groups of servers, and the groups are compared, not
 * the answers: the rank-sum test on the summaries of clusters (Rosner, Glynn and
 * Lee, 2003; Datta and Satten, 2005). One bad server among good ones is one group of
 * eight, however many answers it spoils, and a fault that strikes servers of both versions at random strikes groups of both.
 * The evidence is looked at again and again, so the bound on the score is constant and high (Pocock, 1977).
 *
 * A version counts as good by its estimates without the worst groups of each side (trimmed means), once enough has been answered.
 *
 * Owns nothing; relies on sums of the answers.
 */

import { type EvidenceSides, type EvidenceTable, type GroupEvidence, routesOf, sidesOf } from "./evidence.js";
import { rankSumScore } from "./rank-sum.js";

/** What was compared. */
export type VerdictTest = "failures" | "slowness";

/** Figures that a verdict goes by. */
export interface VerdictFigures {
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
    readonly trimmed: number;
    /** Standard score of the difference. */
    readonly score: number;
    /** Score from which the difference is taken for real. */
    readonly bound: number;
}

/** What the evidence says. */
export type Verdict =
    | { readonly kind: "bad"; readonly figures: VerdictFigures; }
    | { readonly kind: "good"; readonly answers: number; }
    | { readonly kind: "undecided"; readonly why: "fewAnswers" | "unclear"; readonly figures: VerdictFigures; };

/** Evidence of one span of time. */
export interface EvidenceSpan {
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
/** Times the logarithms that slowness must reach while all requests move. */
const movingFactor = 1.25;
/** Standard score from which a difference is a reason to doubt. */
const doubtfulScore = 2.6;
/** Standard score below which a difference is taken for chance, however great it is. */
const chanceScore = 2;
/** Times the tolerated difference that is borne where there are too few groups for a score. */
const toleratedOfFew = 2;
/** Share of failures above the proven version's that so few groups must show that the bound on the score is out of reach. */
const leastFailuresOfFew = 0.2;
/** The same for slowness. */
const leastSlownessOfFew = 0.3;
/** Answers of the proven version, and the share of failures among them, that show that no fault is about. */
const fewestClean = 100;
/** Share of failures, from 0 to 1, of a proven version without faults. */
const cleanShare = 0.002;
/** Failures, their groups and their share of the answers against a proven version without any, that decide, */
const decidingAgainstNone = 4;
/** that are a reason to doubt, */
const doubtfulAgainstNone = 3;
/** groups that they must lie in, */
const fewestGroupsAgainstNone = 3;
/** the part of all groups that these are, */
const leastGroupPart = 0.5;
/** and their share of the answers at least, from 0 to 1. */
const leastAgainstNone = 0.03;
/** Failures of the version on trial that a verdict by failures needs. */
const fewestFailures = 3;
/** Answers of the version on trial that a verdict by slowness needs. */
const fewestAnswers = 8;
/** Part of the groups, the worst ones, that trimmed estimates leave out: 16 in 100 servers may do badly at once. */
const trimmedPart = 0.375;
/** Part of the score of perfectly separated groups that suffices where there are too few groups for the bound. */
const separatedPart = 0.98;
/** Part of the answers of all routes below which a route is too rare to hold a good version up. */
const rarePart = 0.01;

/** Judges spans of time, the whole trial first; one span that shows a bad version suffices. */
export function judgeTrial(spans: readonly [EvidenceSpan, ...EvidenceSpan[]]): Verdict {
    const [whole, ...others] = spans.map(compareSpan);
    const bad = [whole, ...others].flat().find(figures => isBad(figures, spans[0].isMoving));
    if (bad !== undefined) {
        return { kind: "bad", figures: bad };
    }
    const [all] = whole;
    const isRare = (figures: VerdictFigures) =>
        figures.answers + figures.controlAnswers < rarePart * (all.answers + all.controlAnswers);
    const thin = whole.find(figures => figures.answers < boundsOf(figures).enoughAnswers && !isRare(figures));
    if (thin !== undefined) {
        return { kind: "undecided", why: "fewAnswers", figures: thin };
    }
    const unclear = whole.find(figures => isUnclear(figures, spans[0].isMoving));
    return unclear === undefined
        ? { kind: "good", answers: all.answers }
        : { kind: "undecided", why: "unclear", figures: unclear };
}

/** Returns a verdict with its figures as one line for logs and operators. */
export function describeVerdict(verdict: Verdict): string {
    if (verdict.kind === "good") {
        return `good by ${verdict.answers} answers`;
    }
    const { answers, controlAnswers, difference, failures, route, score, test } = verdict.figures;
    const where = route === undefined ? "all routes" : `route ${route}`;
    const figures = `${answers} answers, ${failures} failed, against ${controlAnswers}; difference ${
        difference.toFixed(3)
    }, score ${score.toFixed(1)}`;
    return `${verdict.kind === "bad" ? "bad" : verdict.why} by ${test} on ${where}: ${figures}`;
}

function isBad(figures: VerdictFigures, isMoving: boolean): boolean {
    if (failuresAgainstNone(figures) >= decidingAgainstNone) {
        return true;
    }
    if (figures.score < figures.bound) {
        return false;
    }
    const { leastFailures, leastSlowness, score } = boundsOf(figures);
    const isOfFewGroups = figures.bound < score;
    if (figures.test === "failures") {
        const least = isOfFewGroups ? leastFailuresOfFew : leastFailures;
        return figures.failures >= fewestFailures && figures.difference >= least;
    }
    const least = isOfFewGroups ? leastSlownessOfFew : leastSlowness;
    return figures.answers >= fewestAnswers && figures.difference >= least * (isMoving ? movingFactor : 1);
}

/**
 * Failures of the version on trial in several groups, where many answers of the proven version show none; else 0. A fault that
 * strikes servers at random would be seen there as well, so each answer counts for itself.
 */
function failuresAgainstNone(figures: VerdictFigures): number {
    const { controlAnswers, controlFailures, difference, failedGroups, failures, groups, route, test } = figures;
    const isClean = controlAnswers >= fewestClean && controlFailures <= controlAnswers * cleanShare;
    const isComparable = test === "failures" && route === undefined && isClean;
    const isSpread = failedGroups >= Math.max(fewestGroupsAgainstNone, groups * leastGroupPart);
    return isComparable && isSpread && difference >= leastAgainstNone ? failures : 0;
}

/** True if the estimates don't yet allow to call the version good. */
function isUnclear(figures: VerdictFigures, isMoving: boolean): boolean {
    const { leastFailures, leastSlowness, toleratedFailures, toleratedSlowness } = boundsOf(figures);
    const factor = figures.test === "slowness" && isMoving ? movingFactor : 1;
    const [least, tolerated] = figures.test === "failures"
        ? [leastFailures, toleratedFailures]
        : [leastSlowness, toleratedSlowness];
    const isDoubtful = figures.score >= Math.min(doubtfulScore, figures.bound) && figures.difference >= least * factor;
    if (isDoubtful || failuresAgainstNone(figures) >= doubtfulAgainstNone) {
        return true;
    }
    if (figures.bound === Infinity) {
        return figures.trimmed > tolerated * factor * toleratedOfFew;
    }
    return figures.trimmed > tolerated * factor && figures.score >= chanceScore;
}

function boundsOf({ route }: Pick<VerdictFigures, "route">): TestBounds {
    return route === undefined ? ofAll : ofRoute;
}

/** The comparisons of a span; the first ones are of all routes together. */
function compareSpan({ table }: EvidenceSpan): readonly VerdictFigures[] {
    return [undefined, ...routesOf(table)].flatMap(route => {
        const sides = sidesOf(table, route);
        return [compare("failures", route, sides), compare("slowness", route, sides)];
    });
}

function compare(test: VerdictTest, route: number | undefined, sides: EvidenceSides): VerdictFigures {
    const trial = sides.trial.filter(group => countOf(test, group) > 0);
    const control = sides.control.filter(group => countOf(test, group) > 0);
    const summaryOf = (group: GroupEvidence) => sumOf(test, group) / countOf(test, group);
    const separated = Math.sqrt(3 * trial.length * control.length / (trial.length + control.length + 1));
    const isComparable = Math.min(trial.length, control.length) >= boundsOf({ route }).fewestGroups;
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
        trimmed: pooled(test, withoutWorst(trial, summaryOf)) - pooled(test, withoutWorst(control, summaryOf)),
        score: rankSumScore(trial.map(summaryOf), control.map(summaryOf)),
        bound: isComparable ? Math.min(boundsOf({ route }).score, separated * separatedPart) : Infinity,
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

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

import { compareVersions, type EvidenceWindow, thresholdsOf, type VersionComparison } from "./version-comparison.js";

/** What the evidence says. */
export type Verdict =
    | { readonly kind: "bad"; readonly figures: VersionComparison; }
    | { readonly kind: "good"; readonly answers: number; }
    | { readonly kind: "undecided"; readonly cause: "fewAnswers" | "unclear"; readonly figures: VersionComparison; };

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
/** Bad answers, by the estimates, from which doubt suffices: half of the 50 after which a bad version must soon get nothing. */
const mostInDoubt = 25;
/** Slowness that one slow answer adds to the sum at least: twice the expected time against 1.5 times. */
const slownessOfOne = Math.log(2 / 1.5);
/** Failures of the version on trial that a verdict by failures needs. */
const fewestFailures = 3;
/** Answers of the version on trial that a verdict by slowness needs. */
const fewestAnswers = 8;
/** Part of the answers of all routes below which a route is too rare to hold a good version up. */
const rarePart = 0.01;

/** Judges spans of time, the whole trial first; one span that shows a bad version suffices. */
export function judgeTrial(spans: readonly [EvidenceWindow, ...EvidenceWindow[]]): Verdict {
    const [whole, ...others] = spans.map(compareVersions);
    const bad = [whole, ...others].flat().find(figures => isBad(figures, spans[0].isMoving));
    if (bad !== undefined) {
        return { kind: "bad", figures: bad };
    }
    const [all] = whole;
    const isRare = (figures: VersionComparison) =>
        figures.answers + figures.controlAnswers < rarePart * (all.answers + all.controlAnswers);
    const thin = whole.find(figures => figures.answers < thresholdsOf(figures).enoughAnswers && !isRare(figures));
    if (thin !== undefined) {
        return { kind: "undecided", cause: "fewAnswers", figures: thin };
    }
    const unclear = whole.find(figures => isUnclear(figures, spans[0].isMoving));
    return unclear === undefined
        ? { kind: "good", answers: all.answers }
        : { kind: "undecided", cause: "unclear", figures: unclear };
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
    return `${verdict.kind === "bad" ? "bad" : verdict.cause} by ${test} on ${where}: ${figures}`;
}

function isBad(figures: VersionComparison, isMoving: boolean): boolean {
    if (failuresAgainstNone(figures) >= decidingAgainstNone || isTooManyInDoubt(figures, isMoving)) {
        return true;
    }
    if (figures.score < figures.criticalScore) {
        return false;
    }
    const { leastFailures, leastSlowness, score } = thresholdsOf(figures);
    const isOfFewGroups = figures.criticalScore < score;
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
function failuresAgainstNone(figures: VersionComparison): number {
    const { controlAnswers, controlFailures, difference, failedGroups, failures, groups, route, test } = figures;
    const isClean = controlAnswers >= fewestClean && controlFailures <= controlAnswers * cleanShare;
    const isComparable = test === "failures" && route === undefined && isClean;
    const isSpread = failedGroups >= Math.max(fewestGroupsAgainstNone, groups * leastGroupPart);
    return isComparable && isSpread && difference >= leastAgainstNone ? failures : 0;
}

/**
 * True if so many answers are bad by the estimates that no more may be waited for, though the score is short of its bound: a bad
 * version must get nothing soon after its 50th bad answer, and eight groups that a fault strikes as well never reach the bound.
 */
function isTooManyInDoubt(figures: VersionComparison, isMoving: boolean): boolean {
    const { answers, difference, score, test, trimmedDifference: trimmed } = figures;
    const { toleratedFailures, toleratedSlowness } = thresholdsOf(figures);
    const bad = answers * difference / (test === "failures" ? 1 : slownessOfOne);
    const tolerated = test === "failures" ? toleratedFailures : toleratedSlowness * (isMoving ? movingFactor : 1);
    return bad >= mostInDoubt && trimmed > tolerated && score >= chanceScore;
}

/** True if the estimates don't yet allow to call the version good. */
function isUnclear(figures: VersionComparison, isMoving: boolean): boolean {
    const { leastFailures, leastSlowness, toleratedFailures, toleratedSlowness } = thresholdsOf(figures);
    const factor = figures.test === "slowness" && isMoving ? movingFactor : 1;
    const [least, tolerated] = figures.test === "failures"
        ? [leastFailures, toleratedFailures]
        : [leastSlowness, toleratedSlowness];
    const isDoubtful = figures.score >= Math.min(doubtfulScore, figures.criticalScore)
        && figures.difference >= least * factor;
    if (isDoubtful || failuresAgainstNone(figures) >= doubtfulAgainstNone) {
        return true;
    }
    if (figures.criticalScore === Infinity) {
        return figures.trimmedDifference > tolerated * factor * toleratedOfFew;
    }
    return figures.trimmedDifference > tolerated * factor && figures.score >= chanceScore;
}

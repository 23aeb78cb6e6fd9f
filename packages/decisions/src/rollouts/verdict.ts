/**
 * Decides whether a trial version is bad: whether it fails more often or is slower than
 * the proven version over the same time.
 *
 * Both sides are summed by server group, and the groups are compared rather than the
 * answers, by the rank-sum test on cluster summaries (Rosner, Glynn and Lee, 2003; Datta
 * and Satten, 2005). One bad server among good ones affects one group of eight, however
 * many answers it spoils, and a fault that hits servers of both versions at random affects
 * groups of both. The evidence is evaluated repeatedly, so the critical score is constant
 * and high (Pocock, 1977).
 *
 * A version is good once there are enough answers and the trimmed means, which leave out
 * the worst groups of each side, give no reason for doubt.
 *
 * Relies on the sums of `evidence`.
 */

import { compareVersions, type EvidenceWindow, thresholdsOf, type VersionComparison } from "./version-comparison.js";

/** The result of evaluating the evidence of a trial. */
export type Verdict =
    | { readonly kind: "bad"; readonly figures: VersionComparison; }
    | { readonly kind: "good"; readonly answers: number; }
    | { readonly kind: "undecided"; readonly cause: "fewAnswers" | "unclear"; readonly figures: VersionComparison; };

/** Factor on the slowness thresholds (mean logarithms) while all requests move. */
const movingSlownessFactor = 1.25;
/** Standard score from which a difference is doubtful. */
const doubtfulScore = 2.6;
/** Standard score below which a difference counts as chance, however large it is. */
const maxChanceScore = 2;
/** Factor on the tolerated difference where there are too few groups for a score. */
const fewGroupsToleranceFactor = 2;
/**
 * Minimum difference in the share of failures where there are so few groups that the usual critical score is out
 * of reach.
 */
const fewGroupsMinFailureDifference = 0.2;
/** The same for the mean logarithm of slowness. */
const fewGroupsMinSlownessDifference = 0.3;
/** Minimum number of answers of the proven version from which it can count as clean, that is, free of faults. */
const minCleanControlAnswers = 100;
/** Maximum share of failures, from 0 to 1, of a clean proven version. */
const maxCleanFailureShare = 0.002;
/** Share of failures, from 0 to 1, of a proven version above which it is no measure for another one. */
const maxComparableFailureShare = 0.25;
/** Failures of the trial version against a clean proven version from which it is bad. */
const decisiveFailuresAgainstClean = 4;
/** Failures against a clean proven version from which the trial version is doubtful. */
const doubtfulFailuresAgainstClean = 3;
/** Minimum number of groups with failures for a verdict against a clean proven version. */
const minFailedGroupsAgainstClean = 3;
/** Minimum fraction of the trial version's groups that must have failures for such a verdict. */
const minFailedGroupsFraction = 0.5;
/** Minimum difference in the share of failures, from 0 to 1, for a verdict against a clean proven version. */
const minDifferenceAgainstClean = 0.03;
/**
 * Estimated bad answers from which a doubtful version is bad: half of the 50 after which a bad version must soon
 * get nothing.
 */
const maxDoubtfulBadAnswers = 25;
/**
 * Minimum that one slow answer adds to the sum of logarithms: it takes at least twice the expected time, and a
 * normal answer counts as 1.5 times.
 */
const minSlownessOfSlowAnswer = Math.log(2 / 1.5);
/** Minimum number of failures of the trial version for a bad verdict by failures. */
const minFailuresForBad = 3;
/** Minimum number of answers of the trial version for a bad verdict by slowness. */
const minAnswersForSlow = 8;
/** Fraction of the answers of all routes below which a route is too rare to delay a good verdict. */
const rareRouteFraction = 0.01;

/**
 * Evaluates the evidence of several time windows, the whole trial first. One window that shows a bad version
 * suffices.
 */
export function evaluateTrial(windows: readonly [EvidenceWindow, ...EvidenceWindow[]]): Verdict {
    const [whole, ...others] = windows.map(compareVersions);
    const bad = [whole, ...others].flat().find(figures => isBad(figures, windows[0].isMoving));
    if (bad !== undefined) {
        return { kind: "bad", figures: bad };
    }
    const [all] = whole;
    const isRare = (figures: VersionComparison) =>
        figures.answers + figures.controlAnswers < rareRouteFraction * (all.answers + all.controlAnswers);
    const tooFew = whole.find(figures => figures.answers < thresholdsOf(figures).minAnswersForGood && !isRare(figures));
    if (tooFew !== undefined) {
        return { kind: "undecided", cause: "fewAnswers", figures: tooFew };
    }
    const unclear = whole.find(figures => isUnclear(figures, windows[0].isMoving));
    return unclear === undefined
        ? { kind: "good", answers: all.answers }
        : { kind: "undecided", cause: "unclear", figures: unclear };
}

/** Returns the verdict with its figures as one line of text, for logs and operators. */
export function describeVerdict(verdict: Verdict): string {
    if (verdict.kind === "good") {
        return `good after ${verdict.answers} answers`;
    }
    const { answers, controlAnswers, difference, failures, route, score, test } = verdict.figures;
    const where = route === undefined ? "all routes" : `route ${route}`;
    const figures = `${answers} answers, ${failures} failed, against ${controlAnswers}; difference ${
        difference.toFixed(3)
    }, score ${score.toFixed(1)}`;
    return `${verdict.kind === "bad" ? "bad" : verdict.cause} by ${test} on ${where}: ${figures}`;
}

function isBad(figures: VersionComparison, isMoving: boolean): boolean {
    if (failuresAgainstClean(figures) >= decisiveFailuresAgainstClean || hasTooManyDoubtfulAnswers(figures, isMoving)) {
        return true;
    }
    if (figures.score < figures.criticalScore) {
        return false;
    }
    const { minFailureDifference, minSlownessDifference, criticalScore: requiredScore } = thresholdsOf(figures);
    const hasFewGroups = figures.criticalScore < requiredScore;
    if (figures.test === "failures") {
        const minDifference = hasFewGroups ? fewGroupsMinFailureDifference : minFailureDifference;
        return figures.failures >= minFailuresForBad && figures.difference >= minDifference;
    }
    const minDifference = hasFewGroups ? fewGroupsMinSlownessDifference : minSlownessDifference;
    return figures.answers >= minAnswersForSlow
        && figures.difference >= minDifference * (isMoving ? movingSlownessFactor : 1);
}

/**
 * Returns the failures of the trial version if they are spread over several groups while the proven version is
 * clean; otherwise 0. A fault that hits servers at random would show on the control side as well, so each
 * failure counts by itself.
 */
function failuresAgainstClean(figures: VersionComparison): number {
    const { controlAnswers, controlFailures, difference, failedGroups, failures, groups, route, test } = figures;
    const isClean = controlAnswers >= minCleanControlAnswers
        && controlFailures <= controlAnswers * maxCleanFailureShare;
    const isComparable = test === "failures" && route === undefined && isClean;
    const isSpread = failedGroups >= Math.max(minFailedGroupsAgainstClean, groups * minFailedGroupsFraction);
    return isComparable && isSpread && difference >= minDifferenceAgainstClean ? failures : 0;
}

/**
 * True if so many answers are estimated to be bad that the verdict can't wait, although the score is below the
 * critical score. A bad version must get nothing soon after its 50th bad answer, and if a fault also affects
 * some of the eight groups, the critical score may never be reached.
 */
function hasTooManyDoubtfulAnswers(figures: VersionComparison, isMoving: boolean): boolean {
    const { answers, difference, score, test, trimmedDifference } = figures;
    const { toleratedFailureDifference, toleratedSlownessDifference } = thresholdsOf(figures);
    const bad = answers * difference / (test === "failures" ? 1 : minSlownessOfSlowAnswer);
    const maxDifference = test === "failures"
        ? toleratedFailureDifference
        : toleratedSlownessDifference * (isMoving ? movingSlownessFactor : 1);
    return bad >= maxDoubtfulBadAnswers && trimmedDifference > maxDifference && score >= maxChanceScore;
}

/**
 * True if both versions fail often: what makes the proven version fail now can hide the failures of the trial version.
 * One that mends a failing version fails rarely itself.
 */
function isBesideFailing(figures: VersionComparison): boolean {
    const { answers, controlAnswers, controlFailures, failures, route, test } = figures;
    return test === "failures" && route === undefined
        && controlFailures > controlAnswers * maxComparableFailureShare
        && failures > answers * thresholdsOf(figures).toleratedFailureDifference;
}

/** True if the estimates don't allow a good verdict yet. */
function isUnclear(figures: VersionComparison, isMoving: boolean): boolean {
    const { minFailureDifference, minSlownessDifference, toleratedFailureDifference, toleratedSlownessDifference } =
        thresholdsOf(figures);
    const factor = figures.test === "slowness" && isMoving ? movingSlownessFactor : 1;
    const [minDifference, maxDifference] = figures.test === "failures"
        ? [minFailureDifference, toleratedFailureDifference]
        : [minSlownessDifference, toleratedSlownessDifference];
    const isDoubtful = figures.score >= Math.min(doubtfulScore, figures.criticalScore)
        && figures.difference >= minDifference * factor;
    if (isDoubtful || failuresAgainstClean(figures) >= doubtfulFailuresAgainstClean || isBesideFailing(figures)) {
        return true;
    }
    if (figures.criticalScore === Infinity) {
        return figures.trimmedDifference > maxDifference * factor * fewGroupsToleranceFactor;
    }
    return figures.trimmedDifference > maxDifference * factor && figures.score >= maxChanceScore;
}

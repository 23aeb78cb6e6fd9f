/**
 * Rank-sum test of Wilcoxon, Mann and Whitney, with the variance corrected for ties.
 */

/**
 * Returns the standard score: above 0 if the first sample tends to greater values, 0 if either sample is empty or all
 * values are equal.
 */
export function rankSumScore(first: readonly number[], second: readonly number[]): number {
    const all = [...first, ...second].sort((a, b) => a - b);
    const count = all.length;
    if (first.length === 0 || second.length === 0) {
        return 0;
    }
    const rankOf = meanRanks(all);
    const sum = first.reduce((total, value) => total + rankOf.get(value)!, 0);
    const expected = first.length * (count + 1) / 2;
    const variance = first.length * second.length / 12 * (count + 1 - tieTerm(all) / (count * (count - 1)));
    return variance <= 0 ? 0 : (sum - expected) / Math.sqrt(variance);
}

/** Equal values share the mean of their ranks. */
function meanRanks(sorted: readonly number[]): ReadonlyMap<number, number> {
    return new Map(sorted.map(value => [value, (sorted.indexOf(value) + sorted.lastIndexOf(value)) / 2 + 1]));
}

function tieTerm(sorted: readonly number[]): number {
    const sizes = [...new Set(sorted)].map(value => sorted.lastIndexOf(value) - sorted.indexOf(value) + 1);
    return sizes.reduce((sum, size) => sum + size ** 3 - size, 0);
}

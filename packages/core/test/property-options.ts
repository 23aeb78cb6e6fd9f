/**
 * Options of property tests: a fixed seed, and more runs by command
 * (`CHALKDALE_PROPERTY_RUNS=20000 CHALKDALE_PROPERTY_SEED=7 npm test`).
 */

import fc from "fast-check";

/** Without this, fast-check keeps arrays to ten elements whatever their bound, too short to reach most faults. */
fc.configureGlobal({ defaultSizeToMaxWhenMaxSpecified: true });

const defaultRuns = 150;
const defaultSeed = 20_261_202;

/** Passed to each `fc.assert`. */
export const propertyOptions = {
    seed: Number(process.env.CHALKDALE_PROPERTY_SEED ?? defaultSeed),
    numRuns: Number(process.env.CHALKDALE_PROPERTY_RUNS ?? defaultRuns),
};

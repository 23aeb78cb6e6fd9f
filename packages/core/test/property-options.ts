/**
 * Options of property tests: a fixed seed, and more runs by command
 * (`CHALKDALE_PROPERTY_RUNS=20000 CHALKDALE_PROPERTY_SEED=7 npm test`).
 */

const defaultRuns = 500;
const defaultSeed = 20_261_202;

/** Passed to each `fc.assert`. */
export const propertyOptions = {
    seed: Number(process.env.CHALKDALE_PROPERTY_SEED ?? defaultSeed),
    numRuns: Number(process.env.CHALKDALE_PROPERTY_RUNS ?? defaultRuns),
};

/**
 * Exhaustiveness and development-only checks.
 */

/** Marks a branch that the compiler proves unreachable. Throws if it is reached all the same. */
export function assertNever(value: never): never {
    throw new Error(`unhandled case: ${JSON.stringify(value)}`);
}

/** True when `CHALKDALE_DEVELOPMENT=1`: turns on the checks of {@link developmentCheck}. */
export const isDevelopment = process.env.CHALKDALE_DEVELOPMENT === "1";

/** Throws when an internal invariant does not hold; does nothing outside development. */
export function developmentCheck(condition: boolean, message: string): void {
    if (isDevelopment && !condition) {
        throw new Error(`invariant broken: ${message}`);
    }
}

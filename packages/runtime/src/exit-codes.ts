/**
 * The exit codes of all programs. Operators' scripts and the deployment rely on
 * their numbers.
 */

/** Exit codes by name. */
export const exitCodes = {
    /** The program did what was requested. */
    success: 0,
    /** The program failed while it ran. */
    failure: 1,
    /** The command line was invalid. */
    usage: 2,
    /** The settings were rejected. */
    settings: 3,
    /** The settings store or a box could not be reached. */
    unavailable: 4,
    /** An edit conflicted with another operator's. */
    clash: 5,
} as const;

/** One of the numbers in {@link exitCodes}. */
export type ExitCode = (typeof exitCodes)[keyof typeof exitCodes];

/**
 * The exit codes of all programs. Operators' scripts and the deployment rely on
 * them.
 */

/** Exit codes of all programs. */
export const exitCodes = {
    /** All went well. */
    success: 0,
    /** The program failed while it ran. */
    failure: 1,
    /** The command line was wrong. */
    usage: 2,
    /** Settings were refused. */
    settings: 3,
    /** The settings' store or a box could not be reached. */
    unavailable: 4,
    /** An edit clashed with another operator's. */
    clash: 5,
} as const;

/** An exit code that programs use. */
export type ExitCode = (typeof exitCodes)[keyof typeof exitCodes];

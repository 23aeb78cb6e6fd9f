/**
 * Checks that a demo or a measurement makes as it goes.
 */

/** Checks made so far. */
export interface Checks {
    /** Notes and tells whether something came out right. */
    readonly expect: (condition: boolean, what: string) => void;
    readonly failed: () => number;
}

/** Creates checks that tell each result as a line. */
export function createChecks(write: (line: string) => void): Checks {
    let failed = 0;
    return {
        expect(condition, what) {
            failed += condition ? 0 : 1;
            write(`${condition ? "ok    " : "FAILED"} ${what}`);
        },
        failed: () => failed,
    };
}

/**
 * The only import of `ts-results`; all other modules use this one.
 *
 * The package is CommonJS: its exports are members of the default export under
 * Node's ESM loader, and named exports in a bundle.
 */

import * as tsResults from "ts-results";
import type { Result } from "ts-results";

const library = (tsResults as unknown as { default?: typeof tsResults; }).default ?? tsResults;

/** Creates a successful `Result`. */
export const Ok = library.Ok;

/**
 * Creates a failed `Result`.
 *
 * The library's constructor captures a stack trace each time, which takes about
 * 50 us. A refusal is an ordinary outcome and must cost no more than a success.
 */
export const Err = <Failure>(failure: Failure): tsResults.Err<Failure> => {
    const result = Object.create(library.Err.prototype) as { ok: false; err: true; val: Failure; };
    result.ok = false;
    result.err = true;
    result.val = failure;
    return result as tsResults.Err<Failure>;
};

export type { Result };

/**
 * The one import of `ts-results` in the project.
 *
 * The package is CommonJS, so its names are reached through the default
 * export under Node's ESM loader and directly in a bundle.
 */

import * as tsResults from "ts-results";
import type { Result } from "ts-results";

const library = (tsResults as unknown as { default?: typeof tsResults; }).default ?? tsResults;

/** Makes the success side of a `Result`. */
export const Ok = library.Ok;

/**
 * Makes the failure side of a `Result`.
 *
 * The library's own constructor takes a stack trace each time, some 50 us; a
 * refusal is an ordinary answer here and must cost no more than a success.
 */
export const Err = <Failure>(failure: Failure): tsResults.Err<Failure> => {
    const made = Object.create(library.Err.prototype) as { ok: false; err: true; val: Failure; };
    made.ok = false;
    made.err = true;
    made.val = failure;
    return made as tsResults.Err<Failure>;
};

export type { Result };

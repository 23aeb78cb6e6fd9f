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

/** Makes the failure side of a `Result`. */
export const Err = library.Err;

export type { Result };

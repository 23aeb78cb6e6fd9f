/**
 * All mechanisms that keep the promises, for each promise one or more.
 */

import { boxMechanisms } from "./box-mechanisms.js";
import { decisionMechanisms } from "./decision-mechanisms.js";
import type { Mechanism } from "./mechanism.js";

/** All mechanisms, in no order that matters. */
export const mechanisms: readonly Mechanism[] = [...decisionMechanisms, ...boxMechanisms];

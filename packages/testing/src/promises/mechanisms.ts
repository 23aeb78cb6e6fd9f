/**
 * All mechanisms that keep the promises, for each promise one or more.
 */

import { boxMutations } from "./box-mechanisms.js";
import { decisionMutations } from "./decision-mechanisms.js";
import type { Mutation } from "./mechanism.js";

/** All mechanisms, in no order that matters. */
export const mutations: readonly Mutation[] = [...decisionMutations, ...boxMutations];

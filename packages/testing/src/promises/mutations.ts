/**
 * All mutations, one or more for each promise.
 */

import { boxMutations } from "./box-mutations.js";
import { decisionMutations } from "./decision-mutations.js";
import type { Mutation } from "./mutation.js";

/** All mutations; their order has no meaning. */
export const mutations: readonly Mutation[] = [...decisionMutations, ...boxMutations];

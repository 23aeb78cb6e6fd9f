/**
 * All mechanisms that keep the promises, for each promise one or more.
 */

import { boxMutations } from "./box-mutations.js";
import { decisionMutations } from "./decision-mutations.js";
import type { Mutation } from "./mutation.js";

/** All mechanisms, in no order that matters. */
export const mutations: readonly Mutation[] = [...decisionMutations, ...boxMutations];

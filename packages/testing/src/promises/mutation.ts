/**
 * The form of a mutation, and the paths of compiled code and tests, relative to the workspace's root.
 */

import type { PromiseTag } from "./promise-texts.js";

/** A replacement in a compiled file that disables a mechanism, so that the proofs of its promise should fail. */
export interface Mutation {
    readonly promise: PromiseTag;
    /** The mechanism that is disabled. */
    readonly name: string;
    readonly file: string;
    /** Text that the file must contain; its first occurrence is replaced. */
    readonly find: string;
    readonly replace: string;
    /** Test files in which at least one proof should fail. */
    readonly testFiles: readonly string[];
}

export const decisionsFile = (name: string) => `packages/decisions/dist/src/${name}.js`;
export const boxFile = (name: string) => `packages/box/dist/src/${name}.js`;
export const decisionsTestFile = (name: string) => `packages/decisions/dist/test/${name}.test.js`;
export const boxTestFile = (name: string) => `packages/box/dist/test/${name}.test.js`;
export const integrationTestFile = (name: string) => `packages/testing/dist/test/${name}.test.js`;

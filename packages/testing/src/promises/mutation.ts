/**
 * The form of a mechanism that keeps a promise, and where compiled code and its tests lie.
 */

import type { PromiseTag } from "./promise-texts.js";

/** A mechanism and how it is taken out. */
export interface Mutation {
    readonly promise: PromiseTag;
    readonly name: string;
    readonly file: string;
    readonly find: string;
    readonly replace: string;
    /** Test files that should miss it. */
    readonly testFiles: readonly string[];
}

export const decisionsFile = (name: string) => `packages/decisions/dist/src/${name}.js`;
export const boxFile = (name: string) => `packages/box/dist/src/${name}.js`;
export const decisionsTestFile = (name: string) => `packages/decisions/dist/test/${name}.test.js`;
export const boxTestFile = (name: string) => `packages/box/dist/test/${name}.test.js`;
export const integrationTestFile = (name: string) => `packages/testing/dist/test/${name}.test.js`;

/**
 * The form of a mechanism that keeps a promise, and where compiled code and its tests lie.
 */

import type { PromiseTag } from "./promise-texts.js";

/** A mechanism and how it is taken out. */
export interface Mechanism {
    readonly promise: PromiseTag;
    readonly name: string;
    readonly file: string;
    readonly find: string;
    readonly replace: string;
    /** Test files that should miss it. */
    readonly specs: readonly string[];
}

export const decision = (name: string) => `packages/decisions/dist/src/${name}.js`;
export const box = (name: string) => `packages/box/dist/src/${name}.js`;
export const decisionTest = (name: string) => `packages/decisions/dist/test/${name}.test.js`;
export const boxTest = (name: string) => `packages/box/dist/test/${name}.test.js`;
export const wholeTest = (name: string) => `packages/testing/dist/test/${name}.test.js`;

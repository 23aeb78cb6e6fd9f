/** Where the workspace lies, for tools and tests that start its programs or read its files. */

import { dirname, resolve } from "node:path";
import { fileURLToPath } from "node:url";

/** The root of the workspace. */
export const workspaceRoot = resolve(dirname(fileURLToPath(import.meta.url)), "../../../..");

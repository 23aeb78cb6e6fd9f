/** Path of the workspace, for tools and tests that start its programs or read its files. */

import { dirname, resolve } from "node:path";
import { fileURLToPath } from "node:url";

/** Absolute path of the workspace's root folder, from the place of this module in `dist`. */
export const workspaceRoot = resolve(dirname(fileURLToPath(import.meta.url)), "../../../..");

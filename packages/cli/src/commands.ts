/**
 * All commands of the command line.
 */

import type { Command } from "./context.js";
import { settingsCheck, settingsShow } from "./settings-file.js";

/** The commands, in the order of the help text. */
export const commands: readonly Command[] = [settingsCheck, settingsShow];

/**
 * All commands of the command line.
 */

import { boxes } from "./boxes.js";
import { burn } from "./burn.js";
import type { Command } from "./command.js";
import { customers } from "./customers.js";
import { explain } from "./explain.js";
import { rollouts } from "./rollouts.js";
import { settingsCheck, settingsShow } from "./settings-file-commands.js";
import { settingsApply, settingsDiff, settingsEdit, settingsHistory } from "./settings-store-commands.js";

/** The commands, in the order of the help text. */
export const commands: readonly Command[] = [
    settingsCheck,
    settingsShow,
    settingsDiff,
    settingsApply,
    settingsEdit,
    settingsHistory,
    boxes,
    customers,
    rollouts,
    burn,
    explain,
];

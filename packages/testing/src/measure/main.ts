/**
 * `npm run measure`: the decisions' speed, and the policies against plain
 * baselines over scripted days. Prints `name value unit` lines. Bounded to
 * about two minutes.
 */

import { measureBackendChoice } from "./backend-choice.js";
import { measureDays } from "./days.js";
import { measureDecisions } from "./decisions.js";

const report = (name: string, value: number, unit: string) =>
    void process.stdout.write(`${name} ${Number.isInteger(value) ? value : value.toFixed(3)} ${unit}\n`);

measureDecisions(report);
measureBackendChoice(report);
await measureDays(report);
process.exit(0);

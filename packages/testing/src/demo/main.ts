/**
 * `npm run demo`: runs the demo and prints its checks; the exit code is 0 only if all of them pass.
 */

import { boxCount, callerCount, runDemo } from "./demo.js";

process.stdout.write(`${boxCount} boxes serve ${callerCount} callers\n`);
await runDemo(({ details, passed, text }) => {
    process.stdout.write(`${passed ? "ok   " : "WRONG"} ${text}\n`);
    details.forEach(detail => process.stdout.write(`      ${detail}\n`));
    process.exitCode = passed ? process.exitCode : 1;
});

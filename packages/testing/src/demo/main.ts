/**
 * `npm run demo`: plays the demo, prints what came out, and ends with 0 only if all of it is right.
 */

import { boxCount, callerCount, runDemo } from "./demo.js";

process.stdout.write(`${boxCount} boxes serve ${callerCount} callers\n`);
await runDemo(({ details, passed: isRight, text }) => {
    process.stdout.write(`${isRight ? "ok   " : "WRONG"} ${text}\n`);
    details.forEach(detail => process.stdout.write(`      ${detail}\n`));
    process.exitCode = isRight ? process.exitCode : 1;
});

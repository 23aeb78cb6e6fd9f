/**
 * `npm run soak`: the fault soak over a range of seeds.
 */

import meow from "meow";
import type { FaultSet } from "./fault-tools.js";
import { runSoak } from "./soak.js";

const cli = meow(
    `
  Runs boxes as real processes under faults drawn from seeds, and checks what callers and servers see.

  Usage
    $ npm run soak -- [--seeds 1-50] [--seconds 12] [--boxes 5] [--first-faults] [--limits] [--notices]

  Exit codes
    0 no breach, 1 a breach or a run that failed, 2 wrong command line
`,
    {
        importMeta: import.meta,
        flags: {
            seeds: { type: "string", default: "1-3" },
            seconds: { type: "number", default: 12 },
            boxes: { type: "number", default: 5 },
            firstFaults: { type: "boolean", default: false },
            limits: { type: "boolean", default: false },
            notices: { type: "boolean", default: false },
            quiet: { type: "boolean", default: false },
        },
    },
);

async function main(): Promise<void> {
    const [first, last = first] = cli.flags.seeds.split("-").map(Number);
    if (!Number.isInteger(first) || !Number.isInteger(last) || last < first) {
        process.stderr.write(`--seeds ${cli.flags.seeds} is no seed or range of seeds, such as 4 or 1-50\n`);
        process.exitCode = 2;
        return;
    }
    let failed = 0;
    for (let seed = first; seed <= last; seed++) {
        const result = await runSoak({
            seed,
            faultDuration: cli.flags.seconds * 1000,
            faults: faultSetOf(),
            boxes: cli.flags.boxes,
            onEvent: line => {
                if (!cli.flags.quiet || line.includes("breach=")) {
                    process.stdout.write(`${line}\n`);
                }
            },
        });
        const {
            attempts,
            breaches,
            faults,
            logFolder: folder,
            connectedBoxes: inTouch,
            extendedFaults: later,
            limits,
            notices,
            rollouts,
            served,
        } = result;
        const counts = later === undefined ? "none" : Object.entries(later).map(pair => pair.join(":")).join(",");
        const outcomes = rollouts.map(({ isBad, states }) =>
            `${isBad ? "bad" : "good"}:${states.at(-1)?.state ?? "none"}`
        );
        failed += breaches.length > 0 ? 1 : 0;
        process.stdout.write(
            `seed=${seed} attempts=${attempts} served=${served} faults=${faults} later=${counts} inTouch=${
                Object.entries(inTouch).map(pair => pair.join(":")).join(",")
            } limits=${limits.checked}/${limits.named} notices=${
                Object.entries(notices).map(pair => pair.join(":")).join(",")
            } rollouts=${outcomes.join(",")} breaches=${breaches.length} logs=${folder}\n`,
        );
    }
    process.stdout.write(`${last - first + 1 - failed} seeds without a breach, ${failed} with one\n`);
    process.exitCode = failed > 0 ? 1 : 0;
}

function faultSetOf(): FaultSet {
    if (cli.flags.firstFaults) {
        return "first";
    }
    if (cli.flags.notices) {
        return "notices";
    }
    return cli.flags.limits ? "limits" : "all";
}

await main();

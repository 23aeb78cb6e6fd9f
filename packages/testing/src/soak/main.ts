/**
 * Command-line program of the fault soak (`npm run soak`): one run for each of a range of seeds.
 *
 * Owns the command line, the printed lines and the exit code.
 */

import meow from "meow";
import type { FaultSet } from "./fault-tools.js";
import { runSoak } from "./soak.js";

const cli = meow(
    `
  Runs boxes as real processes under faults drawn from seeds, and checks what callers and servers see.

  Usage
    $ npm run soak -- [--seeds 1-50] [--seconds 12] [--boxes 5] [--first-faults] [--limits] [--notices] [--partitions] [--retries] [--departures] [--answers] [--guarantees] [--statuses] [--cold]

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
            partitions: { type: "boolean", default: false },
            retries: { type: "boolean", default: false },
            departures: { type: "boolean", default: false },
            answers: { type: "boolean", default: false },
            guarantees: { type: "boolean", default: false },
            statuses: { type: "boolean", default: false },
            cold: { type: "boolean", default: false },
            quiet: { type: "boolean", default: false },
        },
    },
);

async function main(): Promise<void> {
    const [first, last = first] = cli.flags.seeds.split("-").map(Number);
    if (!Number.isInteger(first) || !Number.isInteger(last) || last < first) {
        process.stderr.write(
            `--seeds must be a seed or a range of seeds, such as 4 or 1-50, and not ${cli.flags.seeds}\n`,
        );
        process.exitCode = 2;
        return;
    }
    let failedSeeds = 0;
    for (let seed = first; seed <= last; seed++) {
        const result = await runSoak({
            seed,
            faultDuration: cli.flags.seconds * 1000,
            faults: selectFaultSet(),
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
            cold,
            faults,
            logFolder,
            connectedBoxes,
            departures,
            extendedFaults,
            limits,
            notices,
            partitions,
            rollouts,
            served,
            usedRetryShare,
        } = result;
        const extendedFaultCounts = extendedFaults === undefined
            ? "none"
            : Object.entries(extendedFaults).map(pair => pair.join(":")).join(",");
        const outcomes = rollouts.map(({ isBad, states }) =>
            `${isBad ? "bad" : "good"}:${states.at(-1)?.state ?? "none"}`
        );
        failedSeeds += breaches.length > 0 ? 1 : 0;
        process.stdout.write(
            `seed=${seed} attempts=${attempts} served=${served} faults=${faults} later=${extendedFaultCounts} inTouch=${
                Object.entries(connectedBoxes).map(pair => pair.join(":")).join(",")
            } limits=${limits.checked}/${limits.named} notices=${
                Object.entries(notices).map(pair => pair.join(":")).join(",")
            } partitions=${partitions.compared}/${partitions.injected} retries=${
                usedRetryShare.toFixed(2)
            } departures=${departures} cold=${cold.periods}/${cold.usedShare.toFixed(2)} rollouts=${
                outcomes.join(",")
            } breaches=${breaches.length} logs=${logFolder}\n`,
        );
    }
    process.stdout.write(`${last - first + 1 - failedSeeds} seeds without a breach, ${failedSeeds} with one\n`);
    process.exitCode = failedSeeds > 0 ? 1 : 0;
}

function selectFaultSet(): FaultSet {
    if (cli.flags.firstFaults) {
        return "first";
    }
    if (cli.flags.notices) {
        return "notices";
    }
    if (cli.flags.partitions) {
        return "partitions";
    }
    if (cli.flags.retries) {
        return "retries";
    }
    if (cli.flags.departures) {
        return "departures";
    }
    if (cli.flags.answers) {
        return "answers";
    }
    if (cli.flags.guarantees) {
        return "guarantees";
    }
    if (cli.flags.statuses) {
        return "statuses";
    }
    if (cli.flags.cold) {
        return "cold";
    }
    return cli.flags.limits ? "limits" : "all";
}

await main();
// Node's own clean-up at the end of the loop does not always end.
process.exit();

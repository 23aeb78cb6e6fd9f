/**
 * `npm run experiment`: plays many days in the emulator and compares policies.
 * Prints a table.
 */

import { milliseconds } from "@chalkdale/kernel";
import meow from "meow";
import type { EmulatedDeployment } from "./deployment.js";
import { kodeyard, pedala } from "./deployments.js";
import { type EmulatedFault, type EmulationResult, runEmulation } from "./emulation.js";
import { odyn } from "./odyn.js";
import { pedalaNow } from "./pedala-now.js";
import { type PolicyName, policyNames } from "./policies.js";
import { tsereteli } from "./tsereteli.js";

const cli = meow(
    `
  Compares ways to choose a server over many emulated days.

  Usage
    $ npm run experiment -- [--site pedala|kodeyard|tsereteli|pedala-now|odyn] [--named zone|region] [--seeds 10] [--loads 0.6,1,1.3] [--trouble none|slow|closed|lost|burst]

  Options
    --site     the deployment (pedala)
    --seeds    days for each policy and load (10)
    --loads    loads as parts of the sheet's rates (0.6,1,1.3)
    --named    callers are named the boxes of their zone or their region (region)
    --trouble  what goes wrong from the tenth second on (none)
`,
    {
        importMeta: import.meta,
        flags: {
            site: { type: "string", default: "pedala" },
            seeds: { type: "number", default: 10 },
            loads: { type: "string", default: "0.6,1,1.3" },
            named: { type: "string", default: "region" },
            trouble: { type: "string", default: "none" },
        },
    },
);

const sites: Readonly<Record<string, EmulatedDeployment>> = {
    pedala,
    kodeyard,
    tsereteli,
    "pedala-now": pedalaNow,
    odyn,
};

function troublesOf(name: string, deployment: EmulatedDeployment): EmulatedFault[] {
    const [zone] = Object.keys(deployment.zones);
    switch (name) {
        case "none":
            return [];
        case "slow":
            return [{ kind: "slowServers", at: 10_000, lasts: 8000, share: 0.16, factor: 5 }];
        case "closed":
            return [{ kind: "closedZone", at: 10_000, lasts: 8000, zone }];
        case "lost":
            return [{ kind: "lostServers", at: 10_000, share: 0.14 }];
        case "burst":
            return [{ kind: "burst", at: 10_000, lasts: 5000, factor: 1.7 }];
        default:
            throw new Error(`unknown trouble ${name}; see --help`);
    }
}

function mean(values: readonly number[]): number {
    return values.reduce((sum, value) => sum + value, 0) / values.length;
}

function main(): void {
    const deployment = sites[cli.flags.site];
    if (deployment === undefined) {
        process.stderr.write(`unknown site ${cli.flags.site}; one of ${Object.keys(sites).join(", ")}\n`);
        process.exitCode = 2;
        return;
    }
    const named = cli.flags.named === "zone" ? "zone" : "region";
    const loads = cli.flags.loads.split(",").map(Number);
    const troubles = troublesOf(cli.flags.trouble, deployment);
    process.stdout.write("policy          load  worth  worst zone   warm  refused  retries  zones MB  regions MB\n");
    for (const policy of policyNames) {
        for (const load of loads) {
            const days = Array.from(
                { length: cli.flags.seeds },
                (_, seed) =>
                    runEmulation({
                        deployment,
                        policy,
                        seed: seed + 1,
                        duration: dayLength,
                        load,
                        faults: troubles,
                        lookupScope: named,
                    }),
            );
            const worth = mean(days.map(day => day.worth));
            printRow(policy, load, worth, days);
        }
    }
}

function printRow(policy: PolicyName, load: number, worth: number, days: readonly EmulationResult[]): void {
    const columns = [
        policy.padEnd(14),
        load.toFixed(2).padStart(5),
        worth.toFixed(3).padStart(6),
        mean(days.map(day => day.worstZoneWorth)).toFixed(3).padStart(11),
        mean(days.map(day => day.warmShare)).toFixed(3).padStart(6),
        mean(days.map(day => day.refused / day.requestCount)).toFixed(3).padStart(8),
        mean(days.map(day => day.retries)).toFixed(0).padStart(8),
        mean(days.map(day => day.crossZoneMegabytes)).toFixed(0).padStart(9),
        mean(days.map(day => day.crossRegionMegabytes)).toFixed(0).padStart(11),
    ];
    process.stdout.write(`${columns.join(" ")}\n`);
}

const dayLength = milliseconds(32_000);

main();

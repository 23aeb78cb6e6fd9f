/**
 * `npm run experiment`: emulates a deployment with several seeds, compares the policies that choose a server, and
 * prints a table with a row for each policy and load.
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
  Compares policies that choose a server, over several emulations each.

  Usage
    $ npm run experiment -- [--site pedala|kodeyard|tsereteli|pedala-now|odyn] [--named zone|region] [--seeds 10] [--loads 0.6,1,1.3] [--trouble none|slow|closed|lost|burst]

  Options
    --site     the deployment (pedala)
    --seeds    emulations for each policy and load (10)
    --loads    factors on the deployment's request rates (0.6,1,1.3)
    --named    whether lookups return the boxes of the caller's zone or region (region)
    --trouble  fault that begins after 10 s (none)
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

function faultsOf(name: string, deployment: EmulatedDeployment): EmulatedFault[] {
    const [zone] = Object.keys(deployment.zones);
    switch (name) {
        case "none":
            return [];
        case "slow":
            return [{ kind: "slowServers", at: 10_000, duration: 8000, share: 0.16, factor: 5 }];
        case "closed":
            return [{ kind: "closedZone", at: 10_000, duration: 8000, zone }];
        case "lost":
            return [{ kind: "lostServers", at: 10_000, share: 0.14 }];
        case "burst":
            return [{ kind: "burst", at: 10_000, duration: 5000, factor: 1.7 }];
        default:
            throw new Error(`unknown value ${name} of --trouble; see --help`);
    }
}

function mean(values: readonly number[]): number {
    return values.reduce((sum, value) => sum + value, 0) / values.length;
}

function main(): void {
    const deployment = sites[cli.flags.site];
    if (deployment === undefined) {
        process.stderr.write(
            `unknown value ${cli.flags.site} of --site; use one of ${Object.keys(sites).join(", ")}\n`,
        );
        process.exitCode = 2;
        return;
    }
    const lookupScope = cli.flags.named === "zone" ? "zone" : "region";
    const loads = cli.flags.loads.split(",").map(Number);
    const faults = faultsOf(cli.flags.trouble, deployment);
    process.stdout.write("policy          load  worth  worst zone   warm  refused  retries  zones MB  regions MB\n");
    for (const policy of policyNames) {
        for (const load of loads) {
            const results = Array.from(
                { length: cli.flags.seeds },
                (_, seed) =>
                    runEmulation({
                        deployment,
                        policy,
                        seed: seed + 1,
                        duration: dayDuration,
                        load,
                        faults,
                        lookupScope,
                    }),
            );
            const worth = mean(results.map(result => result.worth));
            printRow(policy, load, worth, results);
        }
    }
}

function printRow(policy: PolicyName, load: number, worth: number, results: readonly EmulationResult[]): void {
    const columns = [
        policy.padEnd(14),
        load.toFixed(2).padStart(5),
        worth.toFixed(3).padStart(6),
        mean(results.map(result => result.worstZoneWorth)).toFixed(3).padStart(11),
        mean(results.map(result => result.warmShare)).toFixed(3).padStart(6),
        mean(results.map(result => result.refused / result.requestCount)).toFixed(3).padStart(8),
        mean(results.map(result => result.retries)).toFixed(0).padStart(8),
        mean(results.map(result => result.crossZoneMegabytes)).toFixed(0).padStart(9),
        mean(results.map(result => result.crossRegionMegabytes)).toFixed(0).padStart(11),
    ];
    process.stdout.write(`${columns.join(" ")}\n`);
}

const dayDuration = milliseconds(32_000);

main();

/**
 * Backend choice: round robin, power of two choices, and the candidate set by
 * predicted deadline, over the same arrivals at the same servers.
 */

import {
    type ChoicePolicy,
    createManualClock,
    createSeededRandom,
    createServerPool,
    defaultValues,
    serverId,
    type ServerMember,
    serviceId,
} from "@chalkdale/core";
import { createFakeServers } from "../session/fake-servers.js";
import type { Report } from "./report.js";

const policies: readonly ChoicePolicy[] = ["roundRobin", "twoChoices", "deadlineSet"];
const boxes = 3;
const serverCount = 12;
const slots = 6;
const workTime = 20;
const deadline = 200;
const duration = 60_000;
const probeInterval = 1000;

interface Scenario {
    readonly name: string;
    /** Part of the servers' capacity that arrives. */
    readonly load: number;
    /** Servers that work this many times as long. */
    readonly slowServers: number;
    readonly slowFactor: number;
    /** Extra milliseconds while caches are cold. */
    readonly coldExtra: number;
}

const scenarios: readonly Scenario[] = [
    { name: "even", load: 0.7, slowServers: 0, slowFactor: 1, coldExtra: 0 },
    { name: "two-slow", load: 0.7, slowServers: 2, slowFactor: 4, coldExtra: 0 },
    { name: "cold", load: 0.7, slowServers: 0, slowFactor: 1, coldExtra: 150 },
    { name: "overload", load: 1.2, slowServers: 0, slowFactor: 1, coldExtra: 0 },
];

/** Measures each policy in each scenario. */
export function measureBackendChoice(report: Report): void {
    for (const scenario of scenarios) {
        for (const policy of policies) {
            const result = run(policy, scenario);
            const name = `choice.${scenario.name}.${policy}`;
            report(`${name}.p50`, percentile(result.latencies, 50), "ms");
            report(`${name}.p99`, percentile(result.latencies, 99), "ms");
            report(`${name}.late`, result.late / result.asked, "share");
            report(`${name}.refused`, result.refused / result.asked, "share");
        }
    }
}

function run(policy: ChoicePolicy, scenario: Scenario) {
    const clock = createManualClock(10_000);
    const random = createSeededRandom(77);
    const members: ServerMember[] = Array.from({ length: serverCount }, (_, index) => ({
        id: serverId(`server-${index}`),
        service: serviceId("search"),
        address: "10.0.0.1",
        port: index,
        state: "live",
    }));
    const servers = createFakeServers(clock.now, members, workTime);
    servers.all().forEach((server, index) => {
        server.workTime = index < scenario.slowServers ? workTime * scenario.slowFactor : workTime;
        server.coldExtra = scenario.coldExtra;
        server.slots = slots;
    });
    const values = { ...defaultValues, slots, slowStart: 0 };
    const pools = Array.from({ length: boxes }, () => createServerPool({ policy, random, values: () => values }));
    pools.forEach(pool => pool.applyMembers(members, clock.now()));
    const capacity = serverCount * slots / (workTime + 1);
    const latencies: number[] = [];
    let late = 0;
    let refused = 0;
    let asked = 0;
    let next = 0;
    for (let time = 0; time < duration; time++) {
        clock.advance(1);
        servers.step();
        if (time % probeInterval === 0) {
            members.forEach(member => pools.forEach(pool => pool.applyProbe(servers.probe(member), clock.now())));
        }
        for (; next <= time; next -= Math.log(1 - random()) / (capacity * scenario.load)) {
            ask(pools[asked++ % boxes]);
        }
    }
    return { latencies, late, refused, asked };

    function ask(pool: ReturnType<typeof createServerPool>): void {
        const chosen = pool.choose(clock.now(), deadline, []);
        if (chosen.err) {
            refused++;
            return;
        }
        const { id } = chosen.val;
        servers.run(id, undefined, outcome => {
            pool.settle(id, outcome, clock.now());
            if (outcome.kind === "answered") {
                latencies.push(outcome.latency);
                late += outcome.latency > deadline ? 1 : 0;
                return;
            }
            refused++;
        });
    }
}

function percentile(values: number[], percent: number): number {
    values.sort((a, b) => a - b);
    return values[Math.min(values.length - 1, Math.floor(values.length * percent / 100))] ?? 0;
}

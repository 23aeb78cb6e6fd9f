/**
 * Scripted days of both deployments, compressed: load follows the sun, one
 * availability zone is drained, a region is lost at the morning rush, and
 * caches are cold. The prices of the settings against "nearest region".
 */

import { latencyBetween, type NodeValues, type SettingsDocument } from "@chalkdale/core";
import { countBy, type LoadStream, runLoad } from "../session/load.js";
import { createSession, type Session, type SessionFleet, type SessionResult } from "../session/session.js";
import { type ExampleName, exampleTree, withValues } from "../session/trees.js";
import type { Report } from "./report.js";

/** One day of the sun in milliseconds of the session. */
const dayLength = 120_000;
const startUp = 8000;
/** Compressed like the day: the cap of the examples is for real minutes. */
const shiftCap = 2;

interface Deployment {
    readonly name: ExampleName;
    readonly fleets: readonly SessionFleet[];
    readonly service: string;
    readonly workTime: number;
    /** Requests per second of a region at its busiest and at its quietest. */
    readonly peak: number;
    readonly low: number;
    readonly capacity: number;
}

const deployments: readonly Deployment[] = [
    {
        name: "pedala",
        fleets: [{ service: "profil-api", count: 25 }, { service: "tura-depot", count: 12 }],
        service: "profil-api",
        workTime: 40,
        peak: 150,
        low: 15,
        capacity: 120,
    },
    {
        name: "kodeyard",
        fleets: [{ service: "search-api", count: 25 }, { service: "archive-svc", count: 12 }],
        service: "search-api",
        workTime: 30,
        peak: 100,
        low: 10,
        capacity: 80,
    },
];

/** The policy measured, and the plain one: always the nearest region. */
const policies: Readonly<Record<string, NodeValues>> = {
    prices: {},
    nearest: { latencyPrice: 1e6, headroomPrice: 0, coldPrice: 0 },
};

type Event = "sun" | "drain" | "region-lost";

/** Measures each day with each policy. */
export async function measureDays(report: Report): Promise<void> {
    for (const deployment of deployments) {
        for (const event of ["sun", "drain", "region-lost"] as const) {
            for (const [policy, values] of Object.entries(policies)) {
                await measureDay(
                    deployment,
                    event,
                    values,
                    (name, value, unit) => report(`day.${deployment.name}.${event}.${policy}.${name}`, value, unit),
                );
            }
        }
    }
}

async function measureDay(deployment: Deployment, event: Event, values: NodeValues, report: Report): Promise<void> {
    const document = treeOf(deployment, values);
    const session = createSession({ document, fleets: deployment.fleets, workTime: deployment.workTime });
    session.servers.all().forEach(server => {
        server.coldExtra = deployment.workTime;
    });
    await session.advance(startUp);
    const streams = streamsOf(session, deployment);
    const results = [...await runLoad(session, streams, dayLength / 3)];
    const region = session.boxes[0].region;
    const drain = startEvent(session, event, region);
    results.push(...await runLoad(session, streams, dayLength * 2 / 3));
    await session.advance(2000);
    reportResults(session, document, results, report);
    if (event === "drain") {
        report("drain-time", (lastServedAt(results, drain.zone) - drain.at) / 1000, "s");
    }
    await session.end();
}

function startEvent(session: Session, event: Event, region: string): { zone: string; at: number; } {
    const zone = session.boxes[0].zone;
    switch (event) {
        case "sun":
            break;
        case "drain":
            session.editSettings(document => withValues(document, `/regions/${region}/${zone}`, { drain: true }));
            break;
        case "region-lost":
            session.servers.all()
                .filter(server =>
                    session.boxes.some(box => box.region === region && isIn(server.member.id, box.zone, session))
                )
                .forEach(server => {
                    server.up = false;
                });
            break;
    }
    return { zone, at: session.clock.now() };
}

function isIn(server: string, zone: string, session: Session): boolean {
    const list = session.store.read(`config/members/${zone}`)?.value as { servers: { id: string; }[]; };
    return list.servers.some(({ id }) => id === server);
}

function treeOf(deployment: Deployment, values: NodeValues): SettingsDocument {
    const example = exampleTree(deployment.name);
    const regions = Object.keys(example.nodes).filter(path => /^\/regions\/[^/]+$/.test(path));
    const root = withValues(example, "/", { shiftCap, isolationTime: 4, leaseTime: 3, warmUp: 10, ...values });
    return regions.reduce(
        (document, path) => withValues(document, path, { capacity: deployment.capacity, linkLimit: 200 }),
        root,
    );
}

function streamsOf(session: Session, deployment: Deployment): LoadStream[] {
    const regions = [...new Set(session.boxes.map(box => box.region))];
    const document = exampleTree(deployment.name);
    return regions.map((region, index) => ({
        service: deployment.service,
        caller: (document.nodes[`/regions/${region}`].clientBlocks ?? [""])[0].replace("0.0/16", "0.1"),
        boxes: session.boxes.filter(box => box.region === region).map(box => box.id),
        rate: now => {
            const phase = (now - startUp) / dayLength - index / regions.length;
            const sun = Math.max(0, Math.cos(2 * Math.PI * phase));
            return deployment.low + (deployment.peak - deployment.low) * sun;
        },
    }));
}

function reportResults(
    session: Session,
    document: SettingsDocument,
    results: readonly SessionResult[],
    report: Report,
): void {
    const settings = session.boxes[0].router!.settings()!;
    const latencies = results.filter(result => result.kind === "answered").map(result => {
        const from = session.box(result.request.box).region;
        const to = settings.zones.find(zone => zone.id === result.zone)!.region;
        const origin = settings.regions.find(region => region.id === from)!;
        return result.endedAt - result.startedAt + 2 * latencyBetween(origin, to);
    }).sort((a, b) => a - b);
    const refused = results.filter(result => result.ran === "not-run").length;
    const late = latencies.filter(latency => latency > settings.root.latencyObjective).length;
    report("p50", latencies[Math.floor(latencies.length * 0.5)], "ms");
    report("p99", latencies[Math.floor(latencies.length * 0.99)], "ms");
    report("least-headroom", leastHeadroom(session, document, results), "share");
    report("refused", refused / results.length, "share");
    const kinds = countBy(results.filter(result => result.ran === "not-run"), result => result.kind);
    kinds.split(",").filter(text => text !== "").forEach(text => {
        const [kind, count] = text.split(":");
        report(`refused.${kind}`, Number(count) / results.length, "share");
    });
    report("late", late / results.length, "share");
}

/** The smallest part of a region's capacity that was left over 5 s. */
function leastHeadroom(session: Session, document: SettingsDocument, results: readonly SessionResult[]): number {
    const bucket = 5000;
    const counts = new Map<string, number>();
    for (const result of results) {
        const region = session.boxes.find(box => box.zone === result.zone)?.region;
        if (region !== undefined) {
            const key = `${region} ${Math.floor(result.startedAt / bucket)}`;
            counts.set(key, (counts.get(key) ?? 0) + 1);
        }
    }
    const used = [...counts].map(([key, count]) => {
        const capacity = document.nodes[`/regions/${key.split(" ")[0]}`].capacity ?? 1;
        return count / (bucket / 1000) / capacity;
    });
    return 1 - Math.max(...used);
}

function lastServedAt(results: readonly SessionResult[], zone: string): number {
    return Math.max(...results.filter(result => result.zone === zone).map(result => result.startedAt));
}

/**
 * The program `chalkdale-entry`: takes callers' look-ups and requests on one box.
 */

import { createHttpProbe } from "@chalkdale/agent";
import { boxId, createRouter, createTicketBook, regionId, zoneId } from "@chalkdale/core";
import { createConnectNetwork } from "@chalkdale/peer";
import { type DaemonContext, every, newIncarnation, runDaemon, systemClock } from "@chalkdale/runtime";
import { type BoxSettings, readDaemonSettings } from "@chalkdale/settings";
import { randomBytes } from "node:crypto";
import { serveCallers } from "./callers-server.js";
import { createMetrics } from "./metrics.js";
import { serveEntryOperators } from "./operators-server.js";
import { drainBox } from "./planned-stop.js";
import { createServerConnections } from "./server-connections.js";
import { createStateClient } from "./state-client.js";

const stepInterval = 100;
const ticketKeyBytes = 32;

async function run({ settings, log: parentLog, stop }: DaemonContext<BoxSettings>): Promise<void> {
    const log = parentLog.child({ box: settings.box });
    const owner = new AbortController();
    const supersededBy = new AbortController();
    const incarnation = newIncarnation();
    const clock = systemClock;
    const box = boxId(settings.box);
    const tickets = createTicketBook({ box, incarnation, key: randomBytes(ticketKeyBytes), clock });
    const router = createRouter({ presence: presenceOf(settings, incarnation), clock, random: Math.random, tickets });
    const metrics = createMetrics();
    const client = createStateClient({
        self: { box, incarnation, zone: settings.zone, region: settings.region },
        router,
        agent: settings.peers,
        seeds: settings.seeds,
        network: createConnectNetwork(),
        probe: createHttpProbe(owner.signal),
        clock,
        log,
        signal: owner.signal,
        onSuperseded: () => supersededBy.abort(),
    });
    const connections = createServerConnections(owner.signal);
    await serveEntryOperators(settings.operators.entry, router, metrics, owner.signal);
    await serveCallers(settings.callers, { router, metrics, log, clock, connections, box, signal: owner.signal });
    log.info("started", { incarnation, callers: `${settings.callers.address}:${settings.callers.port}` });
    const steps = every(stepInterval, owner.signal).observe(() => client.step());
    await aborted(AbortSignal.any([stop, supersededBy.signal]));
    await drainBox({ router, clock, log, announce: client.publish, signal: owner.signal });
    owner.abort();
    await steps;
}

function presenceOf(settings: BoxSettings, incarnation: ReturnType<typeof newIncarnation>) {
    return {
        box: boxId(settings.box),
        incarnation,
        region: regionId(settings.region),
        zone: zoneId(settings.zone),
        address: settings.callers.address,
        port: settings.callers.port,
        peerPort: settings.peers.port,
    };
}

function aborted(signal: AbortSignal): Promise<void> {
    return new Promise(resolve => {
        if (signal.aborted) {
            resolve();
            return;
        }
        signal.addEventListener("abort", () => resolve(), { once: true });
    });
}

await runDaemon(
    {
        name: "chalkdale-entry",
        version: "0.1.0",
        summary: "Takes callers' look-ups and requests on one box.",
        readSettings: readDaemonSettings,
        run,
    },
    import.meta,
);

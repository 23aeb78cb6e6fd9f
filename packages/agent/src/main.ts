/**
 * The program `chalkdale-agent`: one on each box, for all that boxes share.
 */

import { boxId, zoneId } from "@chalkdale/core";
import { createConnectNetwork, servePeers } from "@chalkdale/peer";
import { createHttpPlatform } from "@chalkdale/platform";
import { type DaemonContext, every, newIncarnation, runDaemon, systemClock, urlOf } from "@chalkdale/runtime";
import { type BoxSettings, readDaemonSettings } from "@chalkdale/settings";
import { type Agent, createAgent } from "./agent.js";
import { createHttpProbe } from "./http-probe.js";
import { serveAgentOperators } from "./operators-server.js";

const stepInterval = 200;
const releaseTimeout = 2000;

async function run({ settings, log, stop }: DaemonContext<BoxSettings>): Promise<void> {
    const owner = new AbortController();
    const agent = createAgentOf(settings, log, owner.signal);
    await servePeers(settings.peers, agent.handlers, owner.signal);
    await serveAgentOperators(settings.operators.agent, agent, owner.signal);
    log.info("started", { box: settings.box, peers: `${settings.peers.address}:${settings.peers.port}` });
    await every(stepInterval, stop).observe(() => agent.step());
    await agent.release(AbortSignal.timeout(releaseTimeout));
    owner.abort();
}

function createAgentOf(settings: BoxSettings, log: DaemonContext<BoxSettings>["log"], signal: AbortSignal): Agent {
    return createAgent({
        self: {
            box: boxId(settings.box),
            zone: zoneId(settings.zone),
            region: settings.region,
            peer: settings.peers,
        },
        incarnation: newIncarnation(),
        seeds: settings.seeds,
        platform: createHttpPlatform(urlOf(settings.platform), signal),
        network: createConnectNetwork(),
        probe: createHttpProbe(signal),
        clock: systemClock,
        log: log.child({ box: settings.box }),
        signal,
    });
}

await runDaemon(
    {
        name: "chalkdale-agent",
        version: "0.1.0",
        summary: "Shares state between the boxes of a deployment and the platform.",
        readSettings: readDaemonSettings,
        run,
    },
    import.meta,
);

/**
 * The routers and state clients of many boxes in one process, without
 * callers, so that many agents can be measured on one machine:
 * `entries-process BOX-FILE ...`.
 */

import { boxId, createRouter, createTicketBook, regionId, zoneId } from "@chalkdale/core";
import { createStateClient } from "@chalkdale/entry";
import { createConnectNetwork } from "@chalkdale/peer";
import { every, newIncarnation, silentLog, systemClock } from "@chalkdale/runtime";
import { type BoxSettings, readDaemonSettings } from "@chalkdale/settings";

const stepInterval = 200;
const stop = new AbortController();
const network = createConnectNetwork();

function startClient(settings: BoxSettings) {
    const incarnation = newIncarnation();
    const box = boxId(settings.box);
    const router = createRouter({
        presence: {
            box,
            incarnation,
            region: regionId(settings.region),
            zone: zoneId(settings.zone),
            address: settings.callers.address,
            port: settings.callers.port,
            peerPort: settings.peers.port,
        },
        clock: systemClock,
        random: Math.random,
        tickets: createTicketBook({ box, incarnation, key: Buffer.from(incarnation), clock: systemClock }),
    });
    return createStateClient({
        self: { box, incarnation, zone: settings.zone, region: settings.region },
        router,
        agent: settings.peers,
        seeds: [],
        network,
        probe: async server => ({ server: server.id, ready: true, leaving: false, inUse: 0, queued: 0, age: 0 }),
        clock: systemClock,
        log: silentLog,
        signal: stop.signal,
        onSuperseded: () => undefined,
    });
}

const clients: ReturnType<typeof startClient>[] = [];
for (const file of process.argv.slice(2)) {
    const read = await readDaemonSettings(file);
    if (read.ok) {
        clients.push(startClient(read.settings));
    }
}
process.once("SIGTERM", () => {
    stop.abort();
    process.exit(0);
});
await every(stepInterval, stop.signal).observe(() => clients.forEach(client => client.step()));

/**
 * The agent of one box: all that is shared with other boxes and the platform.
 *
 * It holds soft state only. When it dies the box's entry program goes on with
 * what it has and subscribes to another box's agent; a new agent learns
 * everything anew from the platform or from any peer.
 */

import { type Clock, type OriginTraffic, regionId, summariseZone, sumUpTraffic } from "@chalkdale/core";
import {
    createPeerSubscriptions,
    type PeerHandlers,
    type PeerIdentity,
    type PeerNetwork,
    type PeerRecord,
    recordKeys,
    type SubscriptionScope,
    type SubscriptionTarget,
} from "@chalkdale/peer";
import { objectKeys, type Platform } from "@chalkdale/platform";
import { type Address, createTask, type Log, type Stepped, type TaskOptions } from "@chalkdale/runtime";
import { createClaims } from "./claims.js";
import { createContact } from "./contact.js";
import { createPlatformFeed } from "./platform-feed.js";
import { probeAll, type ProbeServer, serversToProbe } from "./prober.js";
import { createRecordHub } from "./record-hub.js";
import { createSettingsReader } from "./settings-reader.js";
import { createTopology, type ReachableBox } from "./topology.js";

/** What an agent is made of. */
export interface AgentOptions {
    readonly self: ReachableBox & { readonly region: string; };
    readonly incarnation: string;
    /** Agents to try while no box is known. */
    readonly seeds: readonly Address[];
    readonly platform: Platform;
    readonly network: PeerNetwork;
    readonly probe: ProbeServer;
    readonly clock: Clock;
    readonly log: Log;
    readonly signal: AbortSignal;
}

/** A running agent. */
export interface Agent extends Stepped {
    readonly handlers: PeerHandlers;
    readonly status: () => AgentStatus;
    /** Gives back what others may wait for. */
    readonly release: (signal: AbortSignal) => Promise<void>;
}

/** The agent's state for people. */
export interface AgentStatus {
    readonly settingsVersion: number | undefined;
    readonly isRelay: boolean;
    readonly subscribers: number;
    readonly sources: readonly string[];
    readonly platformSilence: number;
    readonly records: readonly { readonly key: string; readonly sequence: number; readonly age: number; }[];
}

const publishInterval = 1000;
const summaryInterval = 2000;
const sharesInterval = 10_000;
/** A relay is heard when it was within this many milliseconds. */
const relaySilence = 3000;
const writeTimeout = 2000;
/** Seeds are tried while no box was heard for this many milliseconds. */
const seedPatience = 5000;

/** Creates an agent; it does something only when stepped. */
export function createAgent(options: AgentOptions): Agent {
    const { self, clock, log, signal, platform } = options;
    const identity: PeerIdentity = { box: self.box, incarnation: options.incarnation };
    const ownSummary = recordKeys.summary(self.zone, `${self.box}/${options.incarnation}`);
    const ownProbes = recordKeys.probes(self.box, options.incarnation);
    const publishedHere = new Set<string>([ownSummary, ownProbes]);
    const hub = createRecordHub(clock, key => publishedHere.has(key));
    const contact = createContact(clock);
    /** Entry programs of this box of which a relay knows a newer one. */
    const superseded = new Set<string>();
    const topology = createTopology({ self, hub, clock, relaysPerZone: () => ownValues().relaysPerZone });
    const settingsReader = createSettingsReader(log);
    const subscriptions = createPeerSubscriptions({ ...options, self: identity, targets, onRecords });
    const feed = createPlatformFeed({
        ...options,
        onRecords,
        onContact: contact.note,
        isRelay: () => topology.subscriptions().isRelay,
        hearsRelays: () => subscriptions.hears(relaySilence),
    });
    const claims = createClaims({
        ...options,
        contact,
        isSuperseded: (box, incarnation) => superseded.has(incarnation) || newestOfBox(box) > incarnation,
    });
    const tasks: Stepped[] = [
        feed,
        subscriptions,
        claims,
        hub,
        createTask(every(publishInterval), publishStatus),
        createTask(every(summaryInterval), publishSummary),
        createTask({ ...every(0), interval: () => ownValues().probeInterval * 1000 }, publishProbes),
        createTask(every(sharesInterval), writeShares),
    ];

    return {
        handlers: {
            subscribe: (_, scope, caller) => hub.subscribe(scope, AbortSignal.any([caller, signal])),
            publish(sender, records) {
                records.forEach(({ key }) => publishedHere.add(key));
                hub.merge(records);
                return { superseded: newestOfBox(sender.box) > ownEntryOf(records, sender) };
            },
            claim: claims.answer,
        },
        step() {
            tasks.forEach(task => task.step());
            forgetOldPublications();
        },
        status,
        release: claims.release,
    };

    function onRecords(records: readonly PeerRecord[]): void {
        const sound = records.filter(record => record.payload.kind !== "settings" || settingsReader.isSound(record));
        const settings = hub.merge(sound).find(record => record.payload.kind === "settings");
        if (settings !== undefined) {
            log.info("settings.received", { version: settings.sequence });
        }
    }

    function forgetOldPublications(): void {
        for (const key of publishedHere) {
            if (key !== ownSummary && key !== ownProbes && hub.get(key) === undefined) {
                publishedHere.delete(key);
            }
        }
    }

    function every(interval: number): TaskOptions {
        const onFailure = (error: unknown) => log.warn("task.failed", { reason: String(error) });
        return { clock, interval: () => interval, signal, onFailure };
    }

    function ownValues() {
        return settingsReader.valuesOf(hub.get(recordKeys.settings));
    }

    function targets(): readonly SubscriptionTarget[] {
        const { sources, isRelay } = topology.subscriptions();
        const scope: SubscriptionScope = isRelay ? "own" : "all";
        const known: SubscriptionTarget[] = topology.boxes()
            .filter(box => sources.includes(box.box))
            .map(box => ({ name: box.box, address: box.peer, scope }));
        if (known.length > 0 && subscriptions.hears(seedPatience)) {
            return known;
        }
        return [...known, ...options.seeds.map(seedTarget)];
    }

    function ownStatuses(): readonly PeerRecord[] {
        return hub.list(`${recordKeys.statusPrefix}${self.box}/`);
    }

    /** Returns the newest entry program known of a box, or an empty text. */
    function newestOfBox(box: string): string {
        return hub.list(`${recordKeys.statusPrefix}${box}/`)
            .map(record => record.key.slice(record.key.lastIndexOf("/") + 1))
            .reduce((newest, incarnation) => incarnation > newest ? incarnation : newest, "");
    }

    /** Sends the status of this box's entry program and its probes to the relays; their answers prove contact. */
    async function publishStatus(caller: AbortSignal): Promise<void> {
        const probes = topology.subscriptions().isRelay ? undefined : hub.get(ownProbes);
        const records = [...ownStatuses(), ...(probes === undefined ? [] : [probes])];
        await Promise.all(
            topology.reportTargets().map(async target => {
                const connection = subscriptions.connection(target.box);
                const sentAt = clock();
                const answer = await connection?.publish(identity, records, caller).catch(() => undefined);
                if (answer === undefined) {
                    return;
                }
                contact.note(sentAt);
                if (answer.superseded) {
                    superseded.add(newestOf(records));
                }
            }),
        );
    }

    /** As a relay: sums up the boxes of the zone. Without any it says so, or others would go by the list. */
    async function publishSummary(): Promise<void> {
        if (!topology.subscriptions().isRelay) {
            return;
        }
        const summary = summariseZone(regionId(self.region), self.zone, newestStatuses());
        hub.merge([{
            key: ownSummary,
            sequence: sequenceNow(),
            age: 0,
            payload: { kind: "summary", summary },
        }]);
    }

    /** The status of each box of the zone; of two processes of one box the newer. */
    function newestStatuses() {
        const newest = new Map<string, { incarnation: string; record: PeerRecord; }>();
        for (const record of hub.list(recordKeys.statusPrefix)) {
            if (record.payload.kind !== "status" || record.payload.status.presence.zone !== self.zone) {
                continue;
            }
            const { box, incarnation } = record.payload.status.presence;
            if ((newest.get(box)?.incarnation ?? "") < incarnation) {
                newest.set(box, { incarnation, record });
            }
        }
        return [...newest.values()].flatMap(({ record }) =>
            record.payload.kind === "status" ? [record.payload.status] : []
        );
    }

    function sequenceNow(): number {
        return Math.floor(clock()) + 1;
    }

    async function publishProbes(caller: AbortSignal): Promise<void> {
        const servers = serversToProbe(self, topology.boxes(), topology.lists());
        if (servers.length === 0) {
            return;
        }
        const results = await probeAll(servers, options.probe, clock, caller);
        hub.merge([{
            key: ownProbes,
            sequence: sequenceNow(),
            age: 0,
            payload: { kind: "probes", results },
        }]);
    }

    /** One box of the deployment writes the shares down, for the case that all boxes are replaced at once. */
    async function writeShares(caller: AbortSignal): Promise<void> {
        const first = topology.boxes()[0];
        const traffic = sharesNow();
        if (first.box !== self.box || traffic.length === 0) {
            return;
        }
        const call = { timeout: writeTimeout, signal: caller };
        const read = await platform.get(objectKeys.lastShares, call);
        if (read.kind === "absent") {
            await platform.create(objectKeys.lastShares, { traffic }, call);
        }
        if (read.kind === "done") {
            await platform.update(objectKeys.lastShares, read.value.version, { traffic }, call);
        }
    }

    function sharesNow(): readonly OriginTraffic[] {
        const summaries = hub.list(recordKeys.summaryPrefix);
        return sumUpTraffic(
            summaries.flatMap(({ payload }) => payload.kind === "summary" ? payload.summary.traffic : []),
        );
    }

    function status(): AgentStatus {
        const { isRelay, sources } = topology.subscriptions();
        return {
            settingsVersion: hub.get(recordKeys.settings)?.sequence,
            isRelay,
            subscribers: hub.subscriberCount(),
            sources,
            platformSilence: feed.silence(),
            records: hub.list("").map(({ key, sequence, age }) => ({ key, sequence, age })),
        };
    }
}

function seedTarget(address: Address): SubscriptionTarget {
    return { name: `${address.address}:${address.port}`, address, scope: "all" };
}

/** Returns the incarnation of the entry program whose status is among the records. */
function newestOf(records: readonly PeerRecord[]): string {
    return records
        .filter(record => record.payload.kind === "status")
        .map(record => record.key.slice(record.key.lastIndexOf("/") + 1))
        .reduce((newest, incarnation) => incarnation > newest ? incarnation : newest, "");
}

function ownEntryOf(records: readonly PeerRecord[], sender: PeerIdentity): string {
    const own = records.filter(record => record.key.startsWith(`${recordKeys.statusPrefix}${sender.box}/`));
    return own.length === 0 ? "\uffff" : newestOf(own);
}

/**
 * Brings shared state into the router and tells the agents what this box
 * does. The box's own agent is asked first, and others while it is silent.
 */

import {
    type Clock,
    compileSettings,
    createRecordCache,
    type Milliseconds,
    milliseconds,
    objectVersion,
    type Router,
} from "@chalkdale/core";
import {
    createPeerSubscriptions,
    type Payload,
    type PeerConnection,
    type PeerIdentity,
    type PeerNetwork,
    type PeerRecord,
    recordKeys,
    type SubscriptionTarget,
} from "@chalkdale/peer";
import { type Address, createTask, type Log, type Stepped } from "@chalkdale/runtime";
import { checkJsonDocument } from "@chalkdale/settings";

/** How a probe of the entry program's own is made. */
export type OwnProbe = (server: ReturnType<Router["wantProbes"]>[number], signal: AbortSignal) => Promise<
    Parameters<Router["applyProbe"]>[0]
>;

export interface StateClientOptions {
    readonly self: PeerIdentity & { readonly zone: string; readonly region: string; };
    readonly router: Router;
    readonly agent: Address;
    readonly seeds: readonly Address[];
    readonly network: PeerNetwork;
    readonly probe: OwnProbe;
    readonly clock: Clock;
    readonly log: Log;
    readonly signal: AbortSignal;
    /** Called once when a newer process of this box is known. */
    readonly onSuperseded: () => void;
}

/** The exchange of state with agents. */
export interface StateClient extends Stepped {
    /** Tells an agent the box's status now. */
    readonly publish: () => Promise<void>;
}

const tickInterval = 250;
const reportInterval = 1000;
const probeInterval = 500;
/** Probes of the box's own that run at once. */
const mostOwnProbes = 16;
const ownAgentName = "own agent";
/** The own agent counts as lost after this many milliseconds. */
const agentSilence = 3000;
/** Other agents that are asked while the own one is lost. */
const mostFallbacks = 2;
/** The floor is taken this many isolation times after the start: what an earlier process of the box may still use has ended. */
const floorMargin = 1.25;

/** Creates the exchange; it does something only when stepped. */
export function createStateClient(options: StateClientOptions): StateClient {
    const { router, clock, log, signal } = options;
    const startedAt = clock();
    const cache = createRecordCache<Payload>(() => ({ lifetime: undefined }));
    const subscriptions = createPeerSubscriptions({ ...options, targets, onRecords });
    const onFailure = (error: unknown) => log.debug("report.failed", { reason: String(error) });
    let superseded = false;
    let sequence = 0;
    const tasks: Stepped[] = [
        subscriptions,
        createTask({ clock, interval: () => tickInterval, signal, onFailure }, tick),
        createTask({ clock, interval: () => reportInterval, signal, onFailure }, publish),
        createTask({ clock, interval: () => reportInterval, signal, onFailure }, claim),
        createTask({ clock, interval: () => probeInterval, signal, onFailure }, probeStale),
    ];

    return { step: () => tasks.forEach(task => task.step()), publish };

    function targets(): readonly SubscriptionTarget[] {
        const own: SubscriptionTarget = { name: ownAgentName, address: options.agent, scope: "all" };
        const patient = clock() - startedAt < agentSilence || subscriptions.hears(agentSilence, ownAgentName);
        return patient ? [own] : [own, ...fallbacks()];
    }

    /** Other boxes' agents, those of the own zone first, then of the own region. */
    function fallbacks(): readonly SubscriptionTarget[] {
        const known = cache.list(recordKeys.membersPrefix, clock())
            .flatMap(({ payload }) => payload.kind === "members" ? [payload.list] : [])
            .sort((a, b) => distance(a) - distance(b))
            .flatMap(list => list.boxes.filter(box => box.id !== options.self.box && box.state === "live"))
            .map(box => targetOf(box.id, { address: box.address, port: box.peerPort }));
        const seeds = options.seeds.map(address => targetOf(`${address.address}:${address.port}`, address));
        return (known.length > 0 ? known : seeds).slice(0, mostFallbacks);
    }

    function distance(list: { readonly zone: string; readonly region: string; }): number {
        return (list.zone === options.self.zone ? 0 : 1) + (list.region === options.self.region ? 0 : 2);
    }

    function onRecords(records: readonly PeerRecord[]): void {
        for (const record of cache.merge(records, clock())) {
            apply(record);
        }
    }

    function apply({ payload, sequence: version, age }: PeerRecord): void {
        switch (payload.kind) {
            case "settings":
                return applySettings(payload.document, version);
            case "members":
                return router.applyMembers(payload.list);
            case "summary":
                return router.applySummary(payload.summary, age);
            case "probes":
                return payload.results.forEach(result => router.applyProbe({ ...result, age: result.age + age }));
            case "lastShares":
                return router.applyLastShares(payload.traffic);
            case "status":
                return;
        }
    }

    function applySettings(text: string, version: number): void {
        const checked = checkJsonDocument(parseJson(text));
        if (checked.err) {
            log.error("settings.refused", { version, reason: checked.val[0].expected });
            return;
        }
        router.applySettings(compileSettings(checked.val, objectVersion(version)));
        log.info("settings.inForce", { version: router.settings()?.version });
    }

    async function tick(): Promise<void> {
        for (const change of router.tick()) {
            const goal = Object.entries(change.goal).map(([zone, share]) => `${zone}:${share.toFixed(3)}`).join(",");
            log.info("plan.changed", { service: change.service, origin: change.origin, cause: change.cause, goal });
        }
    }

    /** The own agent when it is heard, else any other that is. */
    function connection(): PeerConnection | undefined {
        if (subscriptions.hears(agentSilence, ownAgentName)) {
            return subscriptions.connection(ownAgentName);
        }
        const heard = fallbacks().find(target => subscriptions.hears(agentSilence, target.name));
        return heard === undefined ? undefined : subscriptions.connection(heard.name);
    }

    async function publish(): Promise<void> {
        sequence++;
        const record: PeerRecord = {
            key: recordKeys.status(options.self.box, options.self.incarnation),
            sequence,
            age: 0,
            payload: { kind: "status", status: router.status() },
        };
        const answer = await connection()?.publish(options.self, [record], signal);
        noteSuperseded(answer?.superseded === true);
    }

    async function claim(): Promise<void> {
        const settings = router.settings();
        const agent = connection();
        if (settings === undefined || agent === undefined) {
            return;
        }
        const sentAt = clock();
        const { isolationTime, leaseTime } = settings.root;
        const answer = await agent.claim({
            box: options.self.box,
            incarnation: options.self.incarnation,
            wanted: router.wantedUnits(),
            settingsVersion: settings.version,
            pools: Object.fromEntries(settings.regions.map(region => [region.id, region.leasable])),
            leaseTime,
            isolationTime,
        }, signal);
        noteSuperseded(answer.superseded);
        router.applyRights({
            leased: { units: answer.units, until: after(sentAt, answer.leaseRemaining) },
            floorFrom: after(startedAt, isolationTime * 1000 * floorMargin),
            floorUntil: answer.superseded ? sentAt : after(sentAt, answer.floorRemaining),
        });
    }

    function noteSuperseded(now: boolean): void {
        if (now && !superseded) {
            superseded = true;
            log.warn("superseded");
            options.onSuperseded();
        }
    }

    /** Servers of which no agent has told for a while are probed from here. */
    async function probeStale(): Promise<void> {
        const stale = router.wantProbes().slice(0, mostOwnProbes);
        await Promise.all(stale.map(async server => {
            const sentAt = clock();
            const result = await options.probe(server, signal);
            router.applyProbe({ ...result, age: clock() - sentAt });
        }));
    }
}

function targetOf(name: string, address: Address): SubscriptionTarget {
    return { name, address, scope: "all" };
}

function after(start: Milliseconds, duration: number): Milliseconds {
    return milliseconds(start + duration);
}

function parseJson(text: string): unknown {
    try {
        return JSON.parse(text);
    }
    catch {
        return undefined;
    }
}

/**
 * This box's replicas of the shared state and what is derived from them: the configuration in force, the catalog of
 * servers, and which availability zones admit requests.
 *
 * Owns the replicas; the replicator keeps them up to date.
 */

import {
    type BackendServerRecord,
    closeZones,
    type Configuration,
    type ConfigurationInForce,
    createConfigurationInForce,
    createReplica,
    type CustomerTable,
    defaultLocalitySettings,
    describePosition,
    epochOf,
    type LocalitySettings,
    recordPropagationDelay,
    type Replica,
    resolveLocality,
    type RestartedServer,
    type RestoreOptions,
    retentionPolicies,
    type RolloutOrder,
    type RouteTable,
    type ServerCatalog,
    type Service,
    type SharedItems,
    type SharedKind,
} from "@chalkdale/decisions";
import type { AvailabilityZoneId, BackendServerId, Clock, Milliseconds, RegionId, ServiceId } from "@chalkdale/kernel";
import type { Log } from "@chalkdale/runtime";

/** The replicas, and look-ups in what is derived from them. */
export interface SharedState {
    readonly replica: <Kind extends SharedKind>(kind: Kind) => Replica<SharedItems[Kind]>;
    /** The newest epoch of the store that a replica has reached; undefined before the first snapshot. */
    readonly storeEpoch: () => number | undefined;
    /**
     * Drops entries whose retention is over: replicas keep them although a store that was restored from an older copy
     * no longer has them. To be called a few times a second.
     */
    readonly expireHeldEntries: () => void;
    /** The newest configuration; undefined before the first. */
    readonly inForce: () => ConfigurationInForce | undefined;
    /** Look-ups in the configuration in force; a request uses those of the one that admitted it. */
    readonly configuration: () => Configuration | undefined;
    readonly routes: () => RouteTable | undefined;
    readonly keys: () => CustomerTable | undefined;
    readonly service: (id: ServiceId) => Service | undefined;
    /** True unless the zone is closed. */
    readonly admitsZone: (zone: AvailabilityZoneId) => boolean;
    /** How often known servers have turned cold by their records, since the start of the box. */
    readonly coldStarts: () => number;
    /** True once the replicas that every request needs have a snapshot. */
    readonly isComplete: () => boolean;
}

/** What the shared state depends on, and its listeners. */
export interface SharedStateOptions {
    readonly clock: Clock;
    readonly log: Log;
    readonly catalog: ServerCatalog;
    readonly regionOfZone: ReadonlyMap<AvailabilityZoneId, RegionId>;
    /**
     * Time since the store confirmed the replica of a kind. While a change is applied: since the previous confirmation.
     */
    readonly confirmedAge: (kind: SharedKind) => Milliseconds;
    /** Describes the latest requests to a server, for the log line written when it leaves. */
    readonly describeRecentSends: (server: BackendServerId) => string | undefined;
    /** Called with each server that has restarted. */
    readonly onServerRestarted: (restarted: RestartedServer) => void;
    /** Called with all roll-out orders whenever one changes. */
    readonly onRollouts: (orders: readonly RolloutOrder[]) => void;
    /** Called with each configuration that takes effect. */
    readonly onConfiguration: (configuration: Configuration) => void;
}

/** Creates the shared state with empty replicas. */
export function createSharedState(options: SharedStateOptions): SharedState {
    const { clock, log } = options;
    let inForce: ConfigurationInForce | undefined;
    let localitySettings: LocalitySettings = defaultLocalitySettings;
    /** Cached results of `admitsZone`; emptied when the locality settings change. */
    let admissionByZone = new Map<AvailabilityZoneId, boolean>();
    let closedZones: readonly AvailabilityZoneId[] = [];
    let coldStarts = 0;

    const replicas: { readonly [Kind in SharedKind]: Replica<SharedItems[Kind]>; } = {
        configuration: createReplica<Configuration>(
            () => "main",
            applyConfiguration,
            restoreOptionsOf("configuration"),
        ),
        servers: createReplica<BackendServerRecord>(record => record.id, applyServers, restoreOptionsOf("servers")),
        closedZones: createReplica<AvailabilityZoneId>(zone => zone, applyClosedZones, restoreOptionsOf("closedZones")),
        rollouts: createReplica<RolloutOrder>(order => order.service, applyRollouts, restoreOptionsOf("rollouts")),
    };

    return {
        replica: kind => replicas[kind],
        storeEpoch() {
            const revisions = Object.values(replicas).map(replica => replica.revision() ?? -1);
            const newest = Math.max(...revisions);
            return newest < 0 ? undefined : epochOf(newest);
        },
        expireHeldEntries: () => Object.values(replicas).forEach(replica => replica.expireHeldEntries()),
        inForce: () => inForce,
        configuration: () => inForce?.configuration,
        routes: () => inForce?.routes,
        keys: () => inForce?.keys,
        service: id => inForce?.service(id),
        admitsZone,
        coldStarts: () => coldStarts,
        isComplete: () =>
            inForce !== undefined
            && replicas.servers.revision() !== undefined
            && replicas.closedZones.revision() !== undefined,
    };

    function restoreOptionsOf<Kind extends SharedKind>(kind: Kind): RestoreOptions<SharedItems[Kind]> {
        return {
            clock,
            policy: retentionPolicies[kind],
            onStoreRestored: (revision, previous, heldNames) =>
                log.warn("state.restored", {
                    kind,
                    revision: describePosition(revision),
                    previous: describePosition(previous),
                    held: heldNames.slice(0, 8).join(",") || "none",
                }),
        };
    }

    function applyConfiguration(items: readonly Configuration[]): void {
        const [next] = items;
        const previous = inForce?.configuration.version;
        if (next === undefined || previous !== undefined && next.version <= previous) {
            return;
        }
        log.info("configuration.inForce", {
            version: next.version,
            previous,
            routes: next.routes.length,
            customers: next.access.kind === "customers" ? next.access.customers.length : undefined,
            at: Math.round(clock()),
        });
        inForce = createConfigurationInForce(next);
        options.onConfiguration(next);
    }

    function applyServers(records: readonly BackendServerRecord[]): void {
        const now = clock();
        const change = options.catalog.applyList(records, now);
        const { added, removed, restarted, startedDraining } = change;
        coldStarts += countColdStarts(added, now);
        const changed = added.length + removed.length + startedDraining.length + restarted.length;
        if (changed > 0) {
            log.info("servers.changed", {
                listed: records.length,
                added: added.map(record => record.id).slice(0, 8).join(","),
                removed: removed.slice(0, 8).join(","),
                draining: startedDraining.slice(0, 8).join(","),
                restarted: restarted.map(({ server }) => server.id).slice(0, 8).join(","),
                revision: describeRevision("servers"),
                unconfirmedFor: Math.round(options.confirmedAge("servers")),
            });
        }
        restarted.forEach(options.onServerRestarted);
        startedDraining.forEach(server => logLeaving(server, "draining"));
        removed.forEach(server => logLeaving(server, "unlisted"));
    }

    /** Returns the number of servers, without those that were added, that have turned cold by the list applied `at`. */
    function countColdStarts(added: readonly BackendServerRecord[], at: Milliseconds): number {
        const addedIds = new Set(added.map(record => record.id));
        return [...options.catalog.all()].filter(({ id, state }) =>
            state.coldPeriod()?.begunAt === at && !addedIds.has(id)
        ).length;
    }

    /** Writes one line per server, so that a search for the server's id finds it. */
    function logLeaving(server: BackendServerId, as: "draining" | "unlisted"): void {
        const known = options.catalog.get(server)?.state;
        log.info("server.leaving", {
            server,
            as,
            recordRevision: known && describePosition(known.record().revision),
            revision: describeRevision("servers"),
            unconfirmedFor: Math.round(options.confirmedAge("servers")),
            inFlight: known?.inFlight(),
            sends: options.describeRecentSends(server),
        });
    }

    function applyClosedZones(zones: readonly AvailabilityZoneId[]): void {
        const reopened = closedZones.filter(zone => !zones.includes(zone));
        closedZones = zones;
        onZonesReopened(new Set(reopened));
        localitySettings = closeZones(defaultLocalitySettings, zones);
        admissionByZone = new Map();
        log.info("places.changed", { closed: zones.join(",") || "none" });
    }

    /** Servers may have turned cold while they got nothing; their records arrive by another watch. */
    function onZonesReopened(zones: ReadonlySet<AvailabilityZoneId>): void {
        const now = clock();
        for (const { state } of options.catalog.all()) {
            if (zones.has(state.record().zone)) {
                state.onCold(now, recordPropagationDelay, "zoneReopened");
            }
        }
    }

    function applyRollouts(orders: readonly RolloutOrder[]): void {
        options.onRollouts(orders);
        log.info("rollouts.changed", {
            orders: orders.map(({ service, state, targetVersion }) => `${service}:${targetVersion}:${state ?? "new"}`)
                .slice(0, 8).join(",") || "none",
            revision: describeRevision("rollouts"),
        });
    }

    function describeRevision(kind: SharedKind): string | undefined {
        const revision = replicas[kind].revision();
        return revision === undefined ? undefined : describePosition(revision);
    }

    function admitsZone(zone: AvailabilityZoneId): boolean {
        let admits = admissionByZone.get(zone);
        if (admits === undefined) {
            admits = resolveLocality(localitySettings, regionOf(zone), zone).admitsRequests;
            admissionByZone.set(zone, admits);
        }
        return admits;
    }

    function regionOf(zone: AvailabilityZoneId): RegionId {
        return options.regionOfZone.get(zone) ?? ("" as RegionId);
    }
}

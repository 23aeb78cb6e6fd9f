/**
 * This box's copies of the shared state and what follows from them: the tables of
 * routes and keys, the catalog of servers, and which availability zones admit requests.
 *
 * Owns the copies; the replicator brings them up to date.
 */

import {
    type BackendServerRecord,
    closeZones,
    type Configuration,
    createCustomerTable,
    createReplica,
    createRouteTable,
    createWeightedSplit,
    type CustomerTable,
    defaultLocalitySettings,
    describePosition,
    epochOf,
    type LocalitySettings,
    type Replica,
    resolveLocality,
    type RestartedServer,
    type RestoreOptions,
    retentionPolicies,
    type RolloutOrder,
    type Route,
    type RouteTable,
    type ServerCatalog,
    type Service,
    type SharedItems,
    type SharedKind,
    type WeightedSplit,
} from "@chalkdale/decisions";
import type { AvailabilityZoneId, BackendServerId, Clock, Milliseconds, RegionId, ServiceId } from "@chalkdale/kernel";
import type { Log } from "@chalkdale/runtime";

/** The copies and their use. */
export interface SharedState {
    readonly replica: <Kind extends SharedKind>(kind: Kind) => Replica<SharedItems[Kind]>;
    /** The newest epoch of the store that a copy has reached; undefined before the first. */
    readonly storeEpoch: () => number | undefined;
    /** Ends what was held against the word of a store that came back older. Due some times a second. */
    readonly expireHeldEntries: () => void;
    readonly configuration: () => Configuration | undefined;
    readonly routes: () => RouteTable | undefined;
    readonly keys: () => CustomerTable | undefined;
    readonly service: (id: ServiceId) => Service | undefined;
    /** Picks the destination of a request on a route. */
    readonly pickDestination: (route: Route) => ServiceId;
    readonly admitsZone: (zone: AvailabilityZoneId) => boolean;
    /** True once requests can be decided. */
    readonly isComplete: () => boolean;
}

export interface SharedStateOptions {
    readonly clock: Clock;
    readonly log: Log;
    readonly catalog: ServerCatalog;
    readonly regionOfZone: ReadonlyMap<AvailabilityZoneId, RegionId>;
    /** Time since the store confirmed the copy of a kind. While a copy takes a change, that of the confirmation before. */
    readonly confirmedAge: (kind: SharedKind) => Milliseconds;
    /** The latest requests to a server, for the line that tells of its leaving. */
    readonly describeRecentSends: (server: BackendServerId) => string | undefined;
    /** Called with each server that has started again. */
    readonly onRestarted: (restarted: RestartedServer) => void;
    /** Called with all orders of roll-outs whenever one changes. */
    readonly onRollouts: (orders: readonly RolloutOrder[]) => void;
    /** Called with each configuration that comes into force. */
    readonly onConfiguration: (configuration: Configuration) => void;
}

/** Creates empty copies. */
export function createSharedState(options: SharedStateOptions): SharedState {
    const { clock, log } = options;
    let configuration: Configuration | undefined;
    let routes: RouteTable | undefined;
    let keys: CustomerTable | undefined;
    let services = new Map<ServiceId, Service>();
    let rotations = new Map<string, WeightedSplit>();
    let places: LocalitySettings = defaultLocalitySettings;
    /** The values in force by zone, as far as they were asked for since the places changed. */
    let admission = new Map<AvailabilityZoneId, boolean>();

    const replicas: { readonly [Kind in SharedKind]: Replica<SharedItems[Kind]>; } = {
        configuration: createReplica<Configuration>(() => "main", applyConfiguration, restoreOf("configuration")),
        servers: createReplica<BackendServerRecord>(record => record.id, applyServers, restoreOf("servers")),
        closedZones: createReplica<AvailabilityZoneId>(zone => zone, applyClosedZones, restoreOf("closedZones")),
        rollouts: createReplica<RolloutOrder>(order => order.service, applyRollouts, restoreOf("rollouts")),
    };

    return {
        replica: kind => replicas[kind],
        storeEpoch() {
            const revisions = Object.values(replicas).map(replica => replica.revision() ?? -1);
            const newest = Math.max(...revisions);
            return newest < 0 ? undefined : epochOf(newest);
        },
        expireHeldEntries: () => Object.values(replicas).forEach(replica => replica.expireHeldEntries()),
        configuration: () => configuration,
        routes: () => routes,
        keys: () => keys,
        service: id => services.get(id),
        pickDestination: destinationOf,
        admitsZone,
        isComplete: () =>
            configuration !== undefined
            && replicas.servers.revision() !== undefined
            && replicas.closedZones.revision() !== undefined,
    };

    function restoreOf<Kind extends SharedKind>(kind: Kind): RestoreOptions<SharedItems[Kind]> {
        return {
            clock,
            policy: retentionPolicies[kind],
            onStoreRestored: (revision, previous, held) =>
                log.warn("state.restored", {
                    kind,
                    revision: describePosition(revision),
                    previous: describePosition(previous),
                    held: held.slice(0, 8).join(",") || "none",
                }),
        };
    }

    function applyConfiguration(items: readonly Configuration[]): void {
        const [next] = items;
        if (next === undefined || (configuration !== undefined && next.version <= configuration.version)) {
            return;
        }
        log.info("configuration.inForce", {
            version: next.version,
            previous: configuration?.version,
            routes: next.routes.length,
            customers: next.access.kind === "customers" ? next.access.customers.length : undefined,
            at: Math.round(clock()),
        });
        configuration = next;
        routes = createRouteTable(next);
        keys = createCustomerTable(next.access);
        services = new Map(next.services.map(service => [service.id, service]));
        rotations = new Map();
        options.onConfiguration(next);
    }

    function applyServers(records: readonly BackendServerRecord[]): void {
        const change = options.catalog.applyList(records, clock());
        const { added, removed, restarted, startedDraining } = change;
        const changed = added.length + removed.length + startedDraining.length + restarted.length;
        if (changed > 0) {
            log.info("servers.changed", {
                listed: records.length,
                added: added.map(record => record.id).slice(0, 8).join(","),
                removed: removed.slice(0, 8).join(","),
                draining: startedDraining.slice(0, 8).join(","),
                restarted: restarted.map(({ server }) => server.id).slice(0, 8).join(","),
                revision: shownRevision("servers"),
                unconfirmedFor: Math.round(options.confirmedAge("servers")),
            });
        }
        restarted.forEach(options.onRestarted);
        startedDraining.forEach(server => logLeaving(server, "draining"));
        removed.forEach(server => logLeaving(server, "unlisted"));
    }

    /** One line for each server, as its requests are looked for by its id. */
    function logLeaving(server: BackendServerId, as: "draining" | "unlisted"): void {
        const known = options.catalog.get(server)?.state;
        log.info("server.leaving", {
            server,
            as,
            recordRevision: known && describePosition(known.record().revision),
            revision: shownRevision("servers"),
            unconfirmedFor: Math.round(options.confirmedAge("servers")),
            inFlight: known?.inFlight(),
            sends: options.describeRecentSends(server),
        });
    }

    function applyClosedZones(zones: readonly AvailabilityZoneId[]): void {
        places = closeZones(defaultLocalitySettings, zones);
        admission = new Map();
        log.info("places.changed", { closed: zones.join(",") || "none" });
    }

    function applyRollouts(orders: readonly RolloutOrder[]): void {
        options.onRollouts(orders);
        log.info("rollouts.changed", {
            orders: orders.map(({ service, state, targetVersion }) => `${service}:${targetVersion}:${state ?? "new"}`)
                .slice(0, 8).join(",") || "none",
            revision: shownRevision("rollouts"),
        });
    }

    function shownRevision(kind: SharedKind): string | undefined {
        const revision = replicas[kind].revision();
        return revision === undefined ? undefined : describePosition(revision);
    }

    function admitsZone(zone: AvailabilityZoneId): boolean {
        let admits = admission.get(zone);
        if (admits === undefined) {
            admits = resolveLocality(places, regionOf(zone), zone).admitsRequests;
            admission.set(zone, admits);
        }
        return admits;
    }

    function destinationOf(route: Route): ServiceId {
        if (route.destinations.length === 1) {
            return route.destinations[0].service;
        }
        let rotation = rotations.get(route.name);
        if (rotation === undefined) {
            rotation = createWeightedSplit(route.destinations);
            rotations.set(route.name, rotation);
        }
        return rotation();
    }

    function regionOf(zone: AvailabilityZoneId): RegionId {
        return options.regionOfZone.get(zone) ?? ("" as RegionId);
    }
}

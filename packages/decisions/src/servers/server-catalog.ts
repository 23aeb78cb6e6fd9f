/**
 * Catalog of all backend servers that discovery lists, with the state of each one's
 * current incarnation. A server that has restarted under its id gets a new entry; the
 * old state remains with the requests that are still at the earlier incarnation.
 *
 * Owns the servers and their states; relies on complete lists from the replica, and on
 * `server-incarnation` for the incarnation that a record belongs to.
 */

import { type BackendServerId, hashText, type Milliseconds, milliseconds, type ServiceId } from "@chalkdale/kernel";
import { compareIncarnations, lateWriteGracePeriod, mergeSameIncarnation } from "./server-incarnation.js";
import type { BackendServerRecord } from "./server-record.js";
import type { ServerState } from "./server-state.js";

/** One incarnation of a listed server, with its state and values that are computed once. */
export interface BackendServer {
    readonly id: BackendServerId;
    readonly idHash: number;
    readonly state: ServerState;
    /**
     * When the incarnation was listed; undefined for servers of the first list, whose keys no other server had before.
     */
    readonly addedAt: Milliseconds | undefined;
}

/** Changes that a list has brought. */
interface CatalogChange {
    readonly added: readonly BackendServerRecord[];
    readonly removed: readonly BackendServerId[];
    readonly startedDraining: readonly BackendServerId[];
    /** Servers that have restarted under their ids. */
    readonly restarted: readonly RestartedServer[];
}

/** A server in its new incarnation, and its entry from before the restart. */
export interface RestartedServer {
    readonly server: BackendServer;
    readonly previous: BackendServer;
}

/** Changes of the list that is being applied. */
interface ChangeInProgress {
    readonly added: BackendServerRecord[];
    readonly startedDraining: BackendServerId[];
    readonly restarted: RestartedServer[];
    /** True if keys may rank servers in another order. */
    isRankingChanged: boolean;
}

/** A record with an earlier start time that arrived after one with a later time; `since` is its arrival. */
interface UncertainRecord {
    readonly record: BackendServerRecord;
    readonly since: Milliseconds;
}

/** Servers by id and by service. */
export interface ServerCatalog {
    /** Applies the complete list of discovery. */
    readonly applyList: (records: readonly BackendServerRecord[], at: Milliseconds) => CatalogChange;
    readonly ofService: (service: ServiceId) => readonly BackendServer[];
    readonly get: (id: BackendServerId) => BackendServer | undefined;
    readonly all: () => Iterable<BackendServer>;
    /** True once another incarnation is listed under this one's id. */
    readonly hasNewIncarnation: (server: BackendServer) => boolean;
    /**
     * True once the list shows that this incarnation has ended: another one has its id, or a later server its address.
     */
    readonly hasSuccessor: (server: BackendServer) => boolean;
    /** Increases whenever a server is added, restarted or forgotten, or a property that it is ranked by changes. */
    readonly version: () => number;
    /** Increases with each list that is applied, and when `sweep` forgets or restarts servers. */
    readonly listVersion: () => number;
    /**
     * Forgets idle servers that were unlisted long ago, and resolves uncertain incarnations. Called a few times per
     * second.
     */
    readonly sweep: (at: Milliseconds) => SweptServers;
}

/** Changes that a sweep of the catalog has made. */
interface SweptServers {
    readonly forgotten: readonly BackendServerId[];
    readonly restarted: readonly RestartedServer[];
}

/**
 * Milliseconds by which answers of an incarnation may arrive before its record: the store can be unreachable for
 * seconds.
 */
const maxRecordLag = 5000;
/**
 * Time for which an unlisted server is kept in case it is listed again: records expire while the store is unreachable.
 */
const unlistedLifetime = milliseconds(20_000);

/** Creates an empty catalog. */
export function createServerCatalog(
    createState: (record: BackendServerRecord, at: Milliseconds) => ServerState,
): ServerCatalog {
    const servers = new Map<BackendServerId, BackendServer>();
    const unlistedAt = new Map<BackendServerId, Milliseconds>();
    const uncertain = new Map<BackendServerId, UncertainRecord>();
    let byService = new Map<ServiceId, BackendServer[]>();
    /** The server with the newest record for each address. */
    let newestByAddress = new Map<string, BackendServer>();
    let version = 0;
    let listVersion = 0;

    return {
        applyList,
        ofService: service => byService.get(service) ?? [],
        get: id => servers.get(id),
        all: () => servers.values(),
        hasNewIncarnation,
        hasSuccessor(server) {
            const newestServer = newestByAddress.get(server.state.record().address);
            return hasNewIncarnation(server) || newestServer !== undefined && newestServer !== server;
        },
        version: () => version,
        listVersion: () => listVersion,
        sweep(at) {
            const restarted = resolveUncertain(at);
            const forgotten: BackendServerId[] = [];
            for (const [id, since] of unlistedAt) {
                if (at - since > unlistedLifetime && servers.get(id)?.state.inFlight() === 0) {
                    servers.delete(id);
                    unlistedAt.delete(id);
                    uncertain.delete(id);
                    forgotten.push(id);
                }
            }
            if (forgotten.length + restarted.length > 0) {
                version += 1;
                listVersion += 1;
                rebuildIndexes();
            }
            return { forgotten, restarted };
        },
    };

    function hasNewIncarnation(server: BackendServer): boolean {
        const current = servers.get(server.id);
        return current !== undefined && current !== server;
    }

    function applyList(records: readonly BackendServerRecord[], at: Milliseconds): CatalogChange {
        const change: ChangeInProgress = { added: [], startedDraining: [], restarted: [], isRankingChanged: false };
        records.forEach(record => applyRecord(record, at, change));
        change.restarted.push(...resolveUncertain(at));
        const removed = unlistOthers(new Set(records.map(record => record.id)), at);
        const { added, isRankingChanged, restarted, startedDraining } = change;
        if (added.length + restarted.length > 0 || isRankingChanged) {
            version += 1;
        }
        listVersion += 1;
        rebuildIndexes();
        return { added, removed, startedDraining, restarted };
    }

    function applyRecord(record: BackendServerRecord, at: Milliseconds, change: ChangeInProgress): void {
        const known = servers.get(record.id);
        if (known === undefined) {
            change.added.push(record);
            addIncarnation(record, at);
            return;
        }
        switch (compareIncarnations(record, known.state.record())) {
            case "same":
                updateIncarnation(known, record, at, change);
                return;
            case "later":
                change.restarted.push(replaceIncarnation(known, record, at));
                return;
            case "earlier":
                markUncertain(known, record, at);
                return;
        }
    }

    /** Applies a newer record to the known incarnation. */
    function updateIncarnation(
        { id, state }: BackendServer,
        record: BackendServerRecord,
        at: Milliseconds,
        change: ChangeInProgress,
    ): void {
        const before = state.record();
        const next = mergeSameIncarnation(record, before);
        if (next.draining && !before.draining) {
            change.startedDraining.push(id);
        }
        change.isRankingChanged ||= changesRanking(next, before);
        state.applyRecord(next, at);
        state.setIncarnationUncertain(false);
        uncertain.delete(id);
        unlistedAt.delete(id);
    }

    /** Marks the servers that are no longer listed, and returns their ids. */
    function unlistOthers(listed: ReadonlySet<BackendServerId>, at: Milliseconds): readonly BackendServerId[] {
        const removed = [...servers.keys()].filter(id => !listed.has(id) && !unlistedAt.has(id));
        for (const id of removed) {
            unlistedAt.set(id, at);
            uncertain.delete(id);
            servers.get(id)?.state.onUnlisted();
        }
        return removed;
    }

    function addIncarnation(record: BackendServerRecord, at: Milliseconds): BackendServer {
        const addedAt = listVersion === 0 ? undefined : at;
        const server = { id: record.id, idHash: hashText(record.id), state: createState(record, at), addedAt };
        servers.set(record.id, server);
        return server;
    }

    /**
     * Starts a new incarnation without the earlier state, except for a back-off that the new one itself may have
     * requested.
     */
    function replaceIncarnation(
        previous: BackendServer,
        record: BackendServerRecord,
        at: Milliseconds,
    ): RestartedServer {
        unlistedAt.delete(record.id);
        uncertain.delete(record.id);
        const server = addIncarnation(record, at);
        const backoff = previous.state.backoffUntil() - at;
        if (backoff > 0 && at - previous.state.backoffRequestedAt() < maxRecordLag) {
            server.state.onBackoff(at, milliseconds(backoff));
        }
        return { server, previous };
    }

    /** Excludes the server from requests until it is known which of the two incarnations is running. */
    function markUncertain(known: BackendServer, record: BackendServerRecord, at: Milliseconds): void {
        unlistedAt.delete(record.id);
        const since = uncertain.get(record.id)?.since ?? at;
        uncertain.set(record.id, { record, since });
        known.state.setIncarnationUncertain(true);
    }

    /**
     * Settles records with an earlier start time. One that was not overwritten within `lateWriteGracePeriod` belongs to
     * a new incarnation whose clock was set back.
     */
    function resolveUncertain(at: Milliseconds): RestartedServer[] {
        const settled = [...uncertain.values()].filter(({ since }) => at - since >= lateWriteGracePeriod);
        return settled.map(({ record }) => replaceIncarnation(servers.get(record.id)!, record, at));
    }

    /** True if the newer record may change the order of servers for keys. */
    function changesRanking(next: BackendServerRecord, known: BackendServerRecord): boolean {
        return next.slots !== known.slots || next.zone !== known.zone || next.service !== known.service
            || next.version !== known.version;
    }

    function rebuildIndexes(): void {
        byService = new Map();
        newestByAddress = new Map();
        for (const server of servers.values()) {
            const { address, revision, service } = server.state.record();
            if (revision > (newestByAddress.get(address)?.state.record().revision ?? -1)) {
                newestByAddress.set(address, server);
            }
            const list = byService.get(service) ?? [];
            list.push(server);
            byService.set(service, list);
        }
    }
}

/**
 * All backend servers that discovery lists, with the state of each one's life.
 * A server that has started again under its id is another server here: what was
 * learned of its earlier life stays with the requests that are still at that one.
 *
 * Owns the servers and their states; relies on whole lists from the copy, and on
 * `server-life` for which life a record speaks of.
 */

import { type BackendServerId, hashText, type Milliseconds, milliseconds, type ServiceId } from "@chalkdale/kernel";
import { compareIncarnations, lateWriteGracePeriod, mergeSameIncarnation } from "./server-incarnation.js";
import type { BackendServerRecord } from "./server-record.js";
import type { ServerState } from "./server-state.js";

/** One life of a listed server with what is computed once for it. */
export interface BackendServer {
    readonly id: BackendServerId;
    readonly idHash: number;
    readonly state: ServerState;
    /** When the life was listed; undefined for the servers of the first list, beside which no others had their keys. */
    readonly addedAt: Milliseconds | undefined;
}

/** What a change of the list did. */
interface CatalogChange {
    readonly added: readonly BackendServerRecord[];
    readonly removed: readonly BackendServerId[];
    readonly startedDraining: readonly BackendServerId[];
    /** Servers that have started again under their ids. */
    readonly restarted: readonly RestartedServer[];
}

/** A server in its new life, and what is left of the life before. */
export interface RestartedServer {
    readonly server: BackendServer;
    readonly before: BackendServer;
}

/** What a list has done so far. */
interface ChangeInProgress {
    readonly added: BackendServerRecord[];
    readonly startedDraining: BackendServerId[];
    readonly restarted: RestartedServer[];
    isRankingChanged: boolean;
}

/** A record of an earlier life that came after one of a later life. */
interface DoubtedRecord {
    readonly record: BackendServerRecord;
    readonly since: Milliseconds;
}

/** The servers by id and by service. */
export interface ServerCatalog {
    /** Takes the whole list as discovery has it now. */
    readonly applyList: (records: readonly BackendServerRecord[], at: Milliseconds) => CatalogChange;
    readonly ofService: (service: ServiceId) => readonly BackendServer[];
    readonly get: (id: BackendServerId) => BackendServer | undefined;
    readonly all: () => Iterable<BackendServer>;
    /** True once another life is listed under this one's id. */
    readonly hasNewIncarnation: (server: BackendServer) => boolean;
    /** True once this life has ended as far as the list tells: another one has its id, or a later server its address. */
    readonly hasSuccessor: (server: BackendServer) => boolean;
    /** Rises whenever a server comes or goes, or what it can carry changes. */
    readonly version: () => number;
    /** Rises with each list that is applied, and when servers are forgotten. */
    readonly listVersion: () => number;
    /** Forgets servers that were unlisted long ago and are idle, and settles doubts about lives. Due some times a second. */
    readonly sweep: (at: Milliseconds) => SweptServers;
}

/** What an upkeep of the catalog did. */
interface SweptServers {
    readonly forgotten: readonly BackendServerId[];
    readonly restarted: readonly RestartedServer[];
}

/** Milliseconds by which a server's answers may come before the record of their life: a store is away for some seconds. */
const recordLag = 5000;
/** Time for which an unlisted server is remembered, in case its record comes back: records lapse while the store is away. */
const unlistedLifetime = milliseconds(20_000);

/** Creates an empty catalog. */
export function createServerCatalog(
    createState: (record: BackendServerRecord, at: Milliseconds) => ServerState,
): ServerCatalog {
    const servers = new Map<BackendServerId, BackendServer>();
    const unlistedAt = new Map<BackendServerId, Milliseconds>();
    const doubted = new Map<BackendServerId, DoubtedRecord>();
    let byService = new Map<ServiceId, BackendServer[]>();
    /** The server whose record is the newest, for each address. */
    let newestAt = new Map<string, BackendServer>();
    let version = 0;
    let listing = 0;

    return {
        applyList,
        ofService: service => byService.get(service) ?? [],
        get: id => servers.get(id),
        all: () => servers.values(),
        hasNewIncarnation: hasNewLife,
        hasSuccessor(server) {
            const newest = newestAt.get(server.state.record().address);
            return hasNewLife(server) || newest !== undefined && newest !== server;
        },
        version: () => version,
        listVersion: () => listing,
        sweep(at) {
            const restarted = settleDoubts(at);
            const forgotten: BackendServerId[] = [];
            for (const [id, since] of unlistedAt) {
                if (at - since > unlistedLifetime && servers.get(id)?.state.inFlight() === 0) {
                    servers.delete(id);
                    unlistedAt.delete(id);
                    doubted.delete(id);
                    forgotten.push(id);
                }
            }
            if (forgotten.length + restarted.length > 0) {
                version += 1;
                listing += 1;
                index();
            }
            return { forgotten, restarted };
        },
    };

    function hasNewLife(server: BackendServer): boolean {
        const current = servers.get(server.id);
        return current !== undefined && current !== server;
    }

    function applyList(records: readonly BackendServerRecord[], at: Milliseconds): CatalogChange {
        const change: ChangeInProgress = { added: [], startedDraining: [], restarted: [], isRankingChanged: false };
        records.forEach(record => take(record, at, change));
        change.restarted.push(...settleDoubts(at));
        const removed = removeAllBut(new Set(records.map(record => record.id)), at);
        const { added, isRankingChanged, restarted, startedDraining } = change;
        if (added.length + restarted.length > 0 || isRankingChanged) {
            version += 1;
        }
        listing += 1;
        index();
        return { added, removed, startedDraining, restarted };
    }

    function take(record: BackendServerRecord, at: Milliseconds, change: ChangeInProgress): void {
        const known = servers.get(record.id);
        if (known === undefined) {
            change.added.push(record);
            begin(record, at);
            return;
        }
        switch (compareIncarnations(record, known.state.record())) {
            case "same":
                goOn(known, record, at, change);
                return;
            case "later":
                change.restarted.push(beginAgain(known, record, at));
                return;
            case "earlier":
                doubt(known, record, at);
                return;
        }
    }

    /** The life that is known goes on, with a newer record. */
    function goOn(
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
        change.isRankingChanged ||= isRankedAnew(next, before);
        state.applyRecord(next, at);
        state.setIncarnationUncertain(false);
        doubted.delete(id);
        unlistedAt.delete(id);
    }

    /** Returns the servers that were listed until now. */
    function removeAllBut(listed: ReadonlySet<BackendServerId>, at: Milliseconds): readonly BackendServerId[] {
        const removed = [...servers.keys()].filter(id => !listed.has(id) && !unlistedAt.has(id));
        for (const id of removed) {
            unlistedAt.set(id, at);
            doubted.delete(id);
            servers.get(id)?.state.onUnlisted();
        }
        return removed;
    }

    function begin(record: BackendServerRecord, at: Milliseconds): BackendServer {
        const addedAt = listing === 0 ? undefined : at;
        const server = { id: record.id, idHash: hashText(record.id), state: createState(record, at), addedAt };
        servers.set(record.id, server);
        return server;
    }

    /** Nothing of the earlier life holds for the new one, but for what the new one may have said itself before its record came. */
    function beginAgain(before: BackendServer, record: BackendServerRecord, at: Milliseconds): RestartedServer {
        unlistedAt.delete(record.id);
        doubted.delete(record.id);
        const server = begin(record, at);
        const backoff = before.state.backoffUntil() - at;
        if (backoff > 0 && at - before.state.backoffRequestedAt() < recordLag) {
            server.state.onBackoff(at, milliseconds(backoff));
        }
        return { server, before };
    }

    /** Until it is known which of the two lives goes on, the server gets nothing. */
    function doubt(known: BackendServer, record: BackendServerRecord, at: Milliseconds): void {
        unlistedAt.delete(record.id);
        const since = doubted.get(record.id)?.since ?? at;
        doubted.set(record.id, { record, since });
        known.state.setIncarnationUncertain(true);
    }

    /** A record of an earlier birth that stands for long is of a new life, whose clock was set back. */
    function settleDoubts(at: Milliseconds): RestartedServer[] {
        const settled = [...doubted.values()].filter(({ since }) => at - since >= lateWriteGracePeriod);
        return settled.map(({ record }) => beginAgain(servers.get(record.id)!, record, at));
    }

    /** True if keys may have another order of servers with the newer record. */
    function isRankedAnew(next: BackendServerRecord, known: BackendServerRecord): boolean {
        return next.slots !== known.slots || next.zone !== known.zone || next.service !== known.service
            || next.version !== known.version;
    }

    function index(): void {
        byService = new Map();
        newestAt = new Map();
        for (const server of servers.values()) {
            const { address, revision, service } = server.state.record();
            if (revision > (newestAt.get(address)?.state.record().revision ?? -1)) {
                newestAt.set(address, server);
            }
            const list = byService.get(service) ?? [];
            list.push(server);
            byService.set(service, list);
        }
    }
}

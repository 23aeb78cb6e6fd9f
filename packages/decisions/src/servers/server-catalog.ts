/**
 * All backend servers that discovery lists, with the state of each.
 *
 * Owns the servers and their states; relies on whole lists from the copy.
 */

import { type BackendServerId, hashText, type Milliseconds, milliseconds, type ServiceId } from "@chalkdale/kernel";
import type { BackendServerRecord } from "./server-record.js";
import type { ServerState } from "./server-state.js";

/** A listed server with what is computed once for it. */
export interface BackendServer {
    readonly id: BackendServerId;
    readonly idHash: number;
    readonly state: ServerState;
}

/** What a change of the list did. */
interface CatalogChange {
    readonly added: readonly BackendServerRecord[];
    readonly removed: readonly BackendServerId[];
    readonly startedDraining: readonly BackendServerId[];
}

/** The servers by id and by service. */
export interface ServerCatalog {
    /** Takes the whole list as discovery has it now. */
    readonly applyList: (records: readonly BackendServerRecord[], at: Milliseconds) => CatalogChange;
    readonly ofService: (service: ServiceId) => readonly BackendServer[];
    readonly get: (id: BackendServerId) => BackendServer | undefined;
    readonly all: () => Iterable<BackendServer>;
    /** True once a later server is listed at the address of this one, which has ended then. */
    readonly isAddressTaken: (server: BackendServer) => boolean;
    /** Rises whenever a server comes or goes, or what it can carry changes. */
    readonly version: () => number;
    /** Rises with each list that is applied, and when servers are forgotten. */
    readonly listing: () => number;
    /** Forgets servers that were unlisted long ago and are idle. */
    readonly sweep: (at: Milliseconds) => readonly BackendServerId[];
}

/** Time for which an unlisted server is remembered, in case its record comes back: records lapse while the store is away. Not measured. */
const unlistedLifetime = milliseconds(20_000);

/** Creates an empty catalog. */
export function createServerCatalog(
    createState: (record: BackendServerRecord, at: Milliseconds) => ServerState,
): ServerCatalog {
    const servers = new Map<BackendServerId, BackendServer>();
    const unlistedAt = new Map<BackendServerId, Milliseconds>();
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
        isAddressTaken(server) {
            const newest = newestAt.get(server.state.record().address);
            return newest !== undefined && newest.id !== server.id;
        },
        version: () => version,
        listing: () => listing,
        sweep(at) {
            const forgotten: BackendServerId[] = [];
            for (const [id, since] of unlistedAt) {
                if (at - since > unlistedLifetime && servers.get(id)?.state.inFlight() === 0) {
                    servers.delete(id);
                    unlistedAt.delete(id);
                    forgotten.push(id);
                }
            }
            if (forgotten.length > 0) {
                version += 1;
                listing += 1;
                index();
            }
            return forgotten;
        },
    };

    function applyList(records: readonly BackendServerRecord[], at: Milliseconds): CatalogChange {
        const added: BackendServerRecord[] = [];
        const startedDraining: BackendServerId[] = [];
        let isRankingChanged = false;
        const listed = new Set(records.map(record => record.id));
        for (const record of records) {
            const known = servers.get(record.id);
            if (known === undefined) {
                added.push(record);
                const state = createState(record, at);
                servers.set(record.id, { id: record.id, idHash: hashText(record.id), state });
                continue;
            }
            if (record.draining && !known.state.record().draining) {
                startedDraining.push(record.id);
            }
            isRankingChanged ||= isRankedAnew(record, known.state.record());
            known.state.applyRecord(record, at);
            unlistedAt.delete(record.id);
        }
        const removed = [...servers.keys()].filter(id => !listed.has(id) && !unlistedAt.has(id));
        for (const id of removed) {
            unlistedAt.set(id, at);
            servers.get(id)?.state.onUnlisted();
        }
        if (added.length > 0 || isRankingChanged) {
            version += 1;
        }
        listing += 1;
        index();
        return { added, removed, startedDraining };
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

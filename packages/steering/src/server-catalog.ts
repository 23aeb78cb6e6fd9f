/**
 * All backend servers that discovery lists, with the standing of each.
 */

import { hashText, type Milliseconds, milliseconds, type ServerId, type ServiceId } from "@chalkdale/kernel";
import type { ServerRecord } from "./server-record.js";
import type { ServerStanding } from "./server-standing.js";

/** A listed server with what is computed once for it. */
export interface CatalogServer {
    readonly id: ServerId;
    readonly idHash: number;
    readonly standing: ServerStanding;
}

/** What a change of the list did. */
interface CatalogChange {
    readonly added: readonly ServerRecord[];
    readonly removed: readonly ServerId[];
    readonly startedDraining: readonly ServerId[];
}

/** The servers by id and by service. */
export interface ServerCatalog {
    /** Takes the whole list as discovery has it now. */
    readonly applyList: (records: readonly ServerRecord[], at: Milliseconds) => CatalogChange;
    readonly ofService: (service: ServiceId) => readonly CatalogServer[];
    readonly get: (id: ServerId) => CatalogServer | undefined;
    readonly all: () => Iterable<CatalogServer>;
    /** Forgets servers that were unlisted long ago and are idle. */
    readonly sweep: (at: Milliseconds) => readonly ServerId[];
}

/** Time for which an unlisted server is remembered, in case its record comes back. */
const unlistedLifetime = milliseconds(20_000);

/** Creates an empty catalog. */
export function createServerCatalog(
    createStanding: (record: ServerRecord, at: Milliseconds) => ServerStanding,
): ServerCatalog {
    const servers = new Map<ServerId, CatalogServer>();
    const unlistedAt = new Map<ServerId, Milliseconds>();
    let byService = new Map<ServiceId, CatalogServer[]>();

    return {
        applyList,
        ofService: service => byService.get(service) ?? [],
        get: id => servers.get(id),
        all: () => servers.values(),
        sweep(at) {
            const forgotten: ServerId[] = [];
            for (const [id, since] of unlistedAt) {
                if (at - since > unlistedLifetime && servers.get(id)?.standing.inFlight() === 0) {
                    servers.delete(id);
                    unlistedAt.delete(id);
                    forgotten.push(id);
                }
            }
            if (forgotten.length > 0) {
                index();
            }
            return forgotten;
        },
    };

    function applyList(records: readonly ServerRecord[], at: Milliseconds): CatalogChange {
        const added: ServerRecord[] = [];
        const startedDraining: ServerId[] = [];
        const listed = new Set(records.map(record => record.id));
        for (const record of records) {
            const known = servers.get(record.id);
            if (known === undefined) {
                added.push(record);
                const standing = createStanding(record, at);
                servers.set(record.id, { id: record.id, idHash: hashText(record.id), standing });
                continue;
            }
            if (record.draining && !known.standing.record().draining) {
                startedDraining.push(record.id);
            }
            known.standing.applyRecord(record, at);
            unlistedAt.delete(record.id);
        }
        const removed = [...servers.keys()].filter(id => !listed.has(id) && !unlistedAt.has(id));
        for (const id of removed) {
            unlistedAt.set(id, at);
            servers.get(id)?.standing.onUnlisted(at);
        }
        index();
        return { added, removed, startedDraining };
    }

    function index(): void {
        byService = new Map();
        for (const server of servers.values()) {
            const { service } = server.standing.record();
            const list = byService.get(service) ?? [];
            list.push(server);
            byService.set(service, list);
        }
    }
}

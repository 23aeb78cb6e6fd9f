/**
 * The backend servers of a soak run: each is reached through its link and listed in the
 * store, and every request that begins to run there is recorded.
 *
 * Owns the stand-ins and their links; relies on the store for the records.
 */

import { type Milliseconds, milliseconds } from "@chalkdale/kernel";
import { type ServerStandIn, startServerStandIn } from "../standins/backend-server.js";
import { pause } from "../standins/deployment.js";
import type { MetadataStore } from "../standins/metadata-store.js";
import { serverObject } from "../standins/platform-objects.js";
import { type FaultProxy, startFaultProxy } from "./fault-proxy.js";
import type { ObservedRequestArrival, ObservedRun } from "./observations.js";

/** Milliseconds of work for a request with a key that the server does not know yet. */
const serverWork = 40;
/** Id, service and zone of servers that no valid record lists. */
const unlistedName = "i-trap";

/** One server and its link. */
export interface SoakServer {
    /** The stand-in of the server's present incarnation. */
    backend: ServerStandIn;
    /** Start of the present incarnation, in Unix milliseconds. */
    born: number;
    readonly proxy: FaultProxy;
    readonly service: string;
    readonly zone: string;
    readonly version: string;
    /** Time of the run until which it is cold. */
    coldUntil: number;
    /** It drains or was removed, or is about to. */
    gone: boolean;
    /** It has ended and will restart, unless its service moves to another version meanwhile. */
    isDown: boolean;
    /** It was stopped for good. */
    isPermanentlyStopped: boolean;
    /** Its behaviour belongs to a bad version or to an announcement, so other faults must not change it. */
    isExcludedFromFaults: boolean;
}

/** The servers of a run. */
export interface SoakServers {
    readonly servers: readonly SoakServer[];
    /** Requests that began to run at any of the servers. */
    readonly runs: readonly ObservedRun[];
    /** Requests that arrived at any of the servers, whether they ran or not. */
    readonly arrivals: readonly ObservedRequestArrival[];
    /** Starts and lists a server; its version defaults to the one that the service runs. */
    readonly addServer: (service: string, zone: string, version?: string) => Promise<SoakServer>;
    /**
     * Ends the server abruptly, and starts it again after `downFor` under its id and address, without any state and
     * cold for `coldFor`. Resolves with false if it was stopped for good meanwhile.
     */
    readonly restartServer: (server: SoakServer, downFor: Milliseconds, coldFor?: Milliseconds) => Promise<boolean>;
    /** Starts a server that no valid record lists: any request that runs there is a breach. */
    readonly startUnlistedServer: () => Promise<ServerStandIn>;
    /** Sets the version that the service runs from now on. */
    readonly setVersion: (service: string, version: string) => void;
    /** Writes the server's record to the store. */
    readonly writeRecord: (server: SoakServer, state: "ready" | "draining") => void;
    readonly closeServers: () => void;
}

export interface SoakServersOptions {
    /** Milliseconds since the run began. */
    readonly now: () => number;
    readonly store: MetadataStore;
}

/** Creates the server set of a run without any server. */
export function createSoakServers({ now, store }: SoakServersOptions): SoakServers {
    const servers: SoakServer[] = [];
    const unlistedServers: ServerStandIn[] = [];
    const runs: ObservedRun[] = [];
    const arrivals: ObservedRequestArrival[] = [];
    const versions = new Map<string, string>();

    return {
        servers,
        runs,
        arrivals,
        addServer,
        restartServer,
        startUnlistedServer,
        setVersion: (service, next) => versions.set(service, next),
        writeRecord,
        closeServers() {
            servers.forEach(({ proxy }) => proxy.close());
            [...servers.map(({ backend }) => backend), ...unlistedServers].forEach(backend => backend.close());
        },
    };

    async function addServer(
        service: string,
        zone: string,
        serverVersion = versions.get(service) ?? "v1",
    ): Promise<SoakServer> {
        const backend = await startServerStandIn({
            id: `i-${service}-${servers.length}`,
            onArrival: requestId => onArrival(requestId, backend.id, proxy),
        });
        backend.setWork(serverWork);
        const proxy = await startFaultProxy(backend.address(), { kind: "own" });
        const server: SoakServer = {
            backend,
            born: Date.now(),
            proxy,
            service,
            zone,
            version: serverVersion,
            coldUntil: 0,
            gone: false,
            isDown: false,
            isPermanentlyStopped: false,
            isExcludedFromFaults: false,
        };
        servers.push(server);
        observeRuns(server);
        writeRecord(server, "ready");
        return server;
    }

    function onArrival(requestId: string, server: string, proxy: FaultProxy): void {
        const at = now();
        const startedAt = performance.now() - at;
        arrivals.push({
            requestId,
            server,
            at,
            wasHeldBack: since => proxy.wasImpaired(startedAt + since, startedAt + at),
        });
    }

    async function restartServer(
        server: SoakServer,
        downFor: Milliseconds,
        coldFor = milliseconds(0),
    ): Promise<boolean> {
        const { id } = server.backend;
        const port = Number(server.backend.address().split(":")[1]);
        server.isDown = true;
        server.backend.close();
        await pause(downFor);
        server.isDown = false;
        if (server.isPermanentlyStopped) {
            return false;
        }
        server.backend = await startServerStandIn({
            id,
            port,
            onArrival: requestId => onArrival(requestId, id, server.proxy),
        });
        server.backend.setWork(serverWork);
        server.born = Date.now();
        server.coldUntil = now() + coldFor;
        observeRuns(server);
        writeRecord(server, "ready");
        return true;
    }

    async function startUnlistedServer(): Promise<ServerStandIn> {
        const backend = await startServerStandIn({ id: unlistedName });
        observeRuns({ backend, service: unlistedName, zone: unlistedName });
        unlistedServers.push(backend);
        return backend;
    }

    /** Records each run when it begins. */
    function observeRuns(server: Pick<SoakServer, "backend" | "service" | "zone">): void {
        const serverRuns = server.backend.runs as ObservedRun[];
        const push = serverRuns.push.bind(serverRuns);
        serverRuns.push = (...begun) => {
            for (const run of begun) {
                runs.push({ ...run, at: now(), server: server.backend.id, service: server.service, zone: server.zone });
            }
            return push(...begun);
        };
    }

    function writeRecord(server: SoakServer, state: "ready" | "draining"): void {
        const { born, proxy, service, version: serverVersion, zone } = server;
        const coldLeft = `${Math.round(Math.max(0, server.coldUntil - now()))}ms`;
        const record = { born, coldLeft, service, zone, state, version: serverVersion };
        store.put("servers", server.backend.id, serverObject(proxy.address(), record));
    }
}

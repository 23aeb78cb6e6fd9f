/**
 * The backend servers of a soak run: each behind its link, listed in the store,
 * and watched for what begins to run there.
 *
 * Owns the stand-ins and their links; relies on the store for the records.
 */

import type { Milliseconds } from "@chalkdale/kernel";
import { type ServerStandIn, startServerStandIn } from "../standins/backend-server.js";
import { pause } from "../standins/deployment.js";
import type { MetadataStore } from "../standins/metadata-store.js";
import { serverObject } from "../standins/platform-objects.js";
import { type FaultProxy, startFaultProxy } from "./fault-proxy.js";
import type { ObservedRun } from "./observations.js";

/** Work of a request on an object that the server does not know, in milliseconds. */
const serverWork = 40;
/** Id, service and zone of a server that no sound record names. */
const trapName = "i-trap";

/** One server behind its link. */
export interface SoakServer {
    /** Its present life. */
    backend: ServerStandIn;
    /** Unix milliseconds of its present start. */
    born: number;
    readonly proxy: FaultProxy;
    readonly service: string;
    readonly zone: string;
    readonly version: string;
    gone: boolean;
    /** It has ended, and is about to start again unless its service has moved on. */
    isDown: boolean;
    /** It was stopped for good. */
    isPermanentlyStopped: boolean;
    /** Its behaviour is part of a bad version, and other faults leave it alone. */
    isExcludedFromFaults: boolean;
}

/** The servers of a run. */
export interface SoakServers {
    readonly servers: readonly SoakServer[];
    readonly runs: readonly ObservedRun[];
    /** Adds a server; without a version it is of the one that the service runs. */
    readonly addServer: (service: string, zone: string, version?: string) => Promise<SoakServer>;
    /**
     * The server ends without a word, and starts again after a while under its id and address; it knows nothing of before. False
     * if it was stopped for good meanwhile.
     */
    readonly restartServer: (server: SoakServer, downFor: Milliseconds) => Promise<boolean>;
    /** Starts a server that no sound record names; whatever runs there is a breach. */
    readonly startUnlistedServer: () => Promise<ServerStandIn>;
    /** The service runs another version from now on. */
    readonly setVersion: (service: string, version: string) => void;
    readonly writeRecord: (server: SoakServer, state: "ready" | "draining") => void;
    readonly closeServers: () => void;
}

export interface SoakServersOptions {
    /** Milliseconds since the run began. */
    readonly now: () => number;
    readonly store: MetadataStore;
}

/** Creates the servers of a run; none is started. */
export function createSoakServers({ now, store }: SoakServersOptions): SoakServers {
    const servers: SoakServer[] = [];
    const traps: ServerStandIn[] = [];
    const runs: ObservedRun[] = [];
    const versions = new Map<string, string>();

    return {
        servers,
        runs,
        addServer,
        restartServer,
        startUnlistedServer: startTrap,
        setVersion: (service, next) => versions.set(service, next),
        writeRecord: record,
        closeServers() {
            servers.forEach(({ proxy }) => proxy.close());
            [...servers.map(({ backend }) => backend), ...traps].forEach(backend => backend.close());
        },
    };

    async function addServer(
        service: string,
        zone: string,
        serverVersion = versions.get(service) ?? "v1",
    ): Promise<SoakServer> {
        const backend = await startServerStandIn({ id: `i-${service}-${servers.length}` });
        backend.setWork(serverWork);
        const proxy = await startFaultProxy(backend.address(), { kind: "own" });
        const server: SoakServer = {
            backend,
            born: Date.now(),
            proxy,
            service,
            zone,
            version: serverVersion,
            gone: false,
            isDown: false,
            isPermanentlyStopped: false,
            isExcludedFromFaults: false,
        };
        servers.push(server);
        observeRuns(server);
        record(server, "ready");
        return server;
    }

    async function restartServer(server: SoakServer, downFor: Milliseconds): Promise<boolean> {
        const { id } = server.backend;
        const port = Number(server.backend.address().split(":")[1]);
        server.isDown = true;
        server.backend.close();
        await pause(downFor);
        server.isDown = false;
        if (server.isPermanentlyStopped) {
            return false;
        }
        server.backend = await startServerStandIn({ id, port });
        server.backend.setWork(serverWork);
        server.born = Date.now();
        observeRuns(server);
        record(server, "ready");
        return true;
    }

    async function startTrap(): Promise<ServerStandIn> {
        const backend = await startServerStandIn({ id: trapName });
        observeRuns({ backend, service: trapName, zone: trapName });
        traps.push(backend);
        return backend;
    }

    /** Notes each run when it begins. */
    function observeRuns(server: Pick<SoakServer, "backend" | "service" | "zone">): void {
        const list = server.backend.runs as ObservedRun[];
        const push = list.push.bind(list);
        list.push = (...begun) => {
            for (const run of begun) {
                runs.push({ ...run, at: now(), server: server.backend.id, service: server.service, zone: server.zone });
            }
            return push(...begun);
        };
    }

    function record(server: SoakServer, state: "ready" | "draining"): void {
        const { born, proxy, service, version: serverVersion, zone } = server;
        const place = { born, service, zone, state, version: serverVersion };
        store.put("servers", server.backend.id, serverObject(proxy.address(), place));
    }
}

/**
 * The environment of one soak run: store, servers and boxes, the links between them, and
 * the configuration that the run has written so far.
 *
 * Owns them all: starts them, and stops them in `stopAll`.
 */

import { milliseconds, type RandomSource } from "@chalkdale/kernel";
import { mkdtempSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { type MetadataStoreServer, serveMetadataStore } from "../standins/metadata-store-server.js";
import { createMetadataStore, type MetadataStore } from "../standins/metadata-store.js";
import { configurationObject, type RuleOptions } from "../standins/platform-objects.js";
import { type BoxProcess, createBoxProcess } from "./box-process.js";
import { type FaultProxy, startFaultProxy } from "./fault-proxy.js";
import type { Interval } from "./observations.js";
import { inForceWithin } from "./soak-bounds.js";
import { createSoakCustomers, type SoakCustomers } from "./soak-customers.js";
import { createSoakServers, type SoakServers } from "./soak-servers.js";
import { createStoreConnectivity, type StoreConnectivity } from "./store-connectivity.js";

/** Regions by availability zone. */
const zones: Readonly<Record<string, string>> = { "north-a": "north", "north-b": "north", "south-a": "south" };
/** Names of the availability zones. */
export const zoneNames = Object.keys(zones);
/** Services by path of the route, as the first configuration has them; that of `/lookup/` changes. */
const servicesByPath: Readonly<Record<string, string>> = {
    "/lookup/": "profiles",
    "/save/": "profiles",
    "/pack/": "packs",
    "/photos/": "packs",
};
/** Request kinds by path of the route; the kind of any other path is `safe`: its requests may be repeated. */
const kindsByPath: Readonly<Record<string, RuleOptions["kind"]>> = {
    "/save/": "unsafe",
    "/pack/": "download",
    "/photos/": "upload",
};
/** Size of an upload in bytes. */
const uploadSize = 60_000;
/** Requests that callers send in turn; only those that may run just once have a body. */
export const soakRequests = Object.keys(servicesByPath).map(path => ({ path, body: bodyOf(path) }));

function bodyOf(path: string): string | undefined {
    switch (kindsByPath[path]) {
        case "unsafe":
            return "work";
        case "upload":
            return "x".repeat(uploadSize);
        default:
            return undefined;
    }
}
/** Host of all requests and of the configuration. */
export const soakHost = "app.example";
const serversPerService = 4;
/** First port of each box, below the range from which the operating system takes ports for outgoing connections. */
const firstPort = 20_000;
/** A service that may run the requests of a path, and when. */
type Destination = Interval & { readonly path: string; readonly service: string; };

/** Everything that one run consists of. */
export interface SoakEnvironment extends SoakServers {
    readonly seed: number;
    readonly random: RandomSource;
    /** Milliseconds since the run began. */
    readonly now: () => number;
    /** Reports an event line with the run's seed and time. */
    readonly logEvent: (text: string) => void;
    /** Directory of the boxes' settings and logs. */
    readonly logFolder: string;
    readonly store: MetadataStore;
    readonly storeServer: MetadataStoreServer;
    /** Links of the boxes to the store, one for each box. */
    readonly storeLinks: readonly FaultProxy[];
    /** Number of servers above which none is replaced, since each replacement adds a server with its sockets. */
    readonly mostServers: number;
    readonly boxes: readonly BoxProcess[];
    /** Services that a path may go to, and when. */
    readonly destinations: readonly Destination[];
    readonly customers: SoakCustomers;
    /** Which boxes are connected to the store; faults report to it which boxes they affect. */
    readonly storeConnectivity: StoreConnectivity;
    /**
     * Writes the next version of the configuration: each customer gets a new key, and the parity of the version
     * selects the service of `/lookup/`.
     */
    readonly writeNextConfiguration: () => void;
    /** Ends all boxes, links, servers and the store; resolves once the boxes have exited. */
    readonly stopAll: () => Promise<void>;
}

export interface SoakEnvironmentOptions {
    readonly seed: number;
    readonly random: RandomSource;
    readonly boxes: number;
    readonly mostServers: number;
    /** Called with each event line. */
    readonly onEvent: ((line: string) => void) | undefined;
}

/** Starts store, servers and boxes; resolves while boxes may still be starting. */
export async function startSoakEnvironment(options: SoakEnvironmentOptions): Promise<SoakEnvironment> {
    const { random } = options;
    const startedAt = performance.now();
    const now = () => performance.now() - startedAt;
    const logEvent = (text: string) => options.onEvent?.(`seed=${options.seed} at=${Math.round(now())} ${text}`);
    const store = createMetadataStore({ clock: () => milliseconds(now()) });
    const storeServer = await serveMetadataStore(store);
    const folder = mkdtempSync(join(tmpdir(), `chalkdale-soak-${options.seed}-`));
    const servers = createSoakServers({ now, store });
    const destinations: Destination[] = [];
    const customers = createSoakCustomers(now, inForceWithin);
    const storeLinks: FaultProxy[] = [];
    let version = 1;

    await startServers();
    writeNextConfiguration();
    const boxes = await startBoxes();
    return {
        seed: options.seed,
        random,
        now,
        logEvent,
        logFolder: folder,
        store,
        storeServer,
        storeLinks,
        ...servers,
        mostServers: options.mostServers,
        boxes,
        destinations,
        customers,
        storeConnectivity: createStoreConnectivity(now),
        writeNextConfiguration,
        stopAll,
    };

    async function startServers(): Promise<void> {
        for (const service of ["profiles", "packs"]) {
            for (let index = 0; index < serversPerService; index++) {
                await servers.addServer(service, zoneNames[index % zoneNames.length]);
            }
        }
    }

    function writeNextConfiguration(): void {
        version += 1 + Math.floor(random() * 5);
        const lookupService = version % 2 === 0 ? "profiles" : "packs";
        const rules = Object.entries(servicesByPath).map(([path, service]): RuleOptions => ({
            name: path,
            path,
            kind: kindsByPath[path] ?? "safe",
            service: path === "/lookup/" ? lookupService : service,
        }));
        rules.forEach(recordDestination);
        store.put("config", "main", configurationObject(version, soakHost, rules, customers.rotateKeys(version)));
    }

    /**
     * Records from when a path's requests may run at a service, and until when they may still run at the
     * previous one.
     */
    function recordDestination({ path, service = "" }: RuleOptions): void {
        const current = destinations.findIndex(entry => entry.path === path && entry.to === Infinity);
        if (current >= 0 && destinations[current].service !== service) {
            destinations[current] = { ...destinations[current], to: now() + inForceWithin };
        }
        if (current < 0 || destinations[current].to !== Infinity) {
            destinations.push({ path, service, from: now(), to: Infinity });
        }
    }

    async function startBoxes(): Promise<BoxProcess[]> {
        const created: BoxProcess[] = [];
        const network = loopbackNetwork();
        for (let index = 0; index < options.boxes; index++) {
            // The store tells boxes apart by their source address.
            const link = await startFaultProxy(storeServer.address(), {
                kind: "fixed",
                host: `${network}.${index + 1}`,
            });
            storeLinks.push(link);
            const box = createBoxProcess({
                name: `box-${index}`,
                host: `${network}.${index + 1}`,
                firstPort,
                zone: zoneNames[index % zoneNames.length],
                region: zones[zoneNames[index % zoneNames.length]],
                zones,
                store: link.address(),
                seeds: [`${network}.1:${firstPort + 3}`, `${network}.2:${firstPort + 3}`],
                folder,
            });
            box.start();
            created.push(box);
        }
        return created;
    }

    async function stopAll(): Promise<void> {
        boxes.forEach(box => box.signal("SIGCONT"));
        boxes.forEach(box => box.signal("SIGTERM"));
        await Promise.all(boxes.map(box => box.waitForExit()));
        storeLinks.forEach(link => link.close());
        servers.closeServers();
        storeServer.close();
    }
}

/** Loopback network of this process alone: two soaks at once would otherwise collide on ports. */
function loopbackNetwork(): string {
    const { pid } = process;
    return `127.${firstNetwork + (pid >> 8) % networkCount}.${pid % 256}`;
}

/** Second bytes of these addresses; lower ones belong to other tests. */
const firstNetwork = 100;
const networkCount = 128;

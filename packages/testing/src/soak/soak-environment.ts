/**
 * What one run of the soak consists of: the store, servers and boxes, and the
 * links between them, with what the run has told them so far.
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

/** Zones and their regions. */
const zones: Readonly<Record<string, string>> = { "north-a": "north", "north-b": "north", "south-a": "south" };
export const zoneNames = Object.keys(zones);
/** Routes and the services that they begin with. */
const servicesByPath: Readonly<Record<string, string>> = {
    "/lookup/": "profiles",
    "/save/": "profiles",
    "/pack/": "packs",
    "/photos/": "packs",
};
/** Routes and their kinds; those that are not here are for requests that may be repeated. */
const kindsByPath: Readonly<Record<string, RuleOptions["kind"]>> = {
    "/save/": "unsafe",
    "/pack/": "download",
    "/photos/": "upload",
};
/** Bytes of an upload. */
const uploadSize = 60_000;
/** What callers ask for, in turn; `body` is there for what may run only once. */
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
export const soakHost = "app.example";
const serversPerService = 4;
/** First port of each box, below the range from which the kernel takes ports for outgoing connections. */
const firstPort = 20_000;
/** When which service may run the requests of a path. */
type Destination = Interval & { readonly path: string; readonly service: string; };

/** The parts of a run. */
export interface SoakEnvironment extends SoakServers {
    readonly seed: number;
    readonly random: RandomSource;
    /** Milliseconds since the run began. */
    readonly now: () => number;
    readonly logEvent: (text: string) => void;
    /** Where the logs of the boxes lie. */
    readonly logFolder: string;
    readonly store: MetadataStore;
    readonly storeServer: MetadataStoreServer;
    readonly storeLinks: readonly FaultProxy[];
    /** Servers beyond which none is replaced, since each release adds a process' worth of sockets. */
    readonly mostServers: number;
    readonly boxes: readonly BoxProcess[];
    readonly destinations: readonly Destination[];
    readonly customers: SoakCustomers;
    /** Which boxes are in touch with the store; faults tell it whom they strike. */
    readonly storeConnectivity: StoreConnectivity;
    /** Writes the next version: each customer has a new key, and the lookups' service changes with every other one. */
    readonly writeNextConfiguration: () => void;
    readonly stopAll: () => Promise<void>;
}

export interface SoakEnvironmentOptions {
    readonly seed: number;
    readonly random: RandomSource;
    readonly boxes: number;
    readonly mostServers: number;
    readonly onEvent: ((line: string) => void) | undefined;
}

/** Starts everything; boxes may still be starting when it resolves. */
export async function startSoakEnvironment(options: SoakEnvironmentOptions): Promise<SoakEnvironment> {
    const { random } = options;
    const startedAt = performance.now();
    const now = () => performance.now() - startedAt;
    const say = (text: string) => options.onEvent?.(`seed=${options.seed} at=${Math.round(now())} ${text}`);
    const store = createMetadataStore({ clock: () => milliseconds(now()) });
    const storeServer = await serveMetadataStore(store);
    const folder = mkdtempSync(join(tmpdir(), `chalkdale-soak-${options.seed}-`));
    const servers = createSoakServers({ now, store });
    const destinations: Destination[] = [];
    const customers = createSoakCustomers(now, inForceWithin);
    const storeLinks: FaultProxy[] = [];
    let version = 1;

    await startServers();
    configure();
    const boxes = await startBoxes();
    return {
        seed: options.seed,
        random,
        now,
        logEvent: say,
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
        writeNextConfiguration: configure,
        stopAll,
    };

    async function startServers(): Promise<void> {
        for (const service of ["profiles", "packs"]) {
            for (let index = 0; index < serversPerService; index++) {
                await servers.addServer(service, zoneNames[index % zoneNames.length]);
            }
        }
    }

    function configure(): void {
        version += 1 + Math.floor(random() * 5);
        const lookups = version % 2 === 0 ? "profiles" : "packs";
        const rules = Object.entries(servicesByPath).map(([path, service]): RuleOptions => ({
            name: path,
            path,
            kind: kindsByPath[path] ?? "safe",
            service: path === "/lookup/" ? lookups : service,
        }));
        rules.forEach(noteDestination);
        store.put("config", "main", configurationObject(version, soakHost, rules, customers.rotateKeys(version)));
    }

    /** Notes from when on a path's requests may run at a service, and until when they still may at the one before. */
    function noteDestination({ path, service = "" }: RuleOptions): void {
        const old = destinations.findIndex(entry => entry.path === path && entry.to === Infinity);
        if (old >= 0 && destinations[old].service !== service) {
            destinations[old] = { ...destinations[old], to: now() + inForceWithin };
        }
        if (old < 0 || destinations[old].to !== Infinity) {
            destinations.push({ path, service, from: now(), to: Infinity });
        }
    }

    async function startBoxes(): Promise<BoxProcess[]> {
        const created: BoxProcess[] = [];
        const network = ownNetwork();
        for (let index = 0; index < options.boxes; index++) {
            // So the store can tell the boxes apart.
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

/** Loopback addresses of this process alone: two soaks at once would take each other's ports. */
function ownNetwork(): string {
    const { pid } = process;
    return `127.${firstOwnNetwork + (pid >> 8) % ownNetworks}.${pid % 256}`;
}

/** Second bytes of such addresses: those below are for other tests. */
const firstOwnNetwork = 100;
const ownNetworks = 128;

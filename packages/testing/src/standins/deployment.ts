/**
 * A small deployment on loopback: the stand-in store, stand-in servers, and
 * boxes in this process, each with an address of its own.
 */

import { type Box, createTrafficMeter, startBox } from "@chalkdale/box";
import { incarnationId, type Milliseconds, milliseconds } from "@chalkdale/kernel";
import { createLog, type Log } from "@chalkdale/runtime";
import { createObjectReader, createStoreClient, platformProtocol, readSettings } from "@chalkdale/users-platform";
import { type ServerStandIn, type ServerStandInOptions, startServerStandIn } from "./backend-server.js";
import { type MetadataStoreServer, serveMetadataStore } from "./metadata-store-server.js";
import { createMetadataStore, type MetadataStore } from "./metadata-store.js";
import {
    configurationObject,
    rolloutObject,
    type RuleOptions,
    serverObject,
    type ServerPlace,
    type TenantOptions,
} from "./platform-objects.js";

/** A box of the deployment. */
export interface TestBox {
    readonly name: string;
    readonly running: Box;
    readonly callers: string;
    readonly directory: string;
    readonly readiness: string;
    readonly peers: string;
    /** Where its figures are read; nothing listens there unless a port was given. */
    readonly metrics: string;
    /** Lines that the box has logged. */
    readonly logged: readonly string[];
}

/** The deployment. */
export interface Deployment {
    readonly store: MetadataStore;
    readonly storeServer: MetadataStoreServer;
    readonly addServer: (options: ServerStandInOptions & ServerPlace) => Promise<ServerStandIn>;
    /** Writes the record of a server again, with changes. */
    readonly recordServer: (backend: ServerStandIn, place: ServerPlace) => void;
    readonly configure: (version: number, rules: readonly RuleOptions[], tenants?: readonly TenantOptions[]) => void;
    /** Orders a service onto servers of a version. */
    readonly orderVersion: (service: string, version: string, over: string) => void;
    /** State that boxes wrote for a service's order; undefined before they did. */
    readonly rolloutState: (service: string) => string | undefined;
    readonly startBox: (options?: BoxOptions) => TestBox;
    /**
     * Starts a box in each zone of the list, with the first one as seed; resolves once all are ready and know each other. `hosts`: their
     * loopback addresses, so that servers can tell them apart.
     */
    readonly startBoxes: (zones: readonly string[], hosts?: readonly string[]) => Promise<readonly TestBox[]>;
    readonly close: () => Promise<void>;
}

/** How a box is started. */
export interface BoxOptions {
    readonly zone?: string;
    readonly seeds?: readonly string[];
    /** Loopback address of the box, so that the store can tell boxes apart. */
    readonly host?: string;
    /** Memory limit of the box in megabytes; none without it. */
    readonly memoryMb?: number;
    /** Port of the box's figures on its host; none are told without it. */
    readonly metricsPort?: number;
    /** A stopped box whose name and addresses the new one takes over. */
    readonly sameAs?: TestBox;
}

/** What the whole deployment has in common. */
interface DeploymentOptions {
    /** Bounds of the settings besides those that every deployment of the tests has. */
    readonly bounds?: readonly string[];
    /** Era that the store tells from the start; it tells none if this is left out, until it is restored. */
    readonly storeEra?: number;
}

/** Host that all rules of the tests are for. */
export const testHost = "app.example";

const commonBounds = ["budget_ratio=0.2", "budget_window=10s", "budget_slack=58", "grace=500ms", "ttl_max=5s"];
const zones: Readonly<Record<string, string>> = { "north-a": "north", "north-b": "north", "south-a": "south" };
/** Ports of the boxes: below the range from which the kernel takes ports for outgoing connections. */
let nextPort = 20_000 + (process.pid % 100) * 100;

/** Starts the store; servers, boxes and configurations follow by calls. */
export async function startDeployment(options: DeploymentOptions = {}): Promise<Deployment> {
    const clock = () => milliseconds(performance.now());
    const store = createMetadataStore({ clock, era: options.storeEra });
    const storeServer = await serveMetadataStore(store);
    const backends: ServerStandIn[] = [];
    const boxes: TestBox[] = [];

    return {
        store,
        storeServer,
        async addServer(serverOptions) {
            const backend = await startServerStandIn(serverOptions);
            backends.push(backend);
            recordServer(backend, serverOptions);
            return backend;
        },
        recordServer,
        configure(version, rules, tenants) {
            store.put("config", "main", configurationObject(version, testHost, rules, tenants));
        },
        orderVersion(service, version, over) {
            store.put("rollouts", service, rolloutObject(service, version, over));
        },
        rolloutState(service) {
            const { body } = store.get("rollouts", service);
            return (body as { readonly status?: { readonly state: string; }; } | undefined)?.status?.state;
        },
        startBox: startTestBox,
        startBoxes,
        async close() {
            await Promise.all(boxes.map(box => box.running.stop()));
            backends.forEach(backend => backend.close());
            storeServer.close();
        },
    };

    function startTestBox(boxOptions: BoxOptions = {}): TestBox {
        const box = createBox(boxOptions.sameAs?.name ?? `box-${boxes.length + 1}`, boxOptions);
        boxes.push(box);
        return box;
    }

    async function startBoxes(
        zonesOfBoxes: readonly string[],
        hosts: readonly string[] = [],
    ): Promise<readonly TestBox[]> {
        const started: TestBox[] = [];
        for (const [index, zone] of zonesOfBoxes.entries()) {
            const seeds = started.slice(0, 1).map(first => first.peers);
            started.push(startTestBox({ zone, seeds, host: hosts[index] }));
        }
        for (const { logged, name, running } of started) {
            await eventually(() => running.isReady(), `${name} is ready`);
            await eventually(() => logged.some(line => line.includes(`alive=${started.length}`)), `${name} knows all`);
        }
        return started;
    }

    function recordServer(backend: ServerStandIn, place: ServerPlace): void {
        store.put("servers", backend.id, serverObject(backend.address(), place));
    }

    function createBox(name: string, { sameAs, ...boxOptions }: BoxOptions): TestBox {
        const { host = "127.0.0.1", memoryMb, metricsPort, seeds = [], zone = "north-a" } = boxOptions;
        const [callers, directory, readiness, peers] = sameAs === undefined
            ? [0, 1, 2, 3].map(() => `${host}:${nextPort++}`)
            : [sameAs.callers, sameAs.directory, sameAs.readiness, sameAs.peers];
        const settings = readSettings(
            settingsText({ name, zone, callers, directory, readiness, peers, seeds, memoryMb }),
        );
        if (settings.err) {
            throw new Error(settings.val.join("; "));
        }
        const logged: string[] = [];
        const log: Log = process.env.CHALKDALE_TEST_LOG === "1"
            ? createLog()
            : createLog({ write: line => logged.push(line) });
        const { box: boxSettings, storeAddress } = settings.val;
        const traffic = createTrafficMeter();
        const running = startBox({
            settings: {
                ...boxSettings,
                metrics: metricsPort === undefined ? undefined : { host, port: metricsPort },
            },
            protocol: platformProtocol,
            store: createStoreClient({
                address: storeAddress,
                localAddress: host,
                reader: createObjectReader(boxSettings.regionOfZone),
                log,
                traffic,
                random: Math.random,
            }),
            clock,
            random: Math.random,
            log,
            traffic,
            incarnation: incarnationId(`${Date.now().toString(36)}-${nextPort}`),
        });
        return { name, running, callers, directory, readiness, peers, metrics: `${host}:${metricsPort}`, logged };
    }

    function settingsText(box: {
        readonly name: string;
        readonly zone: string;
        readonly callers: string;
        readonly directory: string;
        readonly readiness: string;
        readonly peers: string;
        readonly seeds: readonly string[];
        readonly memoryMb: number | undefined;
    }): string {
        return [
            `node_name=${box.name}`,
            `region=${zones[box.zone]}`,
            `zone=${box.zone}`,
            ...Object.entries(zones).map(([zone, region]) => `zones.${zone}=${region}`),
            `listen.front=${box.callers}`,
            `listen.ready=${box.readiness}`,
            `listen.directory=${box.directory}`,
            `listen.control=${box.peers}`,
            `seeds=${box.seeds.join(",")}`,
            ...box.memoryMb === undefined ? [] : [`limits.memory_mb=${box.memoryMb}`],
            `bounds=${[...commonBounds, ...options.bounds ?? []].join(",")}`,
            `platform.address=${storeServer.address()}`,
            "a.field.of.later=ignored",
        ].join("\n");
    }
}

/** Resolves once a condition holds. Rejects when it does not for long. */
export async function eventually(condition: () => boolean | Promise<boolean>, what: string): Promise<void> {
    const end = performance.now() + longestWait;
    while (!await condition()) {
        if (performance.now() > end) {
            throw new Error(`did not come about: ${what}`);
        }
        await pause(milliseconds(pollInterval));
    }
}

const longestWait = 20_000;
const pollInterval = 15;

/** Waits for so long. */
export function pause(duration: Milliseconds): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, duration));
}

/**
 * A small deployment on loopback: the stand-in store, stand-in servers, and boxes that run in this process, each at its
 * own addresses.
 */

import { type Box, createLoopShare, createTrafficMeter, startBox } from "@chalkdale/box";
import { incarnationId, type Milliseconds, milliseconds } from "@chalkdale/kernel";
import { createLog } from "@chalkdale/runtime";
import { createObjectReader, createStoreClient, parseSettings, platformProtocol } from "@chalkdale/users-platform";
import { type ServerStandIn, type ServerStandInOptions, startServerStandIn } from "./backend-server.js";
import { type MetadataStoreServer, serveMetadataStore } from "./metadata-store-server.js";
import { createMetadataStore, type MetadataStore } from "./metadata-store.js";
import {
    configurationObject,
    rolloutObject,
    type RuleOptions,
    serverObject,
    type ServerRecordOptions,
    type TenantOptions,
} from "./platform-objects.js";

/** A box of the deployment. */
export interface TestBox {
    readonly name: string;
    readonly running: Box;
    readonly callerAddress: string;
    readonly directoryAddress: string;
    readonly readinessAddress: string;
    readonly peerAddress: string;
    /** Address of its metrics; nothing listens there unless a port was given. */
    readonly metrics: string;
    /** Lines that the box has logged so far. */
    readonly logLines: readonly string[];
}

/** The deployment. */
export interface TestDeployment {
    readonly store: MetadataStore;
    readonly storeServer: MetadataStoreServer;
    readonly addServer: (options: ServerStandInOptions & ServerRecordOptions) => Promise<ServerStandIn>;
    /** Writes the record of a server again, with changes. */
    readonly writeServerRecord: (server: ServerStandIn, recordOptions: ServerRecordOptions) => void;
    readonly configure: (version: number, rules: readonly RuleOptions[], tenants?: readonly TenantOptions[]) => void;
    /** Writes an order to roll a service out to a version within the duration `over`. */
    readonly orderRollout: (service: string, version: string, over: string) => void;
    /** State of a service's roll-out as boxes wrote it; undefined before the first write. */
    readonly rolloutState: (service: string) => string | undefined;
    readonly startBox: (options?: TestBoxOptions) => TestBox;
    /**
     * Starts a box in each zone of the list, with the first one as seed; resolves once all are ready and know each
     * other. `hosts` are their loopback addresses, by which servers can tell them apart.
     */
    readonly startBoxes: (zones: readonly string[], hosts?: readonly string[]) => Promise<readonly TestBox[]>;
    readonly close: () => Promise<void>;
}

/** How a box is started. */
export interface TestBoxOptions {
    readonly zone?: string;
    readonly seeds?: readonly string[];
    /** Loopback address of the box, by which the store can tell boxes apart. */
    readonly host?: string;
    /** Memory limit of the box in megabytes; none without it. */
    readonly memoryMb?: number;
    /** Port of the box's metrics on its host; not served without it. */
    readonly metricsPort?: number;
    /** A stopped box whose name and addresses the new one takes over. */
    readonly replacing?: TestBox;
}

/** Options of the whole deployment. */
interface DeploymentOptions {
    /** Entries of the setting `bounds` in addition to the common ones. */
    readonly bounds?: readonly string[];
    /** Retries allowed beyond the ratio, in a window of 10 s, for all boxes together. */
    readonly retryAllowance?: number;
    /** First epoch that the store reports; without it, the store reports none until it is restored. */
    readonly storeEpoch?: number;
}

/** Host name of all routes in tests. */
export const testHost = "app.example";

const commonBounds = ["budget_ratio=0.2", "budget_window=10s", "grace=500ms", "ttl_max=5s"];
/**
 * Ample by default: a box that has just started has nothing saved of a small allowance, and most tests begin with their
 * first request.
 */
const defaultRetryAllowance = 5800;
const zones: Readonly<Record<string, string>> = { "north-a": "north", "north-b": "north", "south-a": "south" };
/** Next port of a box: below the range from which the kernel takes ports for outgoing connections. */
let nextPort = 20_000 + (process.pid % 100) * 100;

/** Starts the store only; servers, boxes and configurations are added by calls. */
export async function startTestDeployment(options: DeploymentOptions = {}): Promise<TestDeployment> {
    const clock = () => milliseconds(performance.now());
    const { retryAllowance = defaultRetryAllowance } = options;
    const store = createMetadataStore({ clock, epoch: options.storeEpoch });
    const storeServer = await serveMetadataStore(store);
    const servers: ServerStandIn[] = [];
    const boxes: TestBox[] = [];

    return {
        store,
        storeServer,
        async addServer(serverOptions) {
            const server = await startServerStandIn(serverOptions);
            servers.push(server);
            recordServer(server, serverOptions);
            return server;
        },
        writeServerRecord: recordServer,
        configure(version, rules, tenants) {
            store.put("config", "main", configurationObject(version, testHost, rules, tenants));
        },
        orderRollout(service, version, over) {
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
            servers.forEach(server => server.close());
            storeServer.close();
        },
    };

    function startTestBox(boxOptions: TestBoxOptions = {}): TestBox {
        const box = createBox(boxOptions.replacing?.name ?? `box-${boxes.length + 1}`, boxOptions);
        boxes.push(box);
        return box;
    }

    async function startBoxes(
        boxZones: readonly string[],
        hosts: readonly string[] = [],
    ): Promise<readonly TestBox[]> {
        const started: TestBox[] = [];
        for (const [index, zone] of boxZones.entries()) {
            const seeds = started.slice(0, 1).map(first => first.peerAddress);
            started.push(startTestBox({ zone, seeds, host: hosts[index] }));
        }
        for (const { logLines, name, running } of started) {
            await waitUntil(() => running.isReady(), `${name} is ready`);
            await waitUntil(() => logLines.some(line => line.includes(`alive=${started.length}`)), `${name} knows all`);
        }
        return started;
    }

    function recordServer(server: ServerStandIn, recordOptions: ServerRecordOptions): void {
        store.put("servers", server.id, serverObject(server.address(), recordOptions));
    }

    function createBox(name: string, { replacing, ...boxOptions }: TestBoxOptions): TestBox {
        const { host = "127.0.0.1", memoryMb, metricsPort, seeds = [], zone = "north-a" } = boxOptions;
        const [callers, directory, readiness, peers] = replacing === undefined
            ? [0, 1, 2, 3].map(() => `${host}:${nextPort++}`)
            : [replacing.callerAddress, replacing.directoryAddress, replacing.readinessAddress, replacing.peerAddress];
        const settings = parseSettings(
            settingsText({ name, zone, callers, directory, readiness, peers, seeds, memoryMb }),
        );
        if (settings.err) {
            throw new Error(settings.val.join("; "));
        }
        const lines: string[] = [];
        const log = createLog({
            write(line) {
                lines.push(line);
                if (process.env.CHALKDALE_TEST_LOG === "1") {
                    process.stdout.write(`${name} ${line}\n`);
                }
            },
        });
        const { box: boxSettings, storeAddress } = settings.val;
        const traffic = createTrafficMeter();
        const loopShare = createLoopShare(clock);
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
                loopShare,
                random: Math.random,
            }),
            loopShare,
            clock,
            random: Math.random,
            log,
            traffic,
            incarnation: incarnationId(`${Date.now().toString(36)}-${nextPort}`),
        });
        return {
            name,
            running,
            callerAddress: callers,
            directoryAddress: directory,
            readinessAddress: readiness,
            peerAddress: peers,
            metrics: `${host}:${metricsPort}`,
            logLines: lines,
        };
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
            `bounds=${[...commonBounds, `budget_slack=${retryAllowance}`, ...options.bounds ?? []].join(",")}`,
            `platform.address=${storeServer.address()}`,
            "a.field.of.later=ignored",
        ].join("\n");
    }
}

/** Polls a condition and resolves once it holds; rejects after 20 s. `description` completes the error message. */
export async function waitUntil(condition: () => boolean | Promise<boolean>, description: string): Promise<void> {
    const deadline = performance.now() + maxWait;
    while (!await condition()) {
        if (performance.now() > deadline) {
            throw new Error(`timed out waiting until ${description}`);
        }
        await pause(milliseconds(pollInterval));
    }
}

/** Milliseconds. */
const maxWait = 20_000;
const pollInterval = 15;

/** Resolves after the duration. */
export function pause(duration: Milliseconds): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, duration));
}

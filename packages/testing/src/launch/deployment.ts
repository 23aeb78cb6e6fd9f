/**
 * Starts a whole deployment as separate processes on loopback: the platform's
 * stand-in, backend servers, and the programs of each box.
 */

import {
    configuredBoxes,
    type MemberList,
    pathsOfKind,
    regionId,
    serverId,
    serviceId,
    type SettingsDocument,
    zoneId,
} from "@chalkdale/core";
import { createHttpPlatform, objectKeys, type Platform } from "@chalkdale/platform";
import { type Address, sleep, urlOf } from "@chalkdale/runtime";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { request } from "undici";
import { stringify } from "yaml";
import { type StartedProcess, startProcess } from "./process.js";

/** Backend servers of one service. */
export interface BackendFleet {
    readonly service: string;
    readonly count: number;
}

/** One box's processes. */
export interface RunningBox {
    readonly id: string;
    readonly zone: string;
    readonly region: string;
    readonly callers: Address;
    readonly peers: Address;
    readonly operators: { readonly entry: Address; readonly agent: Address; };
    agent: StartedProcess;
    entry: StartedProcess;
}

/** A backend server of the deployment. */
export interface RunningBackend {
    readonly id: string;
    readonly service: string;
    readonly zone: string;
    readonly address: Address;
}

/** A running deployment. */
export interface Deployment {
    readonly platform: Platform;
    readonly platformAddress: Address;
    readonly boxes: readonly RunningBox[];
    readonly backends: readonly RunningBackend[];
    readonly backendAdmin: Address;
    /** Writes the list of one zone, with some members leaving. */
    readonly writeMembers: (zone: string, leaving: ReadonlySet<string>) => Promise<void>;
    /** Starts the programs of a box anew. */
    readonly startAgent: (box: RunningBox) => void;
    readonly startEntry: (box: RunningBox) => void;
    readonly waitUntilReady: (timeout: number) => Promise<void>;
    readonly stop: () => Promise<void>;
}

export interface DeploymentOptions {
    readonly document: SettingsDocument;
    readonly fleets: readonly BackendFleet[];
    readonly basePort: number;
    /** Where the programs' logs go; inherited by default. */
    readonly onLog?: (process: string, line: string) => void;
    /** Milliseconds of work for a request, and slots, of each backend server. */
    readonly workTime?: number;
    readonly slots?: number;
    /** Runs all entry programs without callers in one process, so that many agents fit on a machine. */
    readonly sharedEntries?: boolean;
}

const host = "127.0.0.1";
const pollInterval = 50;
/** Backend servers listen from this port above the base; boxes take four ports each below it. */
const firstBackendPort = 1000;

/** Starts a deployment. All processes end with {@link Deployment.stop}. */
export async function startDeployment(options: DeploymentOptions): Promise<Deployment> {
    const owner = new AbortController();
    const folder = await mkdtemp(join(tmpdir(), "chalkdale-"));
    const platformAddress: Address = { address: host, port: options.basePort };
    const backendAdmin: Address = { address: host, port: options.basePort + 1 };
    const platform = createHttpPlatform(urlOf(platformAddress), owner.signal);
    const backends = placeBackends(options);
    const support = [
        start("platform", "packages/testing/dist/src/launch/platform-process.js", [String(platformAddress.port)]),
        start("backends", "packages/testing/dist/src/launch/backends-process.js", [
            String(backendAdmin.port),
            String(options.workTime ?? 5),
            String(options.slots ?? 6),
            ...backends.map(({ id, address }) => `${id}:${address.port}`),
        ]),
    ];
    await waitFor(() => answers(platformAddress, "/admin/counts"));
    await waitFor(() => answers(backendAdmin, "/counts"));
    await platform.create(objectKeys.settings, { document: options.document, edits: [] }, call());
    const boxes = placeBoxes(options);
    for (const zone of pathsOfKind(options.document, "zone")) {
        await writeMembers(zone.split("/")[3], new Set());
    }
    for (const box of boxes) {
        await writeBoxFile(box);
        startAgent(box);
        if (options.sharedEntries !== true) {
            startEntry(box);
        }
    }
    if (options.sharedEntries === true) {
        support.push(start("entries", "packages/testing/dist/src/launch/entries-process.js", boxes.map(boxFile)));
    }
    return {
        platform,
        platformAddress,
        boxes,
        backends,
        backendAdmin,
        writeMembers,
        startAgent,
        startEntry,
        waitUntilReady: timeout =>
            waitFor(async () => (await Promise.all(boxes.map(isBoxReady))).every(ready => ready), timeout),
        stop,
    };

    function isBoxReady(box: RunningBox): Promise<boolean> {
        return answers(options.sharedEntries === true ? box.operators.agent : box.operators.entry, "/readyz");
    }

    function start(name: string, script: string, args: readonly string[]): StartedProcess {
        return startProcess(name, script, args, line => options.onLog?.(name, line));
    }

    function call() {
        return { timeout: 5000, signal: owner.signal };
    }

    function boxFile(box: { readonly id: string; }): string {
        return join(folder, `${box.id}.yaml`);
    }

    async function writeBoxFile(box: RunningBox): Promise<void> {
        const text = ({ address, port }: Address) => `${address}:${port}`;
        await writeFile(
            boxFile(box),
            stringify({
                box: box.id,
                deployment: options.document.deployment,
                region: box.region,
                zone: box.zone,
                callers: text(box.callers),
                peers: text(box.peers),
                operators: { entry: text(box.operators.entry), agent: text(box.operators.agent) },
                platform: text(platformAddress),
                seeds: boxes.filter(other => other.id !== box.id).slice(0, 3).map(other => text(other.peers)),
            }),
        );
    }

    function startAgent(box: RunningBox): void {
        box.agent = start(`${box.id}/agent`, "packages/agent/bin/chalkdale-agent.js", ["--settings", boxFile(box)]);
    }

    function startEntry(box: RunningBox): void {
        box.entry = start(`${box.id}/entry`, "packages/entry/bin/chalkdale-entry.js", ["--settings", boxFile(box)]);
    }

    async function writeMembers(zone: string, leaving: ReadonlySet<string>): Promise<void> {
        const path = pathsOfKind(options.document, "zone").find(candidate => candidate.endsWith(`/${zone}`)) ?? "";
        const stateOf = (id: string) => leaving.has(id) ? "leaving" as const : "live" as const;
        const list: MemberList = {
            region: regionId(path.split("/")[2]),
            zone: zoneId(zone),
            boxes: boxes.filter(box => box.zone === zone).map(box => ({
                id: box.id as MemberList["boxes"][number]["id"],
                address: box.callers.address,
                port: box.callers.port,
                peerPort: box.peers.port,
                state: stateOf(box.id),
            })),
            servers: backends.filter(backend => backend.zone === zone).map(backend => ({
                id: serverId(backend.id),
                service: serviceId(backend.service),
                address: backend.address.address,
                port: backend.address.port,
                state: stateOf(backend.id),
            })),
        };
        const key = objectKeys.members(zone);
        const current = await platform.get(key, call());
        if (current.kind === "done") {
            await platform.update(key, current.value.version, list, call());
            return;
        }
        await platform.create(key, list, call());
    }

    async function stop(): Promise<void> {
        const running = boxes.flatMap(box => [box.entry as StartedProcess | undefined, box.agent]);
        await Promise.all(running.map(process => process?.stop()));
        await Promise.all(support.map(process => process.stop()));
        owner.abort();
        await rm(folder, { recursive: true, force: true });
    }
}

function placeBackends({ document, fleets, basePort }: DeploymentOptions): RunningBackend[] {
    const zones = pathsOfKind(document, "zone").map(path => path.split("/")[3]);
    let port = basePort + firstBackendPort;
    return fleets.flatMap(({ service, count }) =>
        Array.from({ length: count }, (_, index) => ({
            id: `${service}-${index + 1}`,
            service,
            zone: zones[index % zones.length],
            address: { address: host, port: port++ },
        }))
    );
}

function placeBoxes({ document, basePort }: DeploymentOptions): RunningBox[] {
    const ids = configuredBoxes(document);
    return pathsOfKind(document, "zone").flatMap(path =>
        (document.nodes[path].boxes ?? []).map(id => {
            const port = basePort + 10 + ids.findIndex(box => box === id) * 4;
            return {
                id,
                zone: path.split("/")[3],
                region: path.split("/")[2],
                callers: { address: host, port },
                peers: { address: host, port: port + 1 },
                operators: {
                    entry: { address: host, port: port + 2 },
                    agent: { address: host, port: port + 3 },
                },
                agent: undefined as unknown as StartedProcess,
                entry: undefined as unknown as StartedProcess,
            };
        })
    );
}

/** Returns whether an address answers a GET with status 200. */
export async function answers(address: Address, path: string): Promise<boolean> {
    try {
        const { statusCode, body } = await request(urlOf(address, path), { signal: AbortSignal.timeout(1000) });
        await body.dump();
        return statusCode === 200;
    }
    catch {
        return false;
    }
}

/** Waits until a condition holds; throws when it does not in time. */
export async function waitFor(condition: () => Promise<boolean>, timeout = 20_000): Promise<void> {
    const end = performance.now() + timeout;
    while (!await condition()) {
        if (performance.now() > end) {
            throw new Error("a condition did not come true in time");
        }
        await sleep(pollInterval, new AbortController().signal);
    }
}

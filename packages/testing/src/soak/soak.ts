/**
 * One run of the fault soak: boxes as processes of their own, a store and
 * servers behind harmful links, callers without pause, and faults drawn from a
 * seed. All waiting is real time; the verdict rests on promises with wide bounds.
 */

import { createSeededRandom, milliseconds, type RandomSource } from "@chalkdale/core";
import { mkdtempSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { type Backend, type BackendBehaviour, startBackend } from "../users-platform/backend.js";
import { type Client, createClient } from "../users-platform/client.js";
import { pause } from "../users-platform/deployment.js";
import { serveMetadataStore, type StoreFault } from "../users-platform/metadata-store-server.js";
import { createMetadataStore } from "../users-platform/metadata-store.js";
import { type BoxProcess, createBoxProcess } from "./box-process.js";
import { type Breach, findBreaches, type Interval, type ObservedAttempt, type ObservedRun } from "./checks.js";
import { type LinkState, type Proxy, startProxy } from "./proxy.js";

export interface SoakOptions {
    readonly seed: number;
    /** Time with faults, in milliseconds. */
    readonly length: number;
    readonly boxes?: number;
    readonly callers?: number;
    /** Told of each fault and breach. */
    readonly onEvent?: (line: string) => void;
}

/** What came of a run. */
export interface SoakResult {
    readonly seed: number;
    readonly attempts: number;
    readonly served: number;
    readonly faults: number;
    readonly breaches: readonly Breach[];
    /** Where the logs of the boxes lie. */
    readonly folder: string;
}

const zones: Readonly<Record<string, string>> = { "north-a": "north", "north-b": "north", "south-a": "south" };
const zoneNames = Object.keys(zones);
const servicesByPath: Readonly<Record<string, string>> = {
    "/lookup/": "profiles",
    "/save/": "profiles",
    "/pack/": "packs",
};
const host = "app.example";
/** A change must be in force after this long once the store answers again; the boxes' own bounds are 2 to 3 s. */
const inForceWithin = 7000;
const recoverWithin = 9000;
const observedAfterRecovery = 2500;
const serversPerService = 4;
const serverWork = 40;

interface SoakServer {
    readonly backend: Backend;
    readonly proxy: Proxy;
    readonly service: string;
    readonly zone: string;
    gone: boolean;
}

/** Plays one run. */
export async function runSoak(options: SoakOptions): Promise<SoakResult> {
    const random = createSeededRandom(options.seed);
    const startedAt = performance.now();
    const now = () => performance.now() - startedAt;
    const say = (text: string) => options.onEvent?.(`seed=${options.seed} at=${Math.round(now())} ${text}`);
    const store = createMetadataStore({ clock: () => milliseconds(now()) });
    const storeServer = await serveMetadataStore(store);
    const folder = mkdtempSync(join(tmpdir(), `chalkdale-soak-${options.seed}-`));
    const servers: SoakServer[] = [];
    const runs: ObservedRun[] = [];
    const attempts: ObservedAttempt[] = [];
    const drained = new Map<string, Interval>();
    const evacuated = new Map<string, Interval[]>();
    const destinations: (Interval & { path: string; service: string; })[] = [];
    const closedZones = new Set<string>();
    let version = 1;
    let faults = 0;
    let isOver = false;

    await startServers();
    configure();
    const storeLinks: Proxy[] = [];
    const boxes = await startBoxes();
    await waitUntilServed();
    const callers = Array.from({ length: options.callers ?? 6 }, (_, index) => runCaller(index));
    await injectFaults();
    const recoveredFrom = now() + recoverWithin;
    await pause(milliseconds(recoverWithin + observedAfterRecovery));
    isOver = true;
    await Promise.all(callers);
    await stopAll();

    const breaches = findBreaches({ attempts, runs, drained, evacuated, destinations, recoveredFrom });
    breaches.forEach(breach => say(`breach="${breach.promise}" at=${Math.round(breach.at)} ${breach.detail}`));
    const served = attempts.filter(attempt => attempt.answer.status === 200).length;
    return { seed: options.seed, attempts: attempts.length, served, faults, breaches, folder };

    async function startServers(): Promise<void> {
        for (const service of ["profiles", "packs"]) {
            for (let index = 0; index < serversPerService; index++) {
                await addServer(service, zoneNames[index % zoneNames.length]);
            }
        }
    }

    async function addServer(service: string, zone: string): Promise<void> {
        const backend = await startBackend({ id: `i-${service}-${servers.length}` });
        backend.setWork(serverWork);
        const proxy = await startProxy(backend.address());
        const server = { backend, proxy, service, zone, gone: false };
        servers.push(server);
        observeRuns(server);
        record(server, "ready");
    }

    /** Notes each run when it begins. */
    function observeRuns(server: SoakServer): void {
        const list = server.backend.runs as ObservedRun[];
        const push = list.push.bind(list);
        list.push = (...begun) => {
            for (const run of begun) {
                runs.push({ ...run, at: now(), server: server.backend.id, service: server.service, zone: server.zone });
            }
            return push(...begun);
        };
    }

    function record(server: SoakServer, state: string): void {
        store.put("servers", server.backend.id, {
            service: server.service,
            address: server.proxy.address(),
            zone: server.zone,
            version: "v1",
            slots: 4,
            state,
            cold_left: "0ms",
            call_seq: 1,
        });
    }

    /** Writes the next version; the lookups' service changes with every other one. */
    function configure(): void {
        version += 1 + Math.floor(random() * 5);
        const lookups = version % 2 === 0 ? "profiles" : "packs";
        const rules = Object.entries(servicesByPath).map(([path, service]) => ({
            name: path,
            kind: path === "/save/" ? "unsafe" : path === "/pack/" ? "download" : "safe",
            goal: "400ms",
            priority: 1,
            sticky: true,
            match: { path_prefix: path },
            action: {
                service: path === "/lookup/" ? lookups : service,
                timeout: "1500ms",
                max_attempts: 2,
                home_regions: [],
            },
        }));
        for (const rule of rules) {
            const old = destinations.findIndex(entry => entry.path === rule.name && entry.to === Infinity);
            if (old >= 0 && destinations[old].service !== rule.action.service) {
                destinations[old] = { ...destinations[old], to: now() + inForceWithin };
            }
            if (old < 0 || destinations[old].to !== Infinity) {
                destinations.push({ path: rule.name, service: rule.action.service, from: now(), to: Infinity });
            }
        }
        store.put("config", "main", {
            version: version.toString(16).padStart(8, "0"),
            limits: { max_header_bytes: 16384, max_body_bytes: 1_000_000, header_timeout: "3s", idle_timeout: "15s" },
            listeners: [{ host, rules }],
            clusters: ["profiles", "packs"].map(name => ({
                name,
                health_path: "/health",
                max_conns: 330,
                warmup: "3s",
                cold_per_s: 14,
            })),
        });
    }

    async function startBoxes(): Promise<BoxProcess[]> {
        const created: BoxProcess[] = [];
        const count = options.boxes ?? 5;
        const firstPort = 20_000 + (process.pid % 50) * 200;
        for (let index = 0; index < count; index++) {
            const link = await startProxy(storeServer.address());
            storeLinks.push(link);
            const box = createBoxProcess({
                name: `box-${index}`,
                host: `127.0.2.${index + 1}`,
                firstPort,
                zone: zoneNames[index % zoneNames.length],
                region: zones[zoneNames[index % zoneNames.length]],
                zones,
                store: link.address(),
                seeds: [`127.0.2.1:${firstPort + 3}`, `127.0.2.2:${firstPort + 3}`],
                folder,
            });
            box.start();
            created.push(box);
        }
        return created;
    }

    async function waitUntilServed(): Promise<void> {
        const client = createCaller("wait", true);
        const end = now() + 20_000;
        while (now() < end) {
            const answer = await client.call({ host, path: "/lookup/" }, { repeatable: true });
            if (answer.status === 200) {
                client.close();
                return;
            }
            await pause(milliseconds(100));
        }
        throw new Error("no box served within 20 s");
    }

    function createCaller(name: string, pooled: boolean): Client {
        const directories = boxes.map(box => box.directory);
        const shift = Math.floor(random() * directories.length);
        return createClient({
            directories: [...directories.slice(shift), ...directories.slice(0, shift)],
            region: "north",
            zone: "north-a",
            pooled,
            random,
            name: `s${options.seed}-${name}`,
            retries: 0,
        });
    }

    async function runCaller(index: number): Promise<void> {
        const client = createCaller(`c${index}`, index % 2 === 0);
        const paths = Object.keys(servicesByPath);
        for (let count = 0; !isOver; count++) {
            const path = paths[count % paths.length];
            const repeatable = path !== "/save/";
            const before = client.attempts();
            const at = now();
            const answer = await client.call({
                host,
                path,
                method: repeatable ? "GET" : "POST",
                body: repeatable ? undefined : "work",
                affinityKey: `k${count % 17}`,
                deadlineMs: 2000,
                leaveAfterMs: random() < 0.05 ? 60 : 4000,
            }, { repeatable });
            if (client.attempts() > before) {
                const requestId = `s${options.seed}-c${index}-${client.attempts()}`;
                attempts.push({ requestId, repeatable, at, box: "a box", answer });
            }
            await pause(milliseconds(10 + random() * 20));
        }
        client.close();
    }

    async function injectFaults(): Promise<void> {
        const ends: Promise<void>[] = [];
        const end = now() + options.length;
        while (now() < end) {
            faults += 1;
            ends.push(pick(everyFault(), random)());
            await pause(milliseconds(200 + random() * 900));
        }
        await Promise.all(ends);
        storeServer.setFault(() => ({ kind: "none" }));
        [...storeLinks, ...servers.map(server => server.proxy)].forEach(link => link.setState("whole"));
        boxes.filter(box => !box.isRunning()).forEach(box => box.start());
        say("faults=over");
    }

    /** All that may happen, each as likely as the others. */
    function everyFault(): (() => Promise<void>)[] {
        return [
            () => restart(pick(boxes, random), "SIGKILL"),
            () => restart(pick(boxes, random), "SIGTERM"),
            freeze,
            () => harmLink(storeLinks, "link to the store"),
            () => harmLink(servers.map(server => server.proxy), "link to a server"),
            failStore,
            misbehave,
            misbehave,
            release,
            evacuate,
            changeConfiguration,
            forgetHistory,
            resetLinks,
        ];
    }

    async function lasting(text: string, begin: () => void, end: () => void): Promise<void> {
        const duration = 500 + random() * 2500;
        say(`fault="${text}" for=${Math.round(duration)}`);
        begin();
        await pause(milliseconds(duration));
        end();
    }

    async function restart(box: BoxProcess, signal: NodeJS.Signals): Promise<void> {
        if (!box.isRunning()) {
            return;
        }
        say(`fault="${signal}" box=${box.name}`);
        box.signal(signal);
        await box.ended();
        await pause(milliseconds(random() * 800));
        if (!box.isRunning() && !isOver) {
            box.start();
        }
    }

    async function freeze(): Promise<void> {
        const box = pick(boxes, random);
        await lasting(`pause of ${box.name}`, () => box.signal("SIGSTOP"), () => box.signal("SIGCONT"));
    }

    async function harmLink(links: readonly Proxy[], text: string): Promise<void> {
        const link = pick(links, random);
        const state = pick<LinkState>(["delayed", "silent", "silentBack"], random);
        await lasting(`${state} ${text}`, () => link.setState(state), () => link.setState("whole"));
    }

    async function failStore(): Promise<void> {
        const fault = pick<StoreFault>(
            [
                { kind: "refused", status: 503 },
                { kind: "refused", status: 429 },
                { kind: "silent" },
                { kind: "reset" },
                { kind: "answerLost" },
                { kind: "late", afterMs: 900 },
            ],
            random,
        );
        await lasting(
            `store ${fault.kind}`,
            () => storeServer.setFault(() => fault),
            () => storeServer.setFault(() => ({ kind: "none" })),
        );
    }

    async function misbehave(): Promise<void> {
        const server = pick(servers, random);
        const behaviour = pick<BackendBehaviour>(
            [
                { kind: "shed" },
                { kind: "fail", status: 500 },
                { kind: "loseAnswer", by: "reset" },
                { kind: "loseAnswer", by: "close" },
                { kind: "breakOff", by: "reset" },
                { kind: "breakOff", by: "close" },
                { kind: "extra", afterMs: 0 },
                { kind: "extra", afterMs: 40 },
                { kind: "garbage" },
            ],
            random,
        );
        const share = 0.1 + random() * 0.6;
        await lasting(
            `${behaviour.kind} of ${server.backend.id}`,
            () => server.backend.setBehaviour(() => random() < share ? behaviour : { kind: "serve" }),
            () => server.backend.setBehaviour(() => ({ kind: "serve" })),
        );
    }

    /** A server drains and leaves; another of its service takes its place. */
    async function release(): Promise<void> {
        const server = servers.find(candidate => !candidate.gone);
        if (server === undefined || servers.length > mostServers) {
            return;
        }
        server.gone = true;
        say(`fault="release of ${server.backend.id}"`);
        await addServer(server.service, server.zone);
        record(server, "draining");
        drained.set(server.backend.id, { from: now() + inForceWithin, to: Infinity });
        await pause(milliseconds(3000));
        store.delete("servers", server.backend.id);
    }

    async function evacuate(): Promise<void> {
        const zone = pick(zoneNames, random);
        if (closedZones.has(zone) || closedZones.size === zoneNames.length - 1) {
            return;
        }
        closedZones.add(zone);
        say(`fault="evacuation of ${zone}"`);
        store.put("evacuations", zone, {});
        const from = now() + inForceWithin;
        await pause(milliseconds(inForceWithin + 2500 * random()));
        store.delete("evacuations", zone);
        closedZones.delete(zone);
        evacuated.set(zone, [...evacuated.get(zone) ?? [], { from, to: now() }]);
    }

    async function changeConfiguration(): Promise<void> {
        say("fault=\"configuration\"");
        configure();
    }

    async function forgetHistory(): Promise<void> {
        say("fault=\"history forgotten\"");
        store.compact();
    }

    async function resetLinks(): Promise<void> {
        say("fault=\"connections reset\"");
        [...storeLinks, ...servers.map(server => server.proxy)].filter(() => random() < 0.5).forEach(link =>
            link.reset()
        );
    }

    async function stopAll(): Promise<void> {
        boxes.forEach(box => box.signal("SIGCONT"));
        boxes.forEach(box => box.signal("SIGTERM"));
        await Promise.all(boxes.map(box => box.ended()));
        [...storeLinks, ...servers.map(server => server.proxy)].forEach(link => link.close());
        servers.forEach(server => server.backend.close());
        storeServer.close();
    }
}

const mostServers = 24;

function pick<Item>(items: readonly Item[], random: RandomSource): Item {
    return items[Math.floor(random() * items.length)];
}

// Starts boxes as separate processes, by the `run` line of the deploy file.
import { spawn } from "node:child_process";
import { createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join, resolve } from "node:path";
import { fileURLToPath } from "node:url";

export const root = resolve(dirname(fileURLToPath(import.meta.url)), "../..");
export const sleep = milliseconds => new Promise(done => setTimeout(done, milliseconds));

/** A network of loopback addresses of its own for each run. */
const network = `127.${20 + process.pid % 200}.${1 + Math.floor(process.pid / 200) % 250}`;
export const hostOf = number => `${network}.${number}`;

const isFree = (host, port) =>
    new Promise(done => {
        const server = createServer();
        server.once("error", () => done(false));
        server.listen(port, host, () => server.close(() => done(true)));
    });

/** Ports below those that outgoing connections get, free at all hosts. */
async function freePorts(count, hosts) {
    const ports = [];
    for (let tries = 0; ports.length < count && tries < 1000; tries++) {
        const port = 10_000 + Math.floor(Math.random() * 20_000);
        const areFree = await Promise.all(hosts.map(host => isFree(host, port)));
        if (!ports.includes(port) && areFree.every(Boolean)) {
            ports.push(port);
        }
    }
    if (ports.length < count) {
        throw new Error("no free ports");
    }
    return ports;
}

/** Milliseconds after which a script that has not ended could not run. */
const timeLimit = 115_000;
const started = new Set();

/** Runs a script's `main`, which resolves to 0, 1 or 2 as `run.sh` exits; ends all boxes where it could not run. */
export function runCase(main, note) {
    const fail = error => {
        note(`could not run: ${error?.stack ?? error}`);
        console.error(error);
        started.forEach(child => child.kill("SIGKILL"));
        process.exit(2);
    };
    process.on("uncaughtException", fail);
    process.on("unhandledRejection", fail);
    for (const signal of ["SIGTERM", "SIGINT", "SIGHUP"]) {
        process.on(signal, () => fail(new Error(`ended by ${signal}`)));
    }
    setTimeout(() => fail(new Error("not over in time")), timeLimit).unref();
    main().then(status => process.exit(status === 1 ? 10 : status), fail);
}

/** `zones`: region by zone; `places`: the zone of each box; `bounds`: the text of the settings. */
export async function createBoxes({ zones, places, bounds, contracts, store, limits = {} }) {
    const folder = mkdtempSync(join(process.env.TMPDIR ?? tmpdir(), "review-2-"));
    const deployFile = readFileSync(join(root, "deploy/system.toml"), "utf8");
    const [command, ...parameters] = /^run = "(.*)"$/m.exec(deployFile)[1].split(" ");
    const hosts = places.map((_, index) => hostOf(index + 1));
    const ports = await freePorts(5, hosts);
    const [front, ready, directory, control, metrics] = ports;
    const fields = { cpu_share: 0.54, cores: 1, memory_mb: 350, max_fds: 4100, link_mbps: 1000, ...limits };

    const boxes = places.map((zone, index) => {
        const name = `front-${zone}-${index + 1}`;
        const host = hosts[index];
        const file = join(folder, `${name}.conf`);
        writeFileSync(file, [
            `node_name=${name}`, "role=box", "machine_class=front", "serves=front,directory,control", `ip=${host}`,
            `zone=${zone}`, `region=${zones[zone]}`,
            ...Object.entries(zones).map(([zoneName, region]) => `zones.${zoneName}=${region}`),
            `listen.front=${host}:${front}`, `listen.ready=${host}:${ready}`, `listen.control=${host}:${control}`,
            `listen.directory=${host}:${directory}`,
            `seeds=${hosts.slice(0, 3).map(seed => `${seed}:${control}`).join(",")}`,
            "bootstrap=true", "counts_as_loss=false",
            ...Object.entries(fields).map(([field, value]) => `limits.${field}=${value}`),
            "discovery=platform", "entry=directory", "heartbeat=1500ms", `contracts=${contracts}`, `bounds=${bounds}`,
            `platform.address=${store}`, "platform.form=objects", "platform.history=20s",
        ].join("\n"));
        const log = createWriteStream(join(folder, `${name}.log`), { flags: "a" });
        let child;
        let isWanted = false;
        let selfEnded = 0;
        const box = {
            name, host, zone, region: zones[zone], file,
            front: `${host}:${front}`, ready: `${host}:${ready}`, directory: `${host}:${directory}`, metrics: `${host}:${metrics}`,
            logFile: join(folder, `${name}.log`),
            start() {
                const { PATH, HOME, LANG } = process.env;
                const launched = spawn(command === "node" ? process.execPath : command, parameters, {
                    cwd: root,
                    env: { PATH, HOME, LANG, CHALKDALE_SETTINGS: file, CHALKDALE_METRICS_PORT: String(metrics) },
                    stdio: ["ignore", "pipe", "pipe"],
                });
                child = launched;
                started.add(launched);
                isWanted = true;
                launched.stdout.pipe(log, { end: false });
                launched.stderr.pipe(log, { end: false });
                launched.once("exit", () => {
                    started.delete(launched);
                    if (isWanted && child === launched) {
                        selfEnded += 1;
                    }
                });
            },
            signal(name) {
                if (name === "SIGTERM" || name === "SIGKILL") {
                    isWanted = false;
                }
                child?.kill(name);
            },
            isRunning: () => child !== undefined && child.exitCode === null && child.signalCode === null,
            selfEnded: () => selfEnded,
            exited() {
                return box.isRunning() ? new Promise(done => child.once("exit", done)) : Promise.resolve();
            },
            async isReady() {
                try {
                    return (await fetch(`http://${box.ready}/v1/readiness`, { signal: AbortSignal.timeout(1000) })).status === 200;
                }
                catch {
                    return false;
                }
            },
        };
        return box;
    });
    return {
        boxes, folder,
        async waitUntilReady(timeout = 15_000) {
            const until = performance.now() + timeout;
            for (const box of boxes) {
                while (!await box.isReady()) {
                    if (performance.now() > until) {
                        throw new Error(`${box.name} is not ready`);
                    }
                    await sleep(100);
                }
            }
        },
        async end({ keep = false } = {}) {
            for (const box of boxes) {
                if (box.isRunning()) {
                    box.signal("SIGCONT");
                    box.signal("SIGKILL");
                    await box.exited();
                }
            }
            if (!keep) {
                rmSync(folder, { recursive: true, force: true });
            }
        },
    };
}

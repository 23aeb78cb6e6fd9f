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

async function freePort(host) {
    const server = createServer();
    await new Promise(done => server.listen(0, host, done));
    const { port } = server.address();
    await new Promise(done => server.close(done));
    return port;
}

/** `zones`: region by zone; `places`: the zone of each box; `bounds`: the text of the settings. */
export async function createBoxes({ zones, places, bounds, contracts, store, limits = {} }) {
    const folder = mkdtempSync(join(process.env.TMPDIR ?? tmpdir(), "review-2-"));
    const deployFile = readFileSync(join(root, "deploy/system.toml"), "utf8");
    const [command, ...parameters] = /^run = "(.*)"$/m.exec(deployFile)[1].split(" ");
    const hosts = places.map((_, index) => hostOf(index + 1));
    const ports = [];
    for (let index = 0; index < 5; index++) {
        ports.push(await freePort(hosts[0]));
    }
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
                const started = spawn(command === "node" ? process.execPath : command, parameters, {
                    cwd: root,
                    env: { PATH, HOME, LANG, CHALKDALE_SETTINGS: file, CHALKDALE_METRICS_PORT: String(metrics) },
                    stdio: ["ignore", "pipe", "pipe"],
                });
                child = started;
                isWanted = true;
                started.stdout.pipe(log, { end: false });
                started.stderr.pipe(log, { end: false });
                started.once("exit", () => {
                    if (isWanted && child === started) {
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

// Starts box processes with the `run` line and the `env` of deploy/system.toml, each on a loopback address of its own.
import { spawn } from "node:child_process";
import { createWriteStream, mkdirSync, readFileSync, writeFileSync } from "node:fs";
import { get } from "node:http";
import { createServer } from "node:net";
import { join } from "node:path";

/** Command and environment of the role, as deploy/system.toml gives them. */
function readDeployFile() {
    const text = readFileSync("deploy/system.toml", "utf8");
    const run = /^run = "(.+)"$/m.exec(text)[1].split(" ");
    const env = Object.fromEntries([...(/^env = \{(.*)\}$/m.exec(text)?.[1] ?? "").matchAll(/([A-Z_]+) = "([^"]*)"/g)].map(([, name, value]) => [name, value]));
    return { run, env };
}

async function freePorts(host, count) {
    const servers = await Promise.all(Array.from({ length: count }, () => new Promise(resolve => {
        const server = createServer();
        server.listen(0, host, () => resolve(server));
    })));
    const ports = servers.map(server => server.address().port);
    await Promise.all(servers.map(server => new Promise(resolve => server.close(resolve))));
    return ports;
}

/** Loopback addresses of this run: 127.x.y.1 and on, so that runs beside each other don't meet. */
export function loopbackAddresses() {
    const net = `127.${20 + process.pid % 200}.${Math.floor(process.pid / 200) % 250}`;
    let next = 0;
    return () => `${net}.${++next}`;
}

/** Prepares boxes in the given zones; `zones` maps zone to region. */
export async function createBoxes({ folder, nextAddress, zones, places, storeAddress, bounds }) {
    mkdirSync(folder, { recursive: true });
    const { env, run } = readDeployFile();
    const specs = [];
    for (const [index, zone] of places.entries()) {
        const host = nextAddress();
        const [front, ready, control, directory] = await freePorts(host, 4);
        specs.push({ name: `front-${zone}-${index + 1}`, zone, host, front, ready, control, directory });
    }
    const seeds = specs.slice(0, 3).map(({ host, control }) => `${host}:${control}`).join(",");
    return specs.map(spec => {
        const { control, directory, front, host, name, ready, zone } = spec;
        const settings = join(folder, `${name}.conf`);
        writeFileSync(settings, [
            `node_name=${name}`,
            "role=box",
            "machine_class=front",
            "serves=front,directory,control",
            `ip=${host}`,
            `zone=${zone}`,
            `region=${zones[zone]}`,
            ...Object.entries(zones).map(([other, region]) => `zones.${other}=${region}`),
            `listen.front=${host}:${front}`,
            `listen.ready=${host}:${ready}`,
            `listen.control=${host}:${control}`,
            `listen.directory=${host}:${directory}`,
            `seeds=${seeds}`,
            "bootstrap=true",
            "limits.cpu_share=0.54",
            "limits.cores=1",
            "limits.memory_mb=350",
            "limits.max_fds=4100",
            "limits.link_mbps=1000.0",
            "discovery=platform",
            "entry=directory",
            "heartbeat=1500ms",
            `bounds=${bounds}`,
            `platform.address=${storeAddress}`,
            "platform.form=objects",
            "platform.writes_per_s=400",
            "platform.reads_per_s=2000",
            "platform.history=20s",
            "platform.value_bytes=1048576",
            "",
        ].join("\n"));
        const log = createWriteStream(join(folder, `${name}.log`), { flags: "a" });
        let child;
        return {
            ...spec,
            frontAddress: `${host}:${front}`,
            start() {
                child = spawn(run[0], run.slice(1), {
                    env: { PATH: process.env.PATH, HOME: process.env.HOME ?? "", ...env, CHALKDALE_SETTINGS: settings },
                    stdio: ["ignore", "pipe", "pipe"],
                });
                child.stdout.pipe(log, { end: false });
                child.stderr.pipe(log, { end: false });
            },
            pid: () => child?.pid,
            signal: signal => child?.kill(signal),
            isRunning: () => child !== undefined && child.exitCode === null && child.signalCode === null,
            ended: () => new Promise(resolve => {
                if (child === undefined || child.exitCode !== null || child.signalCode !== null) {
                    resolve();
                    return;
                }
                child.once("exit", () => resolve());
            }),
            isReady: () => new Promise(resolve => {
                get({ host, port: ready, path: "/v1/readiness", agent: false }, response => {
                    response.resume();
                    resolve(response.statusCode === 200);
                }).on("error", () => resolve(false));
            }),
            /** Addresses that the directory of this box names to a client of the zone. */
            resolve: () => new Promise(resolve => {
                const path = `/v1/resolve?name=shop.example&region=${zones[zone]}&zone=${zone}`;
                get({ host, port: directory, path, agent: false }, async response => {
                    let text = "";
                    for await (const chunk of response) {
                        text += chunk;
                    }
                    resolve(response.statusCode === 200 ? JSON.parse(text).addresses : []);
                }).on("error", () => resolve([]));
            }),
        };
    });
}

export const pause = duration => new Promise(resolve => setTimeout(resolve, duration));

export async function waitUntil(condition, timeout) {
    const end = performance.now() + timeout;
    while (performance.now() < end) {
        if (await condition()) {
            return true;
        }
        await pause(50);
    }
    return false;
}

/** Ends all boxes and waits for it. */
export async function endBoxes(boxes) {
    boxes.filter(box => box.isRunning()).forEach(box => {
        box.signal("SIGCONT");
        box.signal("SIGKILL");
    });
    await Promise.all(boxes.map(box => box.ended()));
}

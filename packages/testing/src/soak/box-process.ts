/**
 * Runs one box as a separate process that the soak starts, stops, pauses and kills.
 *
 * Owns the box's settings file, its log file and the process.
 */

import { type ChildProcess, spawn } from "node:child_process";
import { createWriteStream, readFileSync, renameSync, rmSync, writeFileSync, type WriteStream } from "node:fs";
import { join, resolve } from "node:path";
import type { ConnectionCutKind } from "../standins/connection-cuts.js";
import { workspaceRoot } from "../workspace-root.js";
import { exposedAllowance, exposedShare } from "./checks.js";
import { boxCutFileVariable, type ConnectionCut, cutFileVariable } from "./connection-cut-file.js";
import { retryAllowance, retryRatio, retryWindow } from "./retry-checks.js";

/** Where a box listens, which locality and peers it has, and where its files go. */
export interface BoxProcessOptions {
    readonly name: string;
    readonly host: string;
    /** First of four successive ports: callers, readiness, directory and peers. */
    readonly firstPort: number;
    readonly zone: string;
    readonly region: string;
    /** Regions by availability zone. */
    readonly zones: Readonly<Record<string, string>>;
    /** Address of the store, `host:port`. */
    readonly store: string;
    /** Peer addresses through which the box finds the other boxes. */
    readonly seeds: readonly string[];
    /** Directory of the settings file and the log file. */
    readonly folder: string;
    /** Memory of its machine in megabytes; undefined for no limit. The heap is limited as in the deploy file. */
    readonly memoryMb?: number;
    /** File descriptors that the box may use; undefined for no limit. */
    readonly maxDescriptors?: number;
    /** False to leave the box's output unread; the default writes it to the log file. */
    readonly readLog?: boolean;
}

/** A box process; `start` may be called again once it has ended. */
export interface BoxProcess {
    readonly name: string;
    /** The box's address without a port. */
    readonly host: string;
    readonly zone: string;
    readonly callerAddress: string;
    readonly directoryAddress: string;
    readonly readinessAddress: string;
    /** Where other boxes reach it. */
    readonly peerAddress: string;
    readonly start: () => void;
    /** Bytes of memory at the process's peak; 0 if it isn't running. */
    readonly peakMemory: () => number;
    /** Sends a signal to the process, if it was started. */
    readonly signal: (signal: NodeJS.Signals) => void;
    /** Makes new connections to servers hang or be refused, also after a restart; undefined ends it. */
    readonly cutNewConnections: (kind: ConnectionCutKind | undefined) => void;
    /** Discards the box's datagrams to other boxes and lets its connections to them hang, also after a restart. */
    readonly cutFromBoxes: (isCut: boolean) => void;
    readonly isRunning: () => boolean;
    /** Exit codes of the times when the process ended with an error, neither by a signal nor by a planned stop. */
    readonly ownEnds: () => readonly number[];
    /** Resolves once the process has ended: with its exit code, or undefined if a signal ended it. */
    readonly waitForExit: () => Promise<number | undefined>;
}

/** Loaded into each box before its program. */
const cutModule = new URL("./cut-new-connections.js", import.meta.url).href;
/** Time that a stopping box gives open requests; `pipelining-checks.ts` relies on it. */
const grace = "2s";
const bytesPerKilobyte = 1024;
const exposureBounds = `expose_share=${exposedShare},expose_slack=${exposedAllowance},rollback=5s`;

/** Writes the settings file of a box without starting it. */
export function createBoxProcess(options: BoxProcessOptions): BoxProcess {
    const [callers, readiness, directory, peers] = [0, 1, 2, 3].map(index =>
        `${options.host}:${options.firstPort + index}`
    );
    const file = join(options.folder, `${options.name}.conf`);
    const cutFile = join(options.folder, `${options.name}.cut`);
    const boxCutFile = join(options.folder, `${options.name}.box-cut`);
    writeFileSync(file, settingsOf(options, { callers, readiness, directory, peers }));
    const log: WriteStream = createWriteStream(join(options.folder, `${options.name}.log`), { flags: "a" });
    let child: ChildProcess | undefined;
    const ownEnds: number[] = [];

    return {
        name: options.name,
        host: options.host,
        zone: options.zone,
        callerAddress: callers,
        directoryAddress: directory,
        readinessAddress: readiness,
        peerAddress: peers,
        start() {
            const heapLimits = options.memoryMb === undefined ? [] : deployedHeapLimits();
            const command = [process.execPath, ...heapLimits, resolve(workspaceRoot, "platform/dist/src/main.js")];
            // Only a shell can limit the descriptors of a process before its program starts.
            const limited = options.maxDescriptors === undefined
                ? command
                : ["/bin/sh", "-c", `ulimit -n ${options.maxDescriptors} && exec "$@"`, "sh", ...command];
            child = spawn(limited[0], limited.slice(1), {
                env: {
                    ...process.env,
                    CHALKDALE_SETTINGS: file,
                    NODE_OPTIONS: `--import=${cutModule}`,
                    [cutFileVariable]: cutFile,
                    [boxCutFileVariable]: boxCutFile,
                },
                stdio: ["ignore", "pipe", "pipe"],
            });
            child.on("exit", code => {
                if (code !== null && code !== 0) {
                    ownEnds.push(code);
                }
            });
            if (options.readLog !== false) {
                child.stdout!.pipe(log, { end: false });
                child.stderr!.pipe(log, { end: false });
            }
        },
        peakMemory() {
            try {
                const status = readFileSync(`/proc/${child?.pid}/status`, "utf8");
                return Number(/VmHWM:\s+(\d+) kB/.exec(status)?.[1] ?? 0) * bytesPerKilobyte;
            }
            catch {
                return 0;
            }
        },
        signal: name => {
            child?.kill(name);
        },
        cutNewConnections(kind) {
            if (kind === undefined) {
                rmSync(cutFile, { force: true });
                return;
            }
            const [serverHost] = options.store.split(":");
            const cut: ConnectionCut = { kind, serverHost, storeAddress: options.store };
            // Renamed into place, so that the box never reads a part of it.
            writeFileSync(`${cutFile}.new`, JSON.stringify(cut));
            renameSync(`${cutFile}.new`, cutFile);
        },
        cutFromBoxes(isCut) {
            if (!isCut) {
                rmSync(boxCutFile, { force: true });
                return;
            }
            writeFileSync(`${boxCutFile}.new`, options.host.slice(0, options.host.lastIndexOf(".") + 1));
            renameSync(`${boxCutFile}.new`, boxCutFile);
        },
        ownEnds: () => ownEnds,
        isRunning: () => child !== undefined && child.exitCode === null && child.signalCode === null,
        waitForExit() {
            const process = child;
            if (process === undefined || process.exitCode !== null || process.signalCode !== null) {
                return Promise.resolve(process?.exitCode ?? undefined);
            }
            return new Promise(done => process.once("exit", code => done(code ?? undefined)));
        },
    };
}

/** Returns the options of Node by which the deploy file limits the heap. */
function deployedHeapLimits(): readonly string[] {
    const deployFile = readFileSync(resolve(workspaceRoot, "deploy/system.toml"), "utf8");
    return [...deployFile.matchAll(/--max-[a-z-]+=\d+/g)].map(([option]) => option);
}

function settingsOf(options: BoxProcessOptions, listen: Readonly<Record<string, string>>): string {
    return [
        `node_name=${options.name}`,
        `region=${options.region}`,
        `zone=${options.zone}`,
        ...Object.entries(options.zones).map(([zone, region]) => `zones.${zone}=${region}`),
        `listen.front=${listen.callers}`,
        `listen.ready=${listen.readiness}`,
        `listen.directory=${listen.directory}`,
        `listen.control=${listen.peers}`,
        `seeds=${options.seeds.join(",")}`,
        `bounds=budget_ratio=${retryRatio},budget_window=${retryWindow}ms,budget_slack=${retryAllowance},grace=${grace},ttl_max=5s,${exposureBounds}`,
        `platform.address=${options.store}`,
        ...options.memoryMb === undefined ? [] : [`limits.memory_mb=${options.memoryMb}`],
        ...options.maxDescriptors === undefined ? [] : [`limits.max_fds=${options.maxDescriptors}`],
    ].join("\n");
}

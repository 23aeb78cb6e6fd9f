/**
 * One box as a process of its own, started, stopped, paused and killed by the soak.
 */

import { type ChildProcess, spawn } from "node:child_process";
import { createWriteStream, writeFileSync, type WriteStream } from "node:fs";
import { join, resolve } from "node:path";
import { workspaceRoot } from "../workspace-root.js";
import { exposedAllowance, exposedShare } from "./checks.js";

/** Where a box listens, and where its settings and log lie. */
export interface BoxProcessOptions {
    readonly name: string;
    readonly host: string;
    readonly firstPort: number;
    readonly zone: string;
    readonly region: string;
    readonly zones: Readonly<Record<string, string>>;
    readonly store: string;
    readonly seeds: readonly string[];
    readonly folder: string;
    /** False: nobody reads what the box writes. */
    readonly readLog?: boolean;
}

/** A box that can be started again. */
export interface BoxProcess {
    readonly name: string;
    /** Its address, without a port. */
    readonly host: string;
    readonly callerAddress: string;
    readonly directoryAddress: string;
    readonly start: () => void;
    readonly signal: (signal: NodeJS.Signals) => void;
    readonly isRunning: () => boolean;
    /** Resolves with its exit code once the process has ended, or undefined if a signal ended it. */
    readonly waitForExit: () => Promise<number | undefined>;
}

const grace = "2s";
const exposureBounds = `expose_share=${exposedShare},expose_slack=${exposedAllowance},rollback=5s`;

/** Writes the settings of a box; it isn't started yet. */
export function createBoxProcess(place: BoxProcessOptions): BoxProcess {
    const [callers, readiness, directory, peers] = [0, 1, 2, 3].map(index =>
        `${place.host}:${place.firstPort + index}`
    );
    const file = join(place.folder, `${place.name}.conf`);
    writeFileSync(file, settingsOf(place, { callers, readiness, directory, peers }));
    const log: WriteStream = createWriteStream(join(place.folder, `${place.name}.log`), { flags: "a" });
    let child: ChildProcess | undefined;

    return {
        name: place.name,
        host: place.host,
        callerAddress: callers,
        directoryAddress: directory,
        start() {
            child = spawn(process.execPath, [resolve(workspaceRoot, "platform/dist/src/main.js")], {
                env: { ...process.env, CHALKDALE_SETTINGS: file },
                stdio: ["ignore", "pipe", "pipe"],
            });
            if (place.readLog !== false) {
                child.stdout!.pipe(log, { end: false });
                child.stderr!.pipe(log, { end: false });
            }
        },
        signal: name => {
            child?.kill(name);
        },
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

function settingsOf(place: BoxProcessOptions, listen: Readonly<Record<string, string>>): string {
    return [
        `node_name=${place.name}`,
        `region=${place.region}`,
        `zone=${place.zone}`,
        ...Object.entries(place.zones).map(([zone, region]) => `zones.${zone}=${region}`),
        `listen.front=${listen.callers}`,
        `listen.ready=${listen.readiness}`,
        `listen.directory=${listen.directory}`,
        `listen.control=${listen.peers}`,
        `seeds=${place.seeds.join(",")}`,
        `bounds=budget_ratio=0.2,budget_window=10s,budget_slack=58,grace=${grace},ttl_max=5s,${exposureBounds}`,
        `platform.address=${place.store}`,
    ].join("\n");
}

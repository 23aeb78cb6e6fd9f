/**
 * How every program starts and ends: its command line, its settings file,
 * signals, and exit codes.
 */

import meow from "meow";
import { createLog, type Log, type LogLevel } from "./log.js";

/** Exit codes of all programs. */
export const exitCodes = {
    /** All went well. */
    success: 0,
    /** The program failed while it ran. */
    failure: 1,
    /** The command line was wrong. */
    usage: 2,
    /** Settings were refused. */
    settings: 3,
    /** The platform or a box could not be reached. */
    unavailable: 4,
    /** An edit clashed with another operator's. */
    clash: 5,
} as const;

/** An exit code that programs use. */
export type ExitCode = (typeof exitCodes)[keyof typeof exitCodes];

/** What a daemon's main function is given. */
export interface DaemonContext<Settings> {
    readonly settings: Settings;
    readonly log: Log;
    /** Aborts on SIGTERM or SIGINT: the start of a planned stop. */
    readonly stop: AbortSignal;
}

/** A daemon: a program that runs until it is told to stop. */
export interface Daemon<Settings> {
    readonly name: string;
    readonly version: string;
    readonly summary: string;
    /** Reads and checks a settings file, or returns lines that say what is wrong. */
    readonly readSettings: (file: string) => Promise<
        { readonly ok: true; readonly settings: Settings; readonly logLevel: LogLevel; } | {
            readonly ok: false;
            readonly faults: readonly string[];
        }
    >;
    /** Runs until the planned stop is complete. */
    readonly run: (context: DaemonContext<Settings>) => Promise<void>;
}

/** Runs a daemon and ends the process with its exit code. */
export async function runDaemon<Settings>(daemon: Daemon<Settings>, importMeta: ImportMeta): Promise<void> {
    const file = readDaemonCommandLine(daemon, importMeta);
    if (file === undefined) {
        process.stderr.write(`${daemon.name}: --settings FILE is required; see ${daemon.name} --help\n`);
        process.exit(exitCodes.usage);
    }
    const read = await daemon.readSettings(file);
    if (!read.ok) {
        read.faults.forEach(fault => process.stderr.write(`${fault}\n`));
        process.exit(exitCodes.settings);
    }
    const log = createLog({ level: read.logLevel }).child({ program: daemon.name });
    try {
        await daemon.run({ settings: read.settings, log, stop: stopSignal(log) });
        log.info("stopped");
        process.exit(exitCodes.success);
    }
    catch (error) {
        log.error("failed", { reason: error instanceof Error ? error.stack : String(error) });
        process.exit(exitCodes.failure);
    }
}

function readDaemonCommandLine<Settings>(daemon: Daemon<Settings>, importMeta: ImportMeta): string | undefined {
    const cli = meow(
        `
  ${daemon.summary}

  Usage
    $ ${daemon.name} --settings FILE

  Options
    --settings FILE  the box's settings (YAML)
    --version        print the version
    --help           print this text

  Exit codes
    0 stopped as planned, 1 failed, 2 wrong command line, 3 settings refused
`,
        {
            importMeta,
            pkg: { name: daemon.name, version: daemon.version },
            version: daemon.version,
            flags: { settings: { type: "string" } },
            allowUnknownFlags: false,
        },
    );
    return cli.flags.settings;
}

/** Returns a signal that aborts at the first SIGTERM or SIGINT; a second one ends the process at once. */
function stopSignal(log: Log): AbortSignal {
    const controller = new AbortController();
    const onSignal = (name: NodeJS.Signals) => {
        if (controller.signal.aborted) {
            log.warn("stop.forced", { signal: name });
            process.exit(exitCodes.failure);
        }
        log.info("stop.requested", { signal: name });
        controller.abort();
    };
    process.on("SIGTERM", onSignal);
    process.on("SIGINT", onSignal);
    return controller.signal;
}

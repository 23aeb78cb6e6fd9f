/**
 * The log: one line of key=value pairs for each event, with time, level, event
 * and then the event's fields. Values with spaces, quotes or `=` are quoted as
 * JSON strings.
 */

import { createConsola, type LogObject } from "consola";

type LogValue = string | number | boolean | undefined;
/** Fields of an event; those with the value undefined are omitted. */
export type LogFields = Readonly<Record<string, LogValue>>;
/** Severity of a line. */
export type LogLevel = "error" | "warn" | "info";

/** Writes the events of one program. */
export interface Log {
    readonly error: (event: string, fields?: LogFields) => void;
    readonly warn: (event: string, fields?: LogFields) => void;
    readonly info: (event: string, fields?: LogFields) => void;
}

export interface LogOptions {
    /** Receives each line without its line end. Standard error by default. */
    readonly write?: (line: string) => void;
    /** Returns the wall-clock time that a line states. The system's time by default. */
    readonly now?: () => Date;
}

/** Consola's number for the level `info`. Its default level depends on the environment. */
const infoLevel = 3;

/** Creates the log of a program. */
export function createLog(options: LogOptions = {}): Log {
    const write = options.write ?? (line => process.stderr.write(`${line}\n`));
    const now = options.now ?? (() => new Date());
    const logger = createConsola({
        level: infoLevel,
        reporters: [{ log: entry => write(formatEntry(entry, now())) }],
        throttle: 0,
    });
    const at = (level: LogLevel) => (event: string, fields: LogFields = {}) => {
        logger[level]({ message: event, additional: undefined, fields } as never);
    };
    return { error: at("error"), warn: at("warn"), info: at("info") };
}

function formatEntry(entry: LogObject, time: Date): string {
    const { fields = {}, message } = entry as unknown as { fields?: LogFields; message?: string; };
    const event = message ?? String(entry.args[0] ?? "");
    return formatFields({ time: time.toISOString(), level: entry.type, event, ...fields });
}

function formatFields(fields: LogFields): string {
    return Object.entries(fields)
        .filter(([, value]) => value !== undefined)
        .map(([key, value]) => `${key}=${formatValue(value)}`)
        .join(" ");
}

/** Values that are written without quotes. */
const plainValue = /^[^\s"=]+$/;

function formatValue(value: LogValue): string {
    const text = typeof value === "number" && !Number.isInteger(value) ? value.toFixed(3) : String(value);
    return plainValue.test(text) ? text : JSON.stringify(text);
}

/**
 * Logs of one line of key=value pairs for each event: time, level, event,
 * then the event's fields. Values are quoted when they need it.
 */

import { createConsola, type LogObject } from "consola";

/** A field's value. */
type LogValue = string | number | boolean | undefined;
/** Fields of an event; those that are undefined are left out. */
export type LogFields = Readonly<Record<string, LogValue>>;
/** How much a line matters. */
export type LogLevel = "error" | "warn" | "info";

/** Logs of one program. */
export interface Log {
    readonly error: (event: string, fields?: LogFields) => void;
    readonly warn: (event: string, fields?: LogFields) => void;
    readonly info: (event: string, fields?: LogFields) => void;
}

export interface LogOptions {
    /** Takes each line without its line end. Standard error by default. */
    readonly write?: (line: string) => void;
    /** Wall-clock time of each line. */
    readonly now?: () => Date;
}

/** The library's number for lines up to information; its own default depends on the environment. */
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

/** Returns fields as `key=value` pairs on one line. */
function formatFields(fields: LogFields): string {
    return Object.entries(fields)
        .filter(([, value]) => value !== undefined)
        .map(([key, value]) => `${key}=${formatValue(value)}`)
        .join(" ");
}

const plainValue = /^[^\s"=]+$/;

function formatValue(value: LogValue): string {
    const text = typeof value === "number" && !Number.isInteger(value) ? value.toFixed(3) : String(value);
    return plainValue.test(text) ? text : JSON.stringify(text);
}

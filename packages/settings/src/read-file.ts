/**
 * Reads the box's settings for a daemon's start.
 */

import { readFile } from "node:fs/promises";
import { type BoxSettings, readBoxFile } from "./box-file.js";
import { formatFault } from "./faults.js";

/** The outcome of reading a daemon's settings. */
export type DaemonSettings =
    | { readonly ok: true; readonly settings: BoxSettings; readonly logLevel: BoxSettings["logLevel"]; }
    | { readonly ok: false; readonly faults: readonly string[]; };

/** Reads and checks the box's file; a file that cannot be read is a fault like others. */
export async function readDaemonSettings(file: string): Promise<DaemonSettings> {
    let text: string;
    try {
        text = await readFile(file, "utf8");
    }
    catch (error) {
        return { ok: false, faults: [`${file}:0:0: ${(error as Error).message}`] };
    }
    const read = readBoxFile(file, text);
    return read.ok
        ? { ok: true, settings: read.val, logLevel: read.val.logLevel }
        : { ok: false, faults: read.val.map(formatFault) };
}

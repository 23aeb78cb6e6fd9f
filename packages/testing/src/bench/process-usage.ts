/**
 * Processor time and memory of a process, as the kernel counts them.
 */

import { readFileSync } from "node:fs";

const ticksPerSecond = 100;
const userField = 13;
const systemField = 14;

/** Returns the processor seconds that a process has used. */
export function processorSeconds(id: number): number {
    const text = readFileSync(`/proc/${id}/stat`, "utf8");
    const fields = `x x ${text.slice(text.lastIndexOf(")") + 2)}`.split(" ");
    return (Number(fields[userField]) + Number(fields[systemField])) / ticksPerSecond;
}

/** Resident memory of a process in megabytes: all of it, and the part that is its own and not of files. */
export interface ResidentMemory {
    readonly all: number;
    readonly own: number;
}

/** Returns the resident memory of a process. */
export function residentMemory(id: number): ResidentMemory {
    const text = readFileSync(`/proc/${id}/status`, "utf8");
    const field = (name: string) => Number(new RegExp(`${name}:\\s+(\\d+)`).exec(text)?.[1] ?? 0) / 1024;
    return { all: field("VmRSS"), own: field("RssAnon") };
}

/** Returns the bytes that a process has read and written by system calls, those of sockets included. */
export function transferredBytes(id: number): number {
    const text = readFileSync(`/proc/${id}/io`, "utf8");
    const field = (name: string) => Number(new RegExp(`${name}: (\\d+)`).exec(text)?.[1] ?? 0);
    return field("rchar") + field("wchar");
}

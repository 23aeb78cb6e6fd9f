/**
 * Faults in a settings file, with their place.
 */

import type { z } from "zod";
import type { YamlSource } from "./yaml-source.js";

/** One fault. */
export interface SettingsFault {
    readonly file: string;
    /** 1-based; 0 when the fault has no place in the file. */
    readonly line: number;
    readonly column: number;
    /** Path within the file, for instance `regions.ro-nord.settings.capacity`. */
    readonly path: string;
    readonly expected: string;
}

/** Returns a fault as one line for people. */
export function formatFault({ file, line, column, path, expected }: SettingsFault): string {
    const place = path === "" ? "" : `${path}: `;
    return `${file}:${line}:${column}: ${place}${expected}`;
}

/** Makes a fault at a path of a file. */
export function createFaultAt(source: YamlSource, path: readonly PropertyKey[], expected: string): SettingsFault {
    const { line, column } = source.locationOf(path);
    return { file: source.file, line, column, path: path.map(String).join("."), expected };
}

/** Returns the faults of a text that is not YAML at all. */
export function syntaxFaultsOf({ file, syntaxFaults }: YamlSource): SettingsFault[] {
    return syntaxFaults.map(({ line, column, message }) => ({ file, line, column, path: "", expected: message }));
}

/** Turns all issues of a schema into faults; an unknown key becomes a fault of its own at its place. */
export function faultsFromSchemaIssues(source: YamlSource, issues: readonly z.core.$ZodIssue[]): SettingsFault[] {
    return issues.flatMap(issue => {
        if (issue.code === "unrecognized_keys") {
            return issue.keys.map(key =>
                createFaultAt(source, [...issue.path, key], "not a setting of this kind of node")
            );
        }
        return [createFaultAt(source, issue.path, `expected ${expectationOf(issue)}`)];
    });
}

function expectationOf(issue: z.core.$ZodIssue): string {
    switch (issue.code) {
        case "invalid_type":
            return issue.expected;
        case "too_small":
            return `${issue.inclusive ? "at least" : "more than"} ${issue.minimum}`;
        case "too_big":
            return `at most ${issue.maximum}`;
        case "invalid_value":
            return `one of ${issue.values.join(", ")}`;
        case "invalid_key":
            return issue.issues.map(inner => inner.message).join("; ");
        default:
            return issue.message;
    }
}

/**
 * Faults in a settings file, each with its line, column and path.
 *
 * Pure; relies on the YAML source for locations.
 */

import type { z } from "zod";
import type { YamlSource } from "./yaml-source.js";

/** One fault in a settings file. */
export interface SettingsFault {
    readonly file: string;
    /** 1-based. */
    readonly line: number;
    /** 1-based. */
    readonly column: number;
    /** Path within the file, such as `regions.ro-nord.settings.capacity`; empty for a syntax error. */
    readonly path: string;
    /** What was expected, or the parser's message; for people. */
    readonly expected: string;
}

/** Returns `FILE:LINE:COLUMN: PATH: EXPECTED`, without the path if it is empty. */
export function formatFault({ file, line, column, path, expected }: SettingsFault): string {
    const prefix = path === "" ? "" : `${path}: `;
    return `${file}:${line}:${column}: ${prefix}${expected}`;
}

/** Creates a fault at a path of a file. */
export function createFaultAt(source: YamlSource, path: readonly PropertyKey[], expected: string): SettingsFault {
    const { line, column } = source.locationOf(path);
    return { file: source.file, line, column, path: path.map(String).join("."), expected };
}

/** Returns the faults of a text that is not valid YAML. */
export function syntaxFaultsOf({ file, syntaxFaults }: YamlSource): SettingsFault[] {
    return syntaxFaults.map(({ line, column, message }) => ({ file, line, column, path: "", expected: message }));
}

/** Converts schema issues to faults. Each unknown key becomes one fault at the key's own location. */
export function faultsFromSchemaIssues(source: YamlSource, issues: readonly z.core.$ZodIssue[]): SettingsFault[] {
    return issues.flatMap(issue => {
        if (issue.code === "unrecognized_keys") {
            return issue.keys.map(key =>
                createFaultAt(
                    source,
                    [...issue.path, key],
                    "unknown key, or a setting that this kind of node does not have",
                )
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

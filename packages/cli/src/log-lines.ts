/**
 * Parses the boxes' log lines: key=value pairs, with some values quoted.
 *
 * Pure; relies on the format that the runtime's log writes.
 */

/** The fields of one line; values are unquoted text. */
export type LogLine = Readonly<Record<string, string>>;

const pairPattern = /([A-Za-z][\w.]*)=("(?:[^"\\]|\\.)*"|\S*)/g;

/** Parses one line. Skips text that is not part of a pair, such as the prefix of a log collector. */
export function readLogLine(text: string): LogLine {
    return Object.fromEntries([...text.matchAll(pairPattern)].map(([, key, value]) => [key, unquote(value)]));
}

function unquote(value: string): string {
    if (!value.startsWith("\"")) {
        return value;
    }
    try {
        return JSON.parse(value) as string;
    }
    catch {
        // A log collector cut the line within the value; the rest is returned as it is.
        return value;
    }
}

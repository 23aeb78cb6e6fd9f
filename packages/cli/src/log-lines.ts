/**
 * Reads the boxes' log lines: key=value pairs, values quoted where they need it.
 *
 * Owns nothing; relies on the form that the runtime's log writes.
 */

/** The fields of one line, as text. */
export type LogLine = Readonly<Record<string, string>>;

const pair = /([A-Za-z][\w.]*)=("(?:[^"\\]|\\.)*"|\S*)/g;

/** Reads one line; whatever stands before its pairs, such as a collector's own prefix, is passed over. */
export function readLogLine(text: string): LogLine {
    return Object.fromEntries([...text.matchAll(pair)].map(([, key, value]) => [key, unquote(value)]));
}

function unquote(value: string): string {
    if (!value.startsWith("\"")) {
        return value;
    }
    try {
        return JSON.parse(value) as string;
    }
    catch {
        // Not as a box writes it: a collector cut the line, and what is left is shown.
        return value;
    }
}

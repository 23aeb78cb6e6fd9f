/**
 * A parsed YAML text that knows the line and column of each node.
 *
 * Relies on `yaml`; bounds the length of the text and the expansion of aliases.
 */

import { isNode, LineCounter, parseDocument } from "yaml";

/** A location in a file; line and column are 1-based. */
interface Location {
    readonly line: number;
    readonly column: number;
}

/** A parsed YAML text. */
export interface YamlSource {
    readonly file: string;
    /** The parsed value; undefined if there are syntax faults. */
    readonly value: unknown;
    readonly syntaxFaults: readonly (Location & { readonly message: string; })[];
    /** Returns the location of the node at a path, or of its nearest existing ancestor. */
    readonly locationOf: (path: readonly PropertyKey[]) => Location;
}

/** Maximum length of a settings text, in UTF-16 code units. */
const maxTextLength = 4 * 1024 * 1024;
/** Maximum number of aliases resolved, against texts that expand exponentially. */
const maxAliases = 100;

/** Parses a text; `file` is its name in faults. Never throws: errors become syntax faults. */
export function parseYaml(file: string, text: string): YamlSource {
    const lines = new LineCounter();
    const isTooLong = text.length > maxTextLength;
    const document = parseDocument(isTooLong ? "" : text, { lineCounter: lines, uniqueKeys: true, stringKeys: true });
    const syntaxFaults = document.errors.map(error => ({
        ...locationAt(error.pos[0]),
        message: error.message.split("\n")[0],
    }));
    if (isTooLong) {
        syntaxFaults.push({ line: 1, column: 1, message: `longer than ${maxTextLength} characters` });
    }
    return { file, value: valueOf(), syntaxFaults, locationOf };

    function valueOf(): unknown {
        if (syntaxFaults.length > 0) {
            return undefined;
        }
        try {
            return document.toJS({ maxAliasCount: maxAliases });
        }
        catch (error) {
            syntaxFaults.push({ line: 1, column: 1, message: String(error) });
            return undefined;
        }
    }

    function locationAt(offset: number): Location {
        const { line, col } = lines.linePos(offset);
        return { line, column: col };
    }

    function locationOf(path: readonly PropertyKey[]): Location {
        for (let length = path.length; length >= 0; length--) {
            const node = document.getIn(path.slice(0, length), true);
            if (isNode(node) && node.range) {
                return locationAt(node.range[0]);
            }
        }
        return { line: 1, column: 1 };
    }
}

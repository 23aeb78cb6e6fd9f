/**
 * A YAML text with the place of every node.
 */

import { isNode, LineCounter, parseDocument } from "yaml";

/** A place in a file, both 1-based. */
interface Place {
    readonly line: number;
    readonly column: number;
}

/** A parsed YAML text. */
export interface YamlSource {
    readonly file: string;
    /** The text's value; meaningless when there are syntax faults. */
    readonly value: unknown;
    readonly syntaxFaults: readonly (Place & { readonly message: string; })[];
    /** Returns the place of the node at a path, or of the nearest node above it that exists. */
    readonly locationOf: (path: readonly PropertyKey[]) => Place;
}

/** Longest settings text that is read, in bytes. */
const longestText = 4 * 1024 * 1024;
/** Aliases that may be resolved; guards against texts that expand without bound. */
const mostAliases = 100;

/** Parses a text. Never throws. */
export function parseYaml(file: string, text: string): YamlSource {
    const lines = new LineCounter();
    const tooLong = text.length > longestText;
    const document = parseDocument(tooLong ? "" : text, { lineCounter: lines, uniqueKeys: true, stringKeys: true });
    const syntaxFaults = document.errors.map(error => ({
        ...placeAt(error.pos[0]),
        message: error.message.split("\n")[0],
    }));
    if (tooLong) {
        syntaxFaults.push({ line: 1, column: 1, message: `longer than ${longestText} bytes` });
    }
    return { file, value: valueOf(), syntaxFaults, locationOf: placeOf };

    function valueOf(): unknown {
        if (syntaxFaults.length > 0) {
            return undefined;
        }
        try {
            return document.toJS({ maxAliasCount: mostAliases });
        }
        catch (error) {
            syntaxFaults.push({ line: 1, column: 1, message: String(error) });
            return undefined;
        }
    }

    function placeAt(offset: number): Place {
        const { line, col } = lines.linePos(offset);
        return { line, column: col };
    }

    function placeOf(path: readonly PropertyKey[]): Place {
        for (let length = path.length; length >= 0; length--) {
            const node = document.getIn(path.slice(0, length), true);
            if (isNode(node) && node.range) {
                return placeAt(node.range[0]);
            }
        }
        return { line: 1, column: 1 };
    }
}

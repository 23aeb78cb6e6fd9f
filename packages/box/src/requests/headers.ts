/**
 * Which headers go on to a server, and which go back to the caller.
 *
 * Owns nothing; names are compared in lower case.
 */

/** Headers that concern one connection only. */
const connectionHeaders = new Set([
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "expect",
    "http2-settings",
]);

/** Returns names and values in turn without the headers of the connection and those in `replaced` (lower case). */
export function forwardableHeaders(rawHeaders: readonly string[], replaced: ReadonlySet<string>): string[] {
    const named = namesInConnection(rawHeaders);
    const kept: string[] = [];
    for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
        const name = rawHeaders[index].toLowerCase();
        if (!connectionHeaders.has(name) && !replaced.has(name) && !named.has(name)) {
            kept.push(rawHeaders[index], rawHeaders[index + 1]);
        }
    }
    return kept;
}

/** Headers that a `Connection` header names belong to the connection too. */
function namesInConnection(rawHeaders: readonly string[]): ReadonlySet<string> {
    const names = new Set<string>();
    for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
        if (rawHeaders[index].toLowerCase() === "connection") {
            rawHeaders[index + 1].split(",").forEach(name => names.add(name.trim().toLowerCase()));
        }
    }
    return names;
}

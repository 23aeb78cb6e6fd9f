/**
 * Selects the headers that are forwarded to a server or to a caller.
 *
 * Owns nothing; names are compared in lower case.
 */

/**
 * Hop-by-hop headers, and others that concern one connection only; `Content-Length` and `Expect` are set or handled by
 * the box.
 */
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

/** Returns names and values, alternating, without hop-by-hop headers and those in `replaced` (lower case). */
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

/** Returns the headers that are named in `Connection` headers; they are hop-by-hop too. */
function namesInConnection(rawHeaders: readonly string[]): ReadonlySet<string> {
    const names = new Set<string>();
    for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
        if (rawHeaders[index].toLowerCase() === "connection") {
            rawHeaders[index + 1].split(",").forEach(name => names.add(name.trim().toLowerCase()));
        }
    }
    return names;
}

// Stand-in for the platform's store: lists in pages, watches, conditional writes, as the page "The platform's metadata
// store" says. Stale lists may be answered from a copy that is seconds old; `staleAge(kind, page)` returns how old.
import { createServer } from "node:http";

const sweepInterval = 20;

export async function startStore({ host, pageSize = 500, staleAge = () => 0, onCall = () => undefined }) {
    let revision = 0;
    /** All writes, oldest first: { at, revision, kind, name, object } where object is undefined for a deletion. */
    const log = [];
    const current = new Map();
    const watchers = new Set();

    function objectsOf(kind) {
        if (!current.has(kind)) {
            current.set(kind, new Map());
        }
        return current.get(kind);
    }

    function write(kind, name, spec) {
        const known = objectsOf(kind).get(name);
        // A server's entry counts as changed only when more than `call_seq` does.
        const isSame = known !== undefined && JSON.stringify(withoutSequence(known.spec)) === JSON.stringify(withoutSequence(spec));
        if (isSame) {
            known.spec = spec;
            return known;
        }
        revision += 1;
        const object = {
            metadata: { name, revision, made: known?.metadata.made ?? revision, finalizers: [], deleting: false },
            spec,
            status: known?.status ?? null,
        };
        objectsOf(kind).set(name, object);
        log.push({ at: performance.now(), revision, kind, name, object });
        notify(kind);
        return object;
    }

    function remove(kind, name) {
        const known = objectsOf(kind).get(name);
        if (known === undefined) {
            return;
        }
        revision += 1;
        objectsOf(kind).delete(name);
        log.push({ at: performance.now(), revision, kind, name, object: undefined, last: known });
        notify(kind);
    }

    function eventsSince(kind, since) {
        return log.filter(entry => entry.kind === kind && entry.revision > since)
            .map(entry => ({ gone: entry.object === undefined, object: entry.object ?? entry.last }));
    }

    function notify(kind) {
        for (const watcher of [...watchers].filter(watcher => watcher.kind === kind)) {
            finish(watcher);
        }
    }

    function finish(watcher) {
        watchers.delete(watcher);
        send(watcher.response, 200, { events: eventsSince(watcher.kind, watcher.since), at: revision });
    }

    /** The content as it was `age` milliseconds ago, with its revision. */
    function copyOfAge(kind, age) {
        const until = performance.now() - age;
        const objects = new Map();
        let at = 0;
        for (const entry of log) {
            if (entry.at > until) {
                break;
            }
            at = entry.revision;
            if (entry.kind === kind) {
                entry.object === undefined ? objects.delete(entry.name) : objects.set(entry.name, entry.object);
            }
        }
        return { objects, at };
    }

    function list(kind, after, stale) {
        const { objects, at } = stale
            ? copyOfAge(kind, staleAge(kind, after === null ? 1 : 2))
            : { objects: objectsOf(kind), at: revision };
        const names = [...objects.keys()].sort().filter(name => after === null || name > after);
        const page = names.slice(0, pageSize);
        return { items: page.map(name => objects.get(name)), more: page.length < names.length, at };
    }

    const server = createServer(async (request, response) => {
        const url = new URL(request.url, "http://localhost");
        const body = await readJson(request);
        const match = /^\/v1\/objects\/([^/]+)(?:\/([^/]+?)(\/status)?)?$/.exec(url.pathname);
        if (match === null) {
            send(response, 404);
            return;
        }
        const [, kind, encodedName, status] = match;
        const name = encodedName === undefined ? undefined : decodeURIComponent(encodedName);
        const stale = url.searchParams.get("stale") === "1";
        if (request.method === "GET" && url.searchParams.has("watch")) {
            const watcher = {
                kind,
                since: Number(url.searchParams.get("watch")),
                until: performance.now() + Number(url.searchParams.get("wait_ms") ?? 0),
                response,
            };
            watchers.add(watcher);
            response.on("close", () => watchers.delete(watcher));
            if (eventsSince(kind, watcher.since).length > 0) {
                finish(watcher);
            }
            return;
        }
        if (request.method === "GET" && name === undefined) {
            const answer = list(kind, url.searchParams.get("after"), stale);
            onCall({ caller: request.socket.remoteAddress, kind, stale, after: url.searchParams.get("after"), at: answer.at, names: answer.items.map(item => item.metadata.name) });
            send(response, 200, answer);
            return;
        }
        if (request.method === "GET") {
            const known = objectsOf(kind).get(name);
            send(response, known === undefined ? 404 : 200, known);
            return;
        }
        const target = name ?? body?.metadata?.name;
        const known = objectsOf(kind).get(target);
        if (request.method === "POST" && known !== undefined) {
            send(response, 409, known);
            return;
        }
        const expected = body?.metadata?.revision;
        if (request.method === "PUT" && (known === undefined || expected !== undefined && expected !== known.metadata.revision)) {
            send(response, known === undefined ? 404 : 409, known);
            return;
        }
        if (request.method === "DELETE") {
            remove(kind, target);
            send(response, 200, {});
            return;
        }
        if (status !== undefined) {
            known.status = body.status;
            send(response, 200, known);
            return;
        }
        send(response, 200, write(kind, target, body.spec));
    });
    server.keepAliveTimeout = 60_000;
    await new Promise(resolve => server.listen(0, host, resolve));
    const timer = setInterval(() => {
        [...watchers].filter(watcher => performance.now() >= watcher.until).forEach(finish);
    }, sweepInterval);

    return {
        address: `${host}:${server.address().port}`,
        write,
        remove,
        get: (kind, name) => objectsOf(kind).get(name),
        revision: () => revision,
        close() {
            clearInterval(timer);
            server.close();
            server.closeAllConnections();
        },
    };
}

function withoutSequence(spec) {
    if (typeof spec !== "object" || spec === null) {
        return spec;
    }
    const { call_seq, ...rest } = spec;
    return rest;
}

function send(response, status, body) {
    response.writeHead(status, { "Content-Type": "application/json" });
    response.end(body === undefined ? "" : JSON.stringify(body));
}

async function readJson(request) {
    const chunks = [];
    for await (const chunk of request) {
        chunks.push(chunk);
    }
    return chunks.length === 0 ? undefined : JSON.parse(Buffer.concat(chunks).toString("utf8"));
}

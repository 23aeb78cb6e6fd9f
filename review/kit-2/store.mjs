// Stand-in for the platform's metadata store: objects by kind and name, one revision counter, watches.
import { createServer } from "node:http";

const pageSize = 500;
/** Milliseconds of history. */
const historyMs = 20_000;

/** `fault(call)` may return "silent", "reset" or a status; `call` is { method, kind, caller, isWatch }. */
export async function startStore(host, fault = () => undefined) {
    const objects = new Map();
    const events = [];
    const watches = new Set();
    let revision = 100;
    /** The history up to this revision is forgotten. */
    let forgotten = 0;

    const kindOf = kind => {
        if (!objects.has(kind)) {
            objects.set(kind, new Map());
        }
        return objects.get(kind);
    };

    function changed(kind, object, gone) {
        events.push({ kind, at: revision, gone, object: structuredClone(object), time: performance.now() });
        while (performance.now() - events[0].time > historyMs) {
            forgotten = events.shift().at;
        }
        for (const watch of [...watches]) {
            if (watch.kind === kind) {
                watch.finish();
            }
        }
    }

    function put(kind, name, { spec, status }) {
        const known = kindOf(kind).get(name);
        const next = {
            metadata: { name, revision: 0, made: known?.metadata.made ?? revision + 1, finalizers: [], deleting: false },
            spec: spec === undefined ? known?.spec ?? null : spec,
            status: status === undefined ? known?.status ?? null : status,
        };
        if (known !== undefined && JSON.stringify([known.spec, known.status]) === JSON.stringify([next.spec, next.status])) {
            return known;
        }
        revision += 1;
        next.metadata.revision = revision;
        kindOf(kind).set(name, next);
        changed(kind, next, false);
        return next;
    }

    function remove(kind, name) {
        const known = kindOf(kind).get(name);
        if (known === undefined) {
            return;
        }
        revision += 1;
        kindOf(kind).delete(name);
        changed(kind, { ...known, metadata: { ...known.metadata, revision } }, true);
    }

    const server = createServer(async (request, response) => {
        const chunks = [];
        for await (const chunk of request) {
            chunks.push(chunk);
        }
        const url = new URL(request.url, "http://127.0.0.1");
        const [, , , kind, name, sub] = url.pathname.split("/");
        const isWatch = url.searchParams.has("watch");
        const kindOfFault = fault({ method: request.method, kind, caller: request.socket.remoteAddress, isWatch });
        if (kindOfFault === "silent") {
            return;
        }
        if (kindOfFault === "reset") {
            request.socket.resetAndDestroy();
            return;
        }
        const answer = (status, body) => {
            if (!response.destroyed && !response.headersSent) {
                response.writeHead(status, { "Content-Type": "application/json" }).end(JSON.stringify(body));
            }
        };
        if (typeof kindOfFault === "number") {
            answer(kindOfFault, {});
            return;
        }
        const body = chunks.length === 0 ? undefined : JSON.parse(Buffer.concat(chunks).toString("utf8"));
        const key = name === undefined ? undefined : decodeURIComponent(name);
        if (request.method === "GET" && isWatch) {
            const since = Number(url.searchParams.get("watch"));
            if (since < forgotten) {
                answer(410, {});
                return;
            }
            const pending = () => events.filter(event => event.kind === kind && event.at > since);
            const watch = {
                kind,
                finish() {
                    clearTimeout(watch.timer);
                    watches.delete(watch);
                    answer(200, { events: pending().map(({ gone, object }) => ({ gone, object })), at: revision });
                },
            };
            if (pending().length > 0) {
                watch.finish();
                return;
            }
            watches.add(watch);
            watch.timer = setTimeout(watch.finish, Number(url.searchParams.get("wait_ms") ?? 0));
            response.on("close", () => {
                clearTimeout(watch.timer);
                watches.delete(watch);
            });
            return;
        }
        if (request.method === "GET" && key === undefined) {
            const after = url.searchParams.get("after") ?? "";
            const all = [...kindOf(kind).values()].sort((a, b) => a.metadata.name < b.metadata.name ? -1 : 1)
                .filter(({ metadata }) => metadata.name > after);
            answer(200, { items: all.slice(0, pageSize), more: all.length > pageSize, at: revision });
            return;
        }
        const known = key === undefined ? undefined : kindOf(kind).get(key);
        if (request.method === "GET") {
            answer(known === undefined ? 404 : 200, known ?? {});
        }
        else if (request.method === "POST") {
            const created = body.metadata.name;
            const existing = kindOf(kind).get(created);
            answer(existing === undefined ? 201 : 409, existing ?? put(kind, created, body));
        }
        else if (request.method === "PUT") {
            const expected = body.metadata?.revision;
            if (known === undefined) {
                answer(404, {});
            }
            else if (expected !== undefined && expected !== known.metadata.revision) {
                answer(409, known);
            }
            else {
                answer(200, put(kind, key, sub === "status" ? { status: body.status } : { spec: body.spec }));
            }
        }
        else {
            remove(kind, key);
            answer(200, known ?? {});
        }
    });
    server.keepAliveTimeout = 60_000;
    await new Promise(resolve => server.listen(0, host, resolve));
    return {
        address: `${host}:${server.address().port}`,
        put: (kind, name, spec) => put(kind, name, { spec }),
        remove,
        get: (kind, name) => kindOf(kind).get(name),
        close() {
            server.close();
            server.closeAllConnections();
        },
    };
}

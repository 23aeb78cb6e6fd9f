// Stand-in for a backend server as the page "Servers" says: slots and a queue, Not-Run, 421, Server-Load, health, its
// entry in the store. `faults` holds the disruptions that a case asks for; without them it is a sound server.
import { createServer } from "node:http";
import { pause } from "./boxes.mjs";

const heartbeat = 1500;

export async function startServer({ id, host, service, zone, store, slots = 4, queue = 12, work, run, onRequest = () => undefined, idleMs = 10_000, body, framed = () => true, coldFor = 0, hasStartTime = false }) {
    /** Disruptions that hold now; each returns whether it strikes the answer or request at hand. */
    const faults = { shed: () => false, extra: () => undefined };
    let running = 0;
    const waiting = [];
    let draining = false;
    let sequence = 0;
    let coldUntil = performance.now() + coldFor;

    let bornAt = Date.now();
    const sockets = new Set();
    /** Ids of the requests that this incarnation has. */
    let atWork = new Set();

    const server = createServer(async (request, response) => {
        const requestId = request.headers["request-id"];
        if (request.url === "/health") {
            response.writeHead(draining ? 503 : 200, { "Instance-Id": id, "Server-Load": load(), "Cold-Ms": String(coldLeft()), "Content-Length": 0 }).end();
            return;
        }
        const text = await readText(request);
        onRequest({ server: id, requestId, method: request.method, path: request.url, box: request.socket.remoteAddress });
        const expected = request.headers["expect-instance"];
        if (expected !== undefined && expected !== id) {
            reply(request, response, 421, { "Instance-Id": id });
            return;
        }
        if (requestId === undefined) {
            reply(request, response, 400, { "Not-Run": "1" });
            return;
        }
        if (faults.shed() || running >= slots && waiting.length >= queue) {
            reply(request, response, 503, { "Not-Run": "1" });
            return;
        }
        const deadlineAt = performance.now() + Number(request.headers["deadline-ms"] ?? 60_000);
        let isGone = false;
        response.on("close", () => {
            isGone = !response.writableFinished;
        });
        if (running >= slots) {
            await new Promise(resolve => waiting.push(resolve));
        }
        else {
            running += 1;
        }
        if (isGone || performance.now() >= deadlineAt) {
            release();
            reply(request, response, 503, { "Not-Run": "1" });
            return;
        }
        const incarnation = atWork;
        incarnation.add(requestId);
        run({ server: id, requestId, method: request.method, path: request.url, body: text, box: request.socket.remoteAddress });
        await pause(work(request.url));
        incarnation.delete(requestId);
        if (incarnation !== atWork) {
            return;
        }
        release();
        if (!isGone) {
            reply(request, response, 200, {}, body?.(requestId) ?? Buffer.from(`answer of ${id} to ${requestId}`));
        }
    });
    server.keepAliveTimeout = idleMs;
    server.on("connection", socket => {
        sockets.add(socket);
        socket.once("close", () => sockets.delete(socket));
    });
    await new Promise(resolve => server.listen(0, host, resolve));
    const { port } = server.address();
    const address = `${host}:${port}`;

    function coldLeft() {
        return Math.max(0, Math.round(coldUntil - performance.now()));
    }

    function load() {
        return `${Math.min(running, slots)},${waiting.length},${slots}`;
    }

    function release() {
        const next = waiting.shift();
        next === undefined ? running -= 1 : next();
    }

    function reply(request, response, status, headers, content = Buffer.alloc(0)) {
        if (response.destroyed || request.socket.destroyed) {
            return;
        }
        const fields = {
            "Request-Id": request.headers["request-id"] ?? "",
            "Server-Load": load(),
            ...status === 421 || headers["Not-Run"] !== undefined ? {} : { "Server-Stamp": `${id}.${request.headers["request-id"]}.${content.length}` },
            ...headers,
        };
        if (!framed() && status === 200) {
            const head = Object.entries(fields).map(([name, value]) => `${name}: ${value}\r\n`).join("");
            request.socket.write(`HTTP/1.1 200 OK\r\n${head}Connection: close\r\n\r\n`);
            request.socket.end(content);
            return;
        }
        response.writeHead(status, { ...fields, "Content-Length": content.length });
        response.end(content);
        const after = faults.extra();
        if (after !== undefined) {
            const head = Object.entries({ ...fields, "Content-Length": content.length }).map(([name, value]) => `${name}: ${value}\r\n`).join("");
            const { socket } = request;
            setTimeout(() => {
                if (!socket.destroyed) {
                    socket.write(Buffer.concat([Buffer.from(`HTTP/1.1 ${status} ${status === 200 ? "OK" : "Service Unavailable"}\r\n${head}\r\n`), content]));
                    faults.onExtra?.({ server: id, requestId: fields["Request-Id"], status, after });
                }
            }, after);
        }
    }

    function record() {
        sequence += 1;
        store.write("servers", id, {
            service,
            address,
            zone,
            version: "v1",
            slots,
            state: draining ? "draining" : "ready",
            cold_left: `${coldLeft()}ms`,
            call_seq: sequence,
            ...hasStartTime ? { born: bornAt } : {},
        });
    }

    record();
    let timer = setInterval(record, heartbeat);

    return {
        id,
        address,
        faults,
        /** Says that it is leaving; returns when the store has taken that. */
        drain() {
            draining = true;
            record();
            return performance.now();
        },
        /** Turns cold again for a time, and says so in the store. */
        goCold(duration) {
            coldUntil = performance.now() + duration;
            record();
        },
        /** Its process ends at once; it starts again under its id. Returns the ids of the requests that are lost. */
        crash(backAfter) {
            const lost = [...atWork];
            atWork = new Set();
            running = 0;
            waiting.length = 0;
            clearInterval(timer);
            server.close();
            sockets.forEach(socket => socket.destroy());
            setTimeout(() => {
                bornAt = Date.now();
                coldUntil = performance.now() + 3000;
                server.listen(port, host, () => {
                    record();
                    timer = setInterval(record, heartbeat);
                });
            }, backAfter);
            return lost;
        },
        /** Ends as planned: its entry goes, connections close. */
        end() {
            clearInterval(timer);
            store.remove("servers", id);
            server.close();
            server.closeAllConnections();
        },
        close() {
            clearInterval(timer);
            server.close();
            server.closeAllConnections();
        },
    };
}

async function readText(request) {
    const chunks = [];
    for await (const chunk of request) {
        chunks.push(chunk);
    }
    return Buffer.concat(chunks).toString("utf8");
}

/** A configuration as the operator writes it. */
export function configuration({ version, routes, services, host = "shop.example" }) {
    return {
        version: version.toString(16).padStart(8, "0"),
        limits: { max_header_bytes: 16384, max_body_bytes: 67108864, header_timeout: "3000ms", idle_timeout: "15000ms" },
        listeners: [{
            host,
            rules: routes.map(({ attempts = 2, goal = "500ms", kind, name, path, service, sticky = false, timeout }) => ({
                name,
                kind,
                goal,
                priority: 1,
                sticky,
                match: { path_prefix: path },
                action: { service, timeout, max_attempts: attempts, home_regions: [] },
            })),
        }],
        clusters: services.map(name => ({ name, health_path: "/health", max_conns: 330, protocol: "h1", tls: false, warmup: "3s", cold_per_s: 14 })),
    };
}

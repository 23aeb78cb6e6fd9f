// Stand-in for a backend server: slots, a queue, the answers that the protocol asks for, and a record of its runs.
import { createServer } from "node:http";

/** `workOf(request)` is how long a request takes, in milliseconds. `runs` has an entry for each request that began to run. */
export async function startServer({ id, host, slots = 9, queue = 27, workOf = () => 20 }) {
    const runs = [];
    const waiting = [];
    let running = 0;
    const load = () => ({ "Server-Load": `${running},${waiting.length},${slots}` });

    const server = createServer(async (request, response) => {
        const requestId = request.headers["request-id"];
        const chunks = [];
        for await (const chunk of request) {
            chunks.push(chunk);
        }
        if (request.url === "/health") {
            response.writeHead(200, { "Instance-Id": id, "Cold-Ms": "0", "Content-Length": 0, ...load() }).end();
            return;
        }
        const refuse = status =>
            response.writeHead(status, { "Not-Run": "1", "Request-Id": requestId ?? "", "Instance-Id": id, "Content-Length": 0, ...load() }).end();
        if (requestId === undefined) {
            refuse(400);
            return;
        }
        const expected = request.headers["expect-instance"];
        if (expected !== undefined && expected !== id) {
            refuse(421);
            return;
        }
        if (running >= slots && waiting.length >= queue) {
            refuse(503);
            return;
        }
        let isGone = false;
        response.on("close", () => {
            isGone = !response.writableFinished;
        });
        if (running >= slots) {
            await new Promise(resolve => waiting.push(resolve));
        }
        running += 1;
        const release = () => {
            running -= 1;
            waiting.shift()?.();
        };
        if (isGone) {
            release();
            return;
        }
        const run = {
            requestId, server: id, at: performance.now(), endedAt: undefined, box: request.socket.remoteAddress,
            method: request.method, url: request.url, body: Buffer.concat(chunks).toString("latin1"), headers: request.headers,
        };
        runs.push(run);
        await new Promise(resolve => setTimeout(resolve, workOf(request)));
        run.endedAt = performance.now();
        release();
        const text = `${id} ran ${requestId}`;
        response.writeHead(200, {
            "Request-Id": requestId, "Server-Stamp": `stamp.${requestId}`, "Content-Length": text.length, ...load(),
        }).end(text);
    });
    server.keepAliveTimeout = 10_000;
    await new Promise(resolve => server.listen(0, host, resolve));
    const address = `${host}:${server.address().port}`;
    return {
        id, address, runs, slots,
        close() {
            server.close();
            server.closeAllConnections();
        },
    };
}

/** What a server writes into the store. */
export function recordOf({ address, slots }, { service, zone, version = "v1", state = "ready" }) {
    return { service, address, zone, version, slots, state, cold_left: "0ms", call_seq: 1, born: 1_700_000_000_000 };
}

/**
 * The bench's baseline: a bare pass-through of Node's `http` and `undici`
 * with no decision in it: `passthrough-process PORT BACKEND-PORT ...`.
 */

import { createServer } from "node:http";
import { pipeline } from "node:stream";
import { Pool } from "undici";

const [port, ...backendPorts] = process.argv.slice(2);
const pools = backendPorts.map(backend => new Pool(`http://127.0.0.1:${backend}`, { connections: 100 }));
let turn = 0;

const server = createServer((request, response) => {
    const pool = pools[turn++ % pools.length];
    pool.request({ method: "GET", path: request.url ?? "/", headers: request.headers as Record<string, string> })
        .then(({ statusCode, headers, body }) => {
            response.writeHead(statusCode, headers);
            pipeline(body, response, () => undefined);
        })
        .catch(() => response.destroy());
});
server.listen(Number(port), "127.0.0.1");

process.once("SIGTERM", () => {
    server.closeAllConnections();
    server.close();
    pools.forEach(pool => void pool.destroy());
});

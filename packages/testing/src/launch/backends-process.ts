/**
 * All backend servers of a deployment in one process:
 * `backends-process ADMIN-PORT WORK-MILLISECONDS SLOTS NAME:PORT ...`.
 *
 * `GET /counts` tells what each did; `POST /behaviour?server=NAME` changes one.
 */

import { createServer } from "node:http";
import { type BackendServer, serveBackend } from "../standins/backend-server.js";

const stop = new AbortController();
const [adminPort, workTime, slots, ...places] = process.argv.slice(2);
const servers = new Map<string, BackendServer>();
for (const place of places) {
    const [id, port] = place.split(":");
    const address = { address: "127.0.0.1", port: Number(port) };
    servers.set(id, await serveBackend(id, address, { workTime: Number(workTime), slots: Number(slots) }, stop.signal));
}

const admin = createServer((request, response) => {
    const url = new URL(request.url ?? "", "http://admin");
    const server = servers.get(url.searchParams.get("server") ?? "");
    if (url.pathname === "/counts") {
        const counts = [...servers.values()].map(({ id, counts: own }) => ({
            id,
            ...own,
            sinceLastStart: performance.now() - own.lastStartedAt,
            saved: Object.fromEntries(own.saved),
        }));
        response.end(JSON.stringify(counts));
        return;
    }
    if (url.pathname === "/crash") {
        server?.crash();
        response.end();
        return;
    }
    let text = "";
    request.on("data", chunk => {
        text += String(chunk);
    });
    request.on("end", () => {
        Object.assign(server?.behaviour ?? {}, JSON.parse(text || "{}"));
        response.end();
    });
});
admin.listen(Number(adminPort), "127.0.0.1");

process.once("SIGTERM", () => {
    stop.abort();
    admin.closeAllConnections();
    admin.close();
});

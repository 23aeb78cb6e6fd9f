/**
 * The entry program's interface for operators: health, readiness, status,
 * metrics. It listens apart from callers and changes nothing.
 */

import { type Router, serviceId } from "@chalkdale/core";
import type { Address } from "@chalkdale/runtime";
import { createServer } from "node:http";
import type { Metrics } from "./metrics.js";

const requestTimeout = 5000;
const mostConnections = 32;

/** Listens at an address until the signal aborts. */
export async function serveOperators(
    address: Address,
    router: Router,
    metrics: Metrics,
    signal: AbortSignal,
): Promise<void> {
    const server = createServer({ requestTimeout }, (request, response) => {
        request.resume();
        const answer = answerTo(request.method ?? "", request.url ?? "", router, metrics);
        response.writeHead(answer.status, { "content-type": answer.type }).end(answer.body);
    });
    server.maxConnections = mostConnections;
    signal.addEventListener("abort", () => {
        server.closeAllConnections();
        server.close();
    }, { once: true });
    await new Promise<void>((resolve, reject) => {
        server.once("error", reject);
        server.listen(address.port, address.address, resolve);
    });
}

function answerTo(method: string, url: string, router: Router, metrics: Metrics) {
    const text = (status: number, body: string) => ({ status, type: "text/plain", body: `${body}\n` });
    if (method !== "GET") {
        return text(405, "only GET is answered here");
    }
    if (url.startsWith("/explain?")) {
        const query = new URL(url, "http://box").searchParams;
        const found = router.explain(serviceId(query.get("service") ?? ""), query.get("caller") ?? "");
        return found === undefined
            ? text(404, "no such service")
            : { status: 200, type: "application/json", body: JSON.stringify(found) };
    }
    const state = router.describe();
    switch (url) {
        case "/healthz":
            return text(200, "ok");
        case "/readyz":
            return state.ready && !state.leaving
                ? text(200, "ready")
                : text(503, state.leaving ? "leaving" : "not ready");
        case "/status":
            return {
                status: 200,
                type: "application/json",
                body: JSON.stringify({ ...state, totals: metrics.totals() }),
            };
        case "/metrics":
            return text(200, metrics.text(gaugesOf(router)));
        default:
            return text(404, "not found");
    }
}

function gaugesOf(router: Router): Record<string, number> {
    const state = router.describe();
    return {
        chalkdale_settings_version: state.settingsVersion ?? 0,
        chalkdale_plan_version: state.planVersion,
        chalkdale_in_flight: state.inFlight,
        chalkdale_ready: state.ready ? 1 : 0,
        process_resident_memory_bytes: process.memoryUsage().rss,
        process_cpu_seconds_total: (process.cpuUsage().user + process.cpuUsage().system) / 1e6,
    };
}

/**
 * The agent's interface for operators: health, readiness, status, metrics.
 */

import type { Address } from "@chalkdale/runtime";
import { createServer } from "node:http";
import type { Agent, AgentStatus } from "./agent.js";

const requestTimeout = 5000;
const mostConnections = 32;

/** Listens at an address until the signal aborts. */
export async function serveAgentOperators(address: Address, agent: Agent, signal: AbortSignal): Promise<void> {
    const server = createServer({ requestTimeout }, (request, response) => {
        const answer = answerTo(request.method ?? "", request.url ?? "", agent.status());
        request.resume();
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

function answerTo(method: string, url: string, status: AgentStatus) {
    const ready = status.settingsVersion !== undefined;
    const text = (code: number, body: string) => ({ status: code, type: "text/plain", body: `${body}\n` });
    if (method !== "GET") {
        return text(405, "only GET is answered here");
    }
    switch (url) {
        case "/healthz":
            return text(200, "ok");
        case "/readyz":
            return text(ready ? 200 : 503, ready ? "ready" : "no settings yet");
        case "/status":
            return { status: 200, type: "application/json", body: JSON.stringify(status) };
        case "/metrics":
            return text(200, metricsOf(status));
        default:
            return text(404, "not found");
    }
}

/** The Prometheus text format, version 0.0.4. */
function metricsOf(status: AgentStatus): string {
    const { rss } = process.memoryUsage();
    const { user, system } = process.cpuUsage();
    return [
        "# TYPE chalkdale_agent_settings_version gauge",
        `chalkdale_agent_settings_version ${status.settingsVersion ?? 0}`,
        "# TYPE chalkdale_agent_relay gauge",
        `chalkdale_agent_relay ${status.isRelay ? 1 : 0}`,
        "# TYPE chalkdale_agent_subscribers gauge",
        `chalkdale_agent_subscribers ${status.subscribers}`,
        "# TYPE chalkdale_agent_platform_silence_seconds gauge",
        `chalkdale_agent_platform_silence_seconds ${status.platformSilence / 1000}`.replace("Infinity", "+Inf"),
        "# TYPE process_resident_memory_bytes gauge",
        `process_resident_memory_bytes ${rss}`,
        "# TYPE process_cpu_seconds_total counter",
        `process_cpu_seconds_total ${(user + system) / 1e6}`,
    ].join("\n");
}

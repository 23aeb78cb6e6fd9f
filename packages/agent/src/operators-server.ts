/**
 * The agent's interface for operators: health, readiness, status, metrics.
 */

import { type Address, jsonAnswer, type OperatorsAnswer, serveOperators, textAnswer } from "@chalkdale/runtime";
import type { Agent, AgentStatus } from "./agent.js";

/** Listens at an address until the signal aborts. */
export function serveAgentOperators(address: Address, agent: Agent, signal: AbortSignal): Promise<void> {
    return serveOperators(address, url => answerTo(url, agent.status()), signal);
}

function answerTo(url: string, status: AgentStatus): OperatorsAnswer {
    const ready = status.settingsVersion !== undefined;
    switch (url) {
        case "/healthz":
            return textAnswer(200, "ok");
        case "/readyz":
            return textAnswer(ready ? 200 : 503, ready ? "ready" : "no settings yet");
        case "/status":
            return jsonAnswer(status);
        case "/metrics":
            return textAnswer(200, metricsOf(status));
        default:
            return textAnswer(404, "not found");
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

/**
 * The entry program's interface for operators: health, readiness, status,
 * metrics. It listens apart from callers and changes nothing.
 */

import { type Router, serviceId } from "@chalkdale/core";
import { type Address, jsonAnswer, type OperatorsAnswer, serveOperators, textAnswer } from "@chalkdale/runtime";
import type { Metrics } from "./metrics.js";

/** Listens at an address until the signal aborts. */
export function serveEntryOperators(
    address: Address,
    router: Router,
    metrics: Metrics,
    signal: AbortSignal,
): Promise<void> {
    return serveOperators(address, url => answerTo(url, router, metrics), signal);
}

function answerTo(url: string, router: Router, metrics: Metrics): OperatorsAnswer {
    if (url.startsWith("/explain?")) {
        return explainAnswer(url, router);
    }
    switch (url) {
        case "/healthz":
            return textAnswer(200, "ok");
        case "/readyz":
            return readiness(router);
        case "/status":
            return jsonAnswer({ ...router.describe(), totals: metrics.totals() });
        case "/metrics":
            return textAnswer(200, metrics.text(gaugesOf(router)));
        default:
            return textAnswer(404, "not found");
    }
}

function explainAnswer(url: string, router: Router): OperatorsAnswer {
    const query = new URL(url, "http://box").searchParams;
    const found = router.explain(serviceId(query.get("service") ?? ""), query.get("caller") ?? "");
    return found === undefined ? textAnswer(404, "no such service") : jsonAnswer(found);
}

function readiness(router: Router): OperatorsAnswer {
    const { ready, leaving } = router.describe();
    if (leaving) {
        return textAnswer(503, "leaving");
    }
    return ready ? textAnswer(200, "ready") : textAnswer(503, "not ready");
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

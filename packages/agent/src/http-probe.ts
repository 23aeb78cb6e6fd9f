/**
 * Probes a backend server by `GET /health` over HTTP.
 *
 * The answer is JSON with `ready`, `leaving`, `inUse` and `queued`. A status
 * of 503 reads as not ready, no answer in time likewise.
 */

import type { ProbeResult, ServerMember } from "@chalkdale/core";
import { boundedCall, urlOf } from "@chalkdale/runtime";
import { Agent, request } from "undici";
import type { ProbeServer } from "./prober.js";

const probeTimeout = 1000;
const largestAnswer = 4096;

/** Creates a probe whose connections close when the signal aborts. */
export function createHttpProbe(owner: AbortSignal): ProbeServer {
    const agent = new Agent({ connections: 1, connect: { timeout: probeTimeout }, maxResponseSize: largestAnswer });
    owner.addEventListener("abort", () => void agent.destroy().catch(() => undefined), { once: true });
    return async (server, caller) => {
        try {
            return await boundedCall([owner, caller], probeTimeout, async signal => {
                const response = await request(urlOf(server, "/health"), { dispatcher: agent, signal });
                return resultOf(server, response.statusCode, await response.body.json());
            });
        }
        catch {
            return { server: server.id, ready: false, leaving: false, inUse: 0, queued: 0, age: 0 };
        }
    };
}

function resultOf(server: ServerMember, status: number, body: unknown): ProbeResult {
    const fields = typeof body === "object" && body !== null ? body as Record<string, unknown> : {};
    return {
        server: server.id,
        ready: status === 200 && fields.ready !== false,
        leaving: fields.leaving === true,
        inUse: countOf(fields.inUse),
        queued: countOf(fields.queued),
        age: 0,
    };
}

function countOf(value: unknown): number {
    return typeof value === "number" && Number.isFinite(value) && value >= 0 ? Math.floor(value) : 0;
}

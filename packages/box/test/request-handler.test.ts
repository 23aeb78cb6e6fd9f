/**
 * Refusals before a server is chosen, with the request handler alone: the answer to
 * the caller and the line in the log.
 */

import {
    type CallerAccess,
    type Configuration,
    createBodyMemory,
    createConfigurationInForce,
    createWorkEstimate,
    type Route,
    type ShutdownPhase,
} from "@chalkdale/decisions";
import { type Milliseconds, milliseconds } from "@chalkdale/kernel";
import { createLog } from "@chalkdale/runtime";
import { expect } from "chai";
import { once } from "node:events";
import { createServer, request as httpRequest, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { serveCallers } from "../src/callers/caller-connections.js";
import { createLoopShare } from "../src/loop-share.js";
import { createBoxMetrics } from "../src/metrics.js";
import { createRequestHandler } from "../src/requests/request-handler.js";
import { noTrials } from "../src/rollouts/trials.js";
import type { SharedState } from "../src/state/shared-state.js";

const openRoute: Route = {
    name: "open",
    host: "127.0.0.1",
    pathPrefix: "/open/",
    kind: "safe",
    destinations: [],
    goal: milliseconds(400),
    timeout: milliseconds(1500),
    maxAttempts: 2,
    priority: 1,
    sticky: true,
    homeRegions: [],
    isPublic: false,
};

describe("the request handler", () => {
    let server: Server;
    let lines: string[];
    let phase: ShutdownPhase;
    let age: Milliseconds;
    let access: CallerAccess;

    beforeEach(async () => {
        lines = [];
        phase = "running";
        const limits = {
            maxHeaderBytes: 16_384,
            maxBodyBytes: 1000,
            headerTimeout: milliseconds(3000),
            idleTimeout: milliseconds(15_000),
        };
        const configuration: Configuration = {
            version: 7,
            routes: [openRoute],
            services: [],
            limits,
            access: { kind: "anyone" },
        };
        access = configuration.access;
        age = milliseconds(0);
        const state = {
            inForce: () => createConfigurationInForce({ ...configuration, access }),
            isComplete: () => true,
            configuration: () => configuration,
            replica: () => ({ revision: () => 12 }),
        } as unknown as SharedState;
        const unused = () => {
            throw new Error("unexpected call: no server is chosen in this test");
        };
        const clock = () => milliseconds(performance.now());
        server = createServer();
        const handler = createRequestHandler({
            clock,
            random: Math.random,
            log: createLog({ write: line => lines.push(line) }),
            metrics: createBoxMetrics(),
            protocol: { headers: { requestId: "request-id", customerKey: "key" } } as never,
            state,
            phase: () => phase,
            timeToAnswer: () => milliseconds(phase === "running" ? Infinity : 1000),
            configurationAge: () => age,
            serversAge: () => milliseconds(40),
            recentSends: undefined as never,
            retryAfter: unused,
            bodyMemory: createBodyMemory(1_000_000),
            quotas: { consume: () => undefined, reserve: () => false, refund: () => undefined },
            copyAgeBounds: { maxPropagationDelay: milliseconds(2000), maxKeyCopyAge: undefined },
            choose: unused,
            attempt: unused,
            retryBudgetOf: unused,
            recentKeys: undefined as never,
            workEstimate: createWorkEstimate(),
            transferSizes: undefined as never,
            roundTrip: unused,
            loadPerSlot: unused,
            isIsolated: unused,
            trials: noTrials,
            poisonRequestGuard: { track: unused },
        });
        serveCallers(server, {
            ...handler,
            clock,
            loopShare: createLoopShare(clock),
            maxConnections: Infinity,
            unreadFor: () => milliseconds(0),
            isLeaving: () => phase !== "running",
        });
        server.listen(0, "127.0.0.1");
        await once(server, "listening");
    });

    afterEach(() => {
        server.close();
        server.closeAllConnections();
    });

    async function sendRequest(
        requestId: string,
        path = "/a/?b",
    ): Promise<{ readonly status?: number; readonly connection?: string; }> {
        const { port } = server.address() as AddressInfo;
        const request = httpRequest({ port, host: "127.0.0.1", path, headers: { "Request-Id": requestId } });
        request.end();
        const [response] = await once(request, "response");
        response.resume();
        return { status: response.statusCode, connection: response.headers.connection };
    }

    it("answers 404 and logs request.noRoute if no route matches", async () => {
        expect(await sendRequest("r-1")).to.include({ status: 404 });
        expect(lines[0]).to.include("event=request.noRoute request=r-1").and.include("path=/a/?b version=7");
    });

    it("rejects an unknown key only if its copy of the keys is fresh, and logs the copy's age [P21]", async () => {
        access = { kind: "customers", customers: [] };
        age = milliseconds(2000);
        expect(await sendRequest("r-3", "/open/")).to.include({ status: 401 });
        age = milliseconds(2001);
        expect(await sendRequest("r-4", "/open/")).to.include({ status: 503 });
        expect(lines[0]).to.include("refusal=unknownKey version=7 copyAge=2000");
        expect(lines[1]).to.include("refusal=copyTooOld version=7 copyAge=2001");
    });

    it("refuses with 503, closes the connection, and logs the refusal once the box is closing [P7]", async () => {
        phase = "closing";
        expect(await sendRequest("r-2")).to.deep.equal({ status: 503, connection: "close" });
        expect(lines[0]).to.include(
            "event=request.refused request=r-2 refusal=leaving version=7 copyAge=0 serversRevision=12 serversAge=40",
        );
    });
});

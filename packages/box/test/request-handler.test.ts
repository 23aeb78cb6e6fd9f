/**
 * Refusals before a server is chosen, through the handler alone: what the caller
 * gets, and the line that the box writes.
 */

import { createRouteTable, type StopPhase } from "@chalkdale/decisions";
import { milliseconds } from "@chalkdale/kernel";
import { createLog } from "@chalkdale/runtime";
import { expect } from "chai";
import { once } from "node:events";
import { createServer, request as httpRequest, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { createBoxMetrics } from "../src/metrics.js";
import { createRequestHandler } from "../src/requests/request-handler.js";
import type { SharedState } from "../src/state/shared-state.js";

describe("the handler of requests", () => {
    let server: Server;
    let lines: string[];
    let phase: StopPhase;

    beforeEach(async () => {
        lines = [];
        phase = "running";
        const limits = {
            maxHeaderBytes: 16_384,
            maxBodyBytes: 1000,
            headerTimeout: milliseconds(3000),
            idleTimeout: milliseconds(15_000),
        };
        const configuration = { version: 7, routes: [], services: [], limits };
        const state = {
            routes: () => createRouteTable(configuration),
            isComplete: () => true,
            configuration: () => configuration,
            replica: () => ({ revision: () => 12 }),
        } as unknown as SharedState;
        const unused = () => {
            throw new Error("no server is chosen here");
        };
        server = createServer(createRequestHandler({
            clock: () => milliseconds(performance.now()),
            random: Math.random,
            log: createLog({ write: line => lines.push(line) }),
            metrics: createBoxMetrics(),
            protocol: { headers: { requestId: "request-id" } } as never,
            state,
            phase: () => phase,
            choose: unused,
            attempt: unused,
            budgetOf: unused,
            recentKeys: undefined as never,
            work: undefined as never,
            roundTrip: unused,
        }));
        server.listen(0, "127.0.0.1");
        await once(server, "listening");
    });

    afterEach(() => {
        server.close();
        server.closeAllConnections();
    });

    async function ask(requestId: string): Promise<{ readonly status?: number; readonly connection?: string; }> {
        const { port } = server.address() as AddressInfo;
        const request = httpRequest({ port, host: "127.0.0.1", path: "/a/?b", headers: { "Request-Id": requestId } });
        request.end();
        const [response] = await once(request, "response");
        response.resume();
        return { status: response.statusCode, connection: response.headers.connection };
    }

    it("says that there is no route while the box runs", async () => {
        expect(await ask("r-1")).to.include({ status: 404 });
        expect(lines[0]).to.include("event=request.noRoute request=r-1").and.include("path=/a/?b version=7");
    });

    it("refuses unrun, ends the connection, and leaves a line, once the box is closing [P7]", async () => {
        phase = "closing";
        expect(await ask("r-2")).to.deep.equal({ status: 503, connection: "close" });
        expect(lines[0]).to.include("event=request.refused request=r-2 refusal=leaving version=7 servers=12");
    });
});

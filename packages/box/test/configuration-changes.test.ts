/**
 * Requests that wait while the configuration changes. Guards against boxes that send all requests of a route to the
 * services of an older configuration, because one that had waited made the split from its own route and left it to
 * them, and against requests that are admitted by one configuration and served by parts of another.
 */

import {
    type CallerAccess,
    type Configuration,
    createBodyMemory,
    createServerCatalog,
    createWorkEstimate,
    type Customer,
    type Route,
    type WeightedService,
} from "@chalkdale/decisions";
import { customerId, customerKey, type Milliseconds, milliseconds, serviceId } from "@chalkdale/kernel";
import { createLog } from "@chalkdale/runtime";
import { expect } from "chai";
import { once } from "node:events";
import { createServer, request as httpRequest, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { serveCallers } from "../src/callers/caller-connections.js";
import { createLoopShare } from "../src/loop-share.js";
import { createBoxMetrics } from "../src/metrics.js";
import { createRequestHandler, type RequestHandlerOptions } from "../src/requests/request-handler.js";
import { noTrials } from "../src/rollouts/trials.js";
import { bodyOf } from "../src/servers/answer-body.js";
import { createSharedState, type SharedState } from "../src/state/shared-state.js";

const clock = () => milliseconds(performance.now());
const localHost = "127.0.0.1";
const club: Customer = {
    id: customerId("club"),
    keys: [customerKey("k-1")],
    priority: 1,
    quota: undefined,
    homeRegions: [],
};
const withCustomers: CallerAccess = { kind: "customers", customers: [club] };
/** Milliseconds for which a request waits for its quota. */
const quotaWait = milliseconds(60);

describe("a request that waits while the configuration changes", () => {
    let server: Server;
    let state: SharedState;
    /** Services that were chosen for, and headers that servers got, in order. */
    let services: string[];
    let headersAtServers: (readonly string[])[];
    let waits: boolean;

    beforeEach(async () => {
        services = [];
        headersAtServers = [];
        waits = false;
        const silent = createLog({ write: () => undefined });
        state = createSharedState({
            clock,
            log: silent,
            catalog: createServerCatalog(() => undefined as never),
            regionOfZone: new Map(),
            confirmedAge: () => milliseconds(0),
            describeRecentSends: () => undefined,
            onServerRestarted: () => undefined,
            onRollouts: () => undefined,
            onConfiguration: () => undefined,
        });
        state.replica("servers").applySnapshot({ revision: 1, items: [] });
        state.replica("closedZones").applySnapshot({ revision: 1, items: [] });
        server = createServer();
        const unused = () => undefined;
        const headers = {
            requestId: "request-id",
            customerKey: "key",
            customer: "customer",
            deadline: "deadline",
            affinityKey: "affinity",
            expectedServer: "expected",
            serverStamp: "stamp",
        };
        const options: Partial<Record<keyof RequestHandlerOptions, unknown>> = {
            clock,
            random: Math.random,
            log: silent,
            metrics: createBoxMetrics(),
            protocol: { headers },
            state,
            phase: () => "running",
            timeToAnswer: () => milliseconds(Infinity),
            configurationAge: () => milliseconds(0),
            serversAge: () => milliseconds(0),
            recentSends: { add: unused },
            retryAfter: () => undefined,
            bodyMemory: createBodyMemory(1_000_000),
            quotas: {
                consume: () => waits ? { retryAfter: quotaWait, boxCount: 1, shareRate: 1 } : undefined,
                reserve: () => true,
                refund: unused,
            },
            copyAgeBounds: { maxPropagationDelay: milliseconds(2000), maxKeyCopyAge: undefined },
            choose({ service }: { readonly service: string; }) {
                services.push(service);
                const chosen = { id: "i-1", state: { record: () => ({}) } };
                return { kind: "chosen", server: chosen, expectedAtNormalSpeed: milliseconds(10) };
            },
            attempt({ onSend, rawHeaders }: { readonly onSend: () => void; readonly rawHeaders: readonly string[]; }) {
                onSend();
                headersAtServers.push(rawHeaders);
                const answer = {
                    status: 200,
                    rawHeaders: ["Stamp", "s"],
                    headers: { stamp: "s" },
                    body: bodyOf(Buffer.alloc(0)),
                    framed: true,
                    reusable: true,
                };
                return Promise.resolve({ kind: "answered", answer });
            },
            retryBudgetOf: () => ({ onRequest: unused, tryConsume: () => false }),
            recentKeys: undefined,
            workEstimate: createWorkEstimate(),
            transferSizes: { onTransferred: unused },
            roundTrip: () => milliseconds(1),
            loadPerSlot: () => 0,
            isIsolated: () => false,
            trials: noTrials,
            poisonRequestGuard: {
                track: () => ({
                    waitForPermission: () => Promise.resolve("send"),
                    isExcludedFromHedging: () => true,
                    isStopped: () => false,
                    onAttemptEnded: unused,
                    end: unused,
                }),
            },
        };
        const handler = createRequestHandler(options as unknown as RequestHandlerOptions);
        serveCallers(server, {
            ...handler,
            clock,
            loopShare: createLoopShare(clock),
            maxConnections: Infinity,
            unreadFor: () => milliseconds(0),
            isLeaving: () => false,
        });
        server.listen(0, localHost);
        await once(server, "listening");
    });

    afterEach(() => {
        server.close();
        server.closeAllConnections();
    });

    const routeTo = (...destinations: string[]): Route => ({
        name: "search",
        host: localHost,
        pathPrefix: "/",
        kind: "unsafe",
        destinations: destinations.map(service => ({ service: serviceId(service), weight: 1 })),
        goal: milliseconds(400),
        timeout: milliseconds(1500),
        maxAttempts: 1,
        priority: 1,
        sticky: false,
        homeRegions: [],
        isPublic: false,
    });

    function configure(version: number, routes: readonly Route[], access: CallerAccess = withCustomers): void {
        const configuration: Configuration = {
            version,
            routes,
            services: [],
            limits: {
                maxHeaderBytes: 16_384,
                maxBodyBytes: 1000,
                headerTimeout: milliseconds(3000),
                idleTimeout: milliseconds(15_000),
            },
            access,
        };
        state.replica("configuration").applySnapshot({ revision: version, items: [configuration] });
    }

    async function ask(headers: Readonly<Record<string, string>> = { Key: "k-1" }): Promise<number | undefined> {
        const { port } = server.address() as AddressInfo;
        const request = httpRequest({ port, host: localHost, path: "/a", headers: { "Request-Id": "r", ...headers } });
        request.end();
        const [response] = await once(request, "response");
        response.resume();
        return response.statusCode;
    }

    async function passTime(duration: Milliseconds): Promise<void> {
        await new Promise(resolve => setTimeout(resolve, duration));
    }

    /** Sends a request that waits for its quota, and changes the configuration meanwhile. */
    async function askBeside(change: () => void, headers?: Readonly<Record<string, string>>): Promise<void> {
        waits = true;
        const waiting = ask(headers);
        await passTime(milliseconds(quotaWait / 2));
        change();
        waits = false;
        expect(await waiting).to.equal(200);
    }

    it("leaves nothing of the older split to the requests that follow", async () => {
        configure(1, [routeTo("a", "b")]);
        await askBeside(() => configure(2, [routeTo("c", "d")]));
        expect(services).to.have.length(1);
        for (let count = 0; count < 4; count++) {
            await ask();
        }
        expect(services.slice(1)).to.deep.equal(["c", "d", "c", "d"]);
    });

    it("does not pass its caller's key on once callers need none [P21]", async () => {
        configure(1, [routeTo("a")]);
        await askBeside(() => configure(2, [routeTo("a")], { kind: "anyone" }), { Key: "k-1", Customer: "another" });
        const [names] = headersAtServers.map(headers => headers.map(text => text.toLowerCase()));
        expect(names).not.to.include("k-1");
        expect(names).not.to.include("another");
        expect(names).to.include("club");
    });

    it("shares no split with a route of the same name on another host", async () => {
        const weighted = (...destinations: WeightedService[]) => ({ ...routeTo(), destinations });
        const other = { ...weighted({ service: serviceId("x"), weight: 1 }, { service: serviceId("y"), weight: 1 }) };
        configure(1, [routeTo("a", "b"), { ...other, host: "other.example" }]);
        await ask({ Key: "k-1", Host: "other.example" });
        await ask();
        expect(services).to.deep.equal(["x", "a"]);
    });
});

/**
 * Guards against servers that are never checked again: a check that is answered with a change of protocol ended without
 * an answer and without an error, so it counted as running for good, and an ejected server stayed ejected.
 */

import type { BackendServer } from "@chalkdale/decisions";
import { backendServerId, hashText, milliseconds } from "@chalkdale/kernel";
import { expect } from "chai";
import type { CallerProtocol } from "../src/callers/caller-protocol.js";
import { createHealthChecker, type HealthCheckerOptions } from "../src/servers/health-checker.js";
import { type RawServer, startRawServer, unrequestedUpgrade } from "./raw-server.js";

const healthyAnswer = "HTTP/1.1 200 OK\r\nInstance-Id: s-1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";

describe("health checks of an ejected server", () => {
    let raw: RawServer | undefined;
    let results: boolean[];
    let notices: number;
    const lifetime = new AbortController();

    beforeEach(() => {
        results = [];
        notices = 0;
    });

    afterEach(() => raw?.close());
    after(() => lifetime.abort());

    /** Creates the function that runs due checks of a server which always has one due. */
    async function createChecks(answer: (request: number) => string, path = "/health"): Promise<() => void> {
        raw = await startRawServer(answer);
        const { address } = raw;
        const state = {
            healthCheckDueAt: () => milliseconds(0),
            record: () => ({ address }),
            onHealthCheck: (_at: number, healthy: boolean) => void results.push(healthy),
            onReplaced: () => undefined,
        } as unknown as BackendServer["state"];
        const server: BackendServer = {
            id: backendServerId("s-1"),
            idHash: hashText("s-1"),
            state,
            addedAt: undefined,
        };
        const silent = () => undefined;
        const options = {
            clock: () => milliseconds(performance.now()),
            log: { info: silent, warn: silent, error: silent },
            protocol: {
                readServerId: headers => backendServerId(String(headers["instance-id"])),
                readColdFor: silent,
            } as Partial<CallerProtocol>,
            catalog: { all: () => [server] },
            limitedServers: { onHealthCheckAnswer: silent },
            serverNotices: { onAnswer: () => void (notices += 1) },
            coldServerSharing: { onChecked: silent },
            unconfirmedChecks: { takeDue: () => false },
            loopShare: { meter: silent },
            localAddress: "127.0.0.1",
            healthPathOf: () => path,
            paths: { pathTo: () => "direct", onConnected: silent, onConnectFailed: () => Promise.resolve(false) },
            signal: lifetime.signal,
        };
        return createHealthChecker(options as unknown as HealthCheckerOptions);
    }

    async function waitForResult(count: number): Promise<void> {
        const giveUpAt = performance.now() + 2000;
        while (results.length < count && performance.now() < giveUpAt) {
            await new Promise(resolve => setTimeout(resolve, 10));
        }
    }

    // Guards against boxes that end with an error nobody handles: Node throws for a path with such characters.
    it("fail if their path can't be requested", async () => {
        const runDue = await createChecks(() => healthyAnswer, "/health check");
        runDue();
        await waitForResult(1);
        expect(results).to.deep.equal([false]);
    });

    for (const status of ["000", "600"]) {
        it(`learn nothing from an answer whose status ends no request (${status})`, async () => {
            const runDue = await createChecks(() => healthyAnswer.replace("200", status));
            runDue();
            await waitForResult(1);
            expect(results).to.deep.equal([false]);
            expect(notices).to.equal(0);
        });
    }

    it("go on after one is answered with a change of protocol", async () => {
        const runDue = await createChecks(request => request === 1 ? unrequestedUpgrade : healthyAnswer);
        runDue();
        await waitForResult(1);
        expect(results).to.deep.equal([false]);
        runDue();
        await waitForResult(2);
        expect(results).to.deep.equal([false, true]);
    });
});

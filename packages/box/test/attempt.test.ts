/**
 * Guards against two failures:
 *
 * A request is sent to a server that is known to be leaving, because the server's
 * state changed between its choice and the first byte. A lost packet delays the
 * opening of a connection by 1 s and a second one by 2 s more, while no request may
 * arrive later than 2 s after the change.
 *
 * A request that was given up still arrives later, because its connection was closed
 * gracefully: the kernel then goes on sending what is left in a stalled connection's
 * buffer.
 */

import {
    type BackendServer,
    type BackendServerRecord,
    createIdleTimeoutEstimate,
    createSendRecord,
    createServerState,
    createServiceLoad,
    type SendRecord,
} from "@chalkdale/decisions";
import {
    availabilityZoneId,
    backendServerId,
    type Milliseconds,
    milliseconds,
    Ok,
    regionId,
    serviceId,
} from "@chalkdale/kernel";
import { expect } from "chai";
import { once } from "node:events";
import { type AddressInfo, connect, createServer, type Server, type Socket } from "node:net";
import { createLoopShare } from "../src/loop-share.js";
import { createDirectAttempts } from "../src/paths/direct-attempts.js";
import type { AttemptOutcome, AttemptRequest } from "../src/requests/attempt-request.js";
import { type AttemptOptions, createAttempt } from "../src/requests/attempt.js";
import { createDirectAttempt, type DirectPaths } from "../src/requests/direct-attempt.js";
import { createServerFeedback } from "../src/requests/server-feedback.js";
import type { ServerConnection } from "../src/servers/idle-connections.js";
import type { ServerConnections } from "../src/servers/server-connections.js";
import { createAmpleMemory } from "./ample-memory.js";

const record: BackendServerRecord = {
    id: backendServerId("i-1"),
    service: serviceId("profiles"),
    address: "127.0.0.1:1",
    zone: availabilityZoneId("north-a"),
    region: regionId("north"),
    slots: 4,
    draining: false,
    coldFor: milliseconds(0),
    revision: 7,
};

const unbounded = { allows: () => true, onSent: () => undefined, onNotSent: () => undefined, ownRate: () => 0 };

describe("one attempt at a server", () => {
    let listener: Server;
    let received: string;
    let accepted: Promise<Socket>;
    let server: BackendServer;
    let closedZones: Set<string>;
    let sends: number;
    let sendRecord: SendRecord;
    let controller: AbortController;
    let sockets: Socket[];
    /** Milliseconds for which the connection of the attempt was idle. */
    let idleTime: number;
    /** When the server ended, as the check after a closed connection finds. */
    let terminatedAt: Milliseconds | undefined;

    beforeEach(async () => {
        sockets = [];
        listener = createServer();
        listener.listen(0, "127.0.0.1");
        await once(listener, "listening");
    });

    function reset(): void {
        received = "";
        sends = 0;
        sendRecord = createSendRecord();
        idleTime = 0;
        terminatedAt = undefined;
        closedZones = new Set();
        controller = new AbortController();
        accepted = once(listener, "connection").then(([socket]: Socket[]) => {
            sockets.push(socket);
            socket.on("data", (data: Buffer) => {
                received += data.toString();
            });
            return socket;
        });
        const state = createServerState(record, milliseconds(0), {
            recordPropagationDelay: milliseconds(0),
            slowStart: unbounded,
            createLimitShare: () => unbounded,
        });
        server = { id: record.id, idHash: 1, addedAt: undefined, state };
    }

    afterEach(() => {
        controller.abort();
        sockets.forEach(socket => socket.destroy());
        listener.close();
    });

    async function openConnection(): Promise<ServerConnection> {
        const socket = connect((listener.address() as AddressInfo).port, "127.0.0.1");
        sockets.push(socket);
        await once(socket, "connect");
        return { socket, idleTime: milliseconds(idleTime) };
    }

    /** Attempts a GET; `whileConnecting` is called between the choice of the server and the use of its connection. */
    async function attemptRead(whileConnecting: () => void): Promise<AttemptOutcome> {
        const clock = () => milliseconds(performance.now());
        const protocol = {
            headers: { requestId: "request-id", deadline: "deadline", expectedServer: "expected" },
        } as never;
        const connections: ServerConnections = {
            acquire: async () => {
                const connection = await openConnection();
                whileConnecting();
                return Ok(connection);
            },
            release: () => undefined,
            closeIdle: () => undefined,
            sweep: () => undefined,
            count: () => 0,
        };
        const feedback = createServerFeedback({
            clock,
            protocol,
            connections,
            serviceLoad: createServiceLoad(),
            limitedServers: { onAnswer: () => undefined },
            serverNotices: { onAnswer: () => undefined },
            hasNewIncarnation: () => false,
        });
        const paths: DirectPaths & AttemptOptions["paths"] = {
            pathTo: () => "direct",
            isKnownCut: () => false,
            onConnecting: () => () => undefined,
            onConnected: () => undefined,
            onAnswered: () => undefined,
            onConnectFailed: () => Promise.resolve(false),
            onNotForwarded: () => undefined,
            check: () => Promise.resolve("direct"),
        };
        const attempt = createAttempt({
            clock,
            paths,
            feedback,
            attemptDirectly: createDirectAttempt({
                clock,
                protocol,
                connections,
                loopShare: createLoopShare(clock),
                feedback,
                maxConnectionsPerServer: () => 10,
                paths,
                pending: createDirectAttempts(),
                findTermination: () => Promise.resolve(terminatedAt),
                hasNewIncarnation: () => false,
                hasSuccessor: () => false,
                admitsZone: zone => !closedZones.has(zone),
                idleTimeoutEstimate: createIdleTimeoutEstimate(),
                countBytes: () => undefined,
            }),
            attemptThroughOthers: () => Promise.reject(new Error("unexpected call: the path is not cut")),
        });
        const request: AttemptRequest = {
            isIdempotent: true,
            allowedRegions: undefined,
            service: record.service,
            server,
            method: "GET",
            path: "/lookup/",
            rawHeaders: ["Request-Id", "r-1"],
            body: Buffer.alloc(0),
            requestId: "r-1",
            timeLeft: () => milliseconds(1500),
            roundTrip: milliseconds(1),
            expected: milliseconds(400) as Milliseconds,
            signal: controller.signal,
            answerMemory: createAmpleMemory(),
            sends: sendRecord,
            caller: { isConfirmed: () => true, confirm: () => Promise.resolve(!controller.signal.aborted) },
            onSend: () => {
                sends += 1;
            },
            onServed: () => undefined,
        };
        return attempt(request);
    }

    it("sends nothing to a server that leaves or asks for back-off while its connection is being opened", async () => {
        const changes: readonly (() => void)[] = [
            () => server.state.applyRecord({ ...record, draining: true }, milliseconds(0)),
            () => server.state.onUnlisted(),
            () => server.state.onReplaced(),
            () => server.state.onLeaving(),
            () => server.state.onBackoff(milliseconds(performance.now()), milliseconds(3000)),
            () => closedZones.add(record.zone),
        ];
        for (const change of changes) {
            reset();
            const attempted = attemptRead(change);
            const socket = await accepted;
            await Promise.race([once(socket, "close"), once(socket, "data")]);
            controller.abort();
            expect([(await attempted).kind, sends, received]).to.deep.equal(["notSent", 0, ""]);
        }
    });

    it("sends nothing once the caller was told that the request has not run [P4]", async () => {
        reset();
        const attempted = attemptRead(() => void sendRecord.proveNotRun());
        const socket = await accepted;
        await Promise.race([once(socket, "close"), once(socket, "data")]);
        expect([(await attempted).kind, sends, received]).to.deep.equal(["notSent", 0, ""]);
    });

    it("resets the connection of an aborted request, so that no part of it arrives later", async () => {
        reset();
        const ended = attemptRead(() => undefined);
        const socket = await accepted;
        const end = Promise.race([
            once(socket, "error").then(([error]: NodeJS.ErrnoException[]) => error.code),
            once(socket, "end").then(() => "closed gracefully"),
        ]);
        await once(socket, "data");
        controller.abort();
        expect(await end).to.equal("ECONNRESET");
        await ended;
    });

    describe("whose rested connection ends at once", () => {
        const terminationOf = async (found: Milliseconds | undefined) => {
            reset();
            idleTime = 450;
            terminatedAt = found;
            const ended = attemptRead(() => undefined);
            const socket = await accepted;
            await once(socket, "data");
            socket.destroy();
            const outcome = await ended;
            expect(outcome.kind === "broken" && outcome.wasStaleConnection).to.equal(true);
            return outcome.kind === "broken" ? await outcome.serverTerminatedAt : undefined;
        };

        // Guards against a poison request that crashes its server at once and is never recognized.
        it("has terminated its server if that accepts no connection afterwards [P26]", async () => {
            expect(await terminationOf(milliseconds(1234))).to.equal(1234);
        });

        it("was closed by its server while it was idle if that still accepts connections", async () => {
            expect(await terminationOf(undefined)).to.equal(undefined);
        });
    });
});

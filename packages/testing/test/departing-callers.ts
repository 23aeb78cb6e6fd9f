/**
 * The fixture of tests with callers that leave while box processes can't read: boxes as processes of their own, servers
 * that record each arrival, and callers that close their connections.
 */

import { milliseconds } from "@chalkdale/kernel";
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { type BoxProcess, createBoxProcess } from "../src/soak/box-process.js";
import { type ServerStandIn } from "../src/standins/backend-server.js";
import { sendRequest } from "../src/standins/client.js";
import { pause, startTestDeployment, type TestDeployment, testHost, waitUntil } from "../src/standins/deployment.js";
import { openPipeline, type PipeliningConnection } from "../src/standins/pipelining-client.js";

/** A request that arrived at a server; `at` is in milliseconds of `performance.now`. */
interface Arrival {
    readonly requestId: string;
    readonly server: string;
    /** Loopback address of the box that sent it. */
    readonly boxHost: string | undefined;
    readonly at: number;
    /** What the box states as the time left, in milliseconds. */
    readonly deadline: number;
}

/** A request of a caller. */
interface CallerRequest {
    readonly requestId: string;
    readonly sentAt: number;
    /** When the caller closed its connection without having an answer. */
    leftAt: number | undefined;
    /** Status of the answer; 0 for a connection that the box closed. */
    status: number | undefined;
}

/** What a caller sends on one connection, and when it leaves. */
export interface CallerOptions {
    /** Requests that are sent at once. */
    readonly pipelined?: number;
    readonly path?: string;
    readonly method?: string;
    /** Makes the requests uploads. */
    readonly body?: string;
    readonly deadlineMs?: number;
    /** Milliseconds after which the caller leaves if it has not all its answers; it stays without it. */
    readonly leaveAfter?: number;
    readonly leaveBy?: "close" | "reset";
    /** A connection that is open already. */
    readonly connection?: PipeliningConnection;
}

/** The running fixture. */
export interface DepartureFixture {
    readonly deployment: TestDeployment;
    readonly boxes: readonly BoxProcess[];
    readonly servers: readonly ServerStandIn[];
    readonly arrivals: readonly Arrival[];
    readonly requests: readonly CallerRequest[];
    /** Opens connections that have carried one request each. */
    readonly openUsed: (box: BoxProcess, count: number) => Promise<readonly PipeliningConnection[]>;
    /** Starts a caller. */
    readonly call: (box: BoxProcess, options?: CallerOptions) => void;
    /** Starts callers one after the other, `interval` milliseconds apart; `options` gets their numbers. */
    readonly callRepeatedly: (
        box: BoxProcess,
        count: number,
        interval: number,
        options: (index: number) => CallerOptions,
    ) => Promise<void>;
    /** Resolves once every caller has its answers or has left. */
    readonly settle: () => Promise<void>;
    /** Requests that reached a server over half a second after their caller had left, one line each. */
    readonly lateArrivals: () => readonly string[];
    readonly close: () => Promise<void>;
}

/** Milliseconds after a caller has left in which a request may still arrive; from the users' rules. */
const lateAfter = 500;
const serverCount = 12;
/** Milliseconds of work at a server for a request with a new key. */
const work = 20;
/** Third byte of the boxes' loopback addresses. */
const network = 6;

/** Starts boxes, each of which serves once this resolves. */
export async function startDepartureFixture(boxCount: number): Promise<DepartureFixture> {
    const folder = mkdtempSync(join(tmpdir(), "chalkdale-departures-"));
    const deployment = await startTestDeployment();
    const arrivals: Arrival[] = [];
    const requests: CallerRequest[] = [];
    const connections: PipeliningConnection[] = [];
    const unsettled = new Set<CallerRequest>();
    let requestCount = 0;
    const servers = await Promise.all(Array.from({ length: serverCount }, (_, index) => addServer(`i-${index}`)));
    deployment.configure(2, [
        { name: "look", path: "/look/", kind: "safe", timeout: "20s" },
        { name: "save", path: "/save/", kind: "unsafe", timeout: "20s" },
        { name: "photos", path: "/photos/", kind: "upload", timeout: "20s" },
    ]);
    const boxes = Array.from({ length: boxCount }, (_, index) => createBox(index));
    boxes.forEach(box => box.start());
    for (const box of boxes) {
        await waitUntil(async () => await probe(box) === 200, `${box.name} serves`);
    }

    return {
        deployment,
        boxes,
        servers,
        arrivals,
        requests,
        async openUsed(box, count) {
            const opened = Array.from({ length: count }, () => open(box));
            opened.forEach(connection => call(box, { connection }));
            await settle();
            return opened;
        },
        call,
        async callRepeatedly(box, count, interval, options) {
            const startedAt = performance.now();
            for (let index = 0; index < count; index++) {
                call(box, options(index));
                await pause(milliseconds(Math.max(0, startedAt + (index + 1) * interval - performance.now())));
            }
        },
        settle,
        lateArrivals() {
            const leftAt = new Map(requests.map(request => [request.requestId, request.leftAt]));
            return arrivals.flatMap(({ at, requestId, server }) => {
                const after = at - (leftAt.get(requestId) ?? Infinity);
                return after > lateAfter ? [`${requestId} at ${server} ${Math.round(after)} ms after`] : [];
            });
        },
        async close() {
            boxes.forEach(box => box.signal("SIGCONT"));
            boxes.forEach(box => box.signal("SIGKILL"));
            await Promise.all(boxes.map(box => box.waitForExit()));
            connections.forEach(connection => connection.leave("close"));
            await deployment.close();
            rmSync(folder, { recursive: true });
        },
    };

    async function addServer(id: string): Promise<ServerStandIn> {
        const server = await deployment.addServer({
            id,
            slots: 40,
            queue: 1000,
            onRequest: request => {
                const requestId = String(request.headers["request-id"]);
                const deadline = Number(request.headers["deadline-ms"]);
                const boxHost = request.socket.remoteAddress;
                arrivals.push({ requestId, server: id, boxHost, at: performance.now(), deadline });
            },
        });
        server.setWork(work);
        return server;
    }

    function createBox(index: number): BoxProcess {
        const hostOf = (box: number) => `127.0.${network}.${box + 1}`;
        const firstPort = 20_000 + process.pid % 1000 * 10;
        return createBoxProcess({
            name: `box-${index}`,
            host: hostOf(index),
            firstPort,
            zone: "north-a",
            region: "north",
            zones: { "north-a": "north" },
            store: deployment.storeServer.address(),
            seeds: [`${hostOf(0)}:${firstPort + 3}`],
            folder,
        });
    }

    async function probe(box: BoxProcess): Promise<number> {
        const requestId = `probe-${requestCount++}`;
        return (await sendRequest({ address: box.callerAddress, host: testHost, path: "/look/", requestId })).status;
    }

    function open(box: BoxProcess): PipeliningConnection {
        const connection = openPipeline(box.callerAddress);
        connections.push(connection);
        return connection;
    }

    function call(box: BoxProcess, options: CallerOptions = {}): void {
        const { body, connection = open(box), leaveAfter, leaveBy = "close", path, pipelined = 1 } = options;
        const sent = Array.from({ length: pipelined }, (): CallerRequest => ({
            requestId: `r-${requestCount++}`,
            sentAt: performance.now(),
            leftAt: undefined,
            status: undefined,
        }));
        requests.push(...sent);
        sent.forEach(request => unsettled.add(request));
        const outcomes = connection.send(sent.map(({ requestId }) => ({
            host: testHost,
            path: path ?? (body === undefined ? "/look/" : "/photos/"),
            method: options.method ?? (body === undefined ? "GET" : "POST"),
            body,
            requestId,
            headers: {
                "Affinity-Key": requestId,
                ...options.deadlineMs === undefined ? {} : { "Deadline-Ms": String(options.deadlineMs) },
            },
        })));
        outcomes.forEach((outcome, index) =>
            void outcome.then(ended => {
                sent[index].status ??= ended.kind === "answered" ? ended.answer.status : 0;
                unsettled.delete(sent[index]);
            })
        );
        if (leaveAfter !== undefined) {
            setTimeout(() => {
                const unanswered = sent.filter(({ status }) => status === undefined);
                unanswered.forEach(request => {
                    request.leftAt = performance.now();
                });
                connection.leave(leaveBy);
            }, leaveAfter);
        }
    }

    function settle(): Promise<void> {
        return waitUntil(() => unsettled.size === 0, "all callers have their answers or have left");
    }
}

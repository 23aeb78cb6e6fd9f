/**
 * Finds out which servers this box reaches: from its own connections and answers, from test connections, and from
 * other boxes.
 *
 * - A connection that fails, or an answer that is overdue, makes the box ask other boxes whether they reach the server.
 * - While requests are pending and no server at all has answered for `silenceTimeout`, a few servers are tested: open
 *   connections that have gone silent would otherwise cost each request its time.
 * - Cut paths are tested one at a time, at once again after a success, until all work.
 *
 * Owns the state of the paths and the running tests; relies on `reach-questions` for the other boxes.
 */

import {
    type BackendServer,
    createServerPaths,
    type PathSummary,
    type ServerCatalog,
    type ServerPath,
} from "@chalkdale/decisions";
import { type Milliseconds, milliseconds } from "@chalkdale/kernel";
import type { Log } from "@chalkdale/runtime";
import type { DirectAttempts } from "./direct-attempts.js";
import { createReachQuestions, type ReachQuestionsOptions } from "./reach-questions.js";
import { createSharedResults, resultLifetime } from "./shared-results.js";
import { acceptsConnection } from "./test-connection.js";

/** Who reaches a server. */
type ReachedBy = "direct" | "viaPeer" | "none";

export interface PathMonitorOptions extends Omit<ReachQuestionsOptions, "areServersSilent"> {
    readonly log: Log;
    readonly localAddress: string;
    readonly catalog: Pick<ServerCatalog, "all" | "get">;
    readonly attempts: Pick<DirectAttempts, "sentBefore" | "abort">;
    /** Closes the idle connections to a server. */
    readonly closeIdle: (server: BackendServer) => void;
}

/** The monitor of one box. */
export interface PathMonitor {
    readonly pathTo: (server: BackendServer) => ServerPath;
    /** True if the path to this server itself is known to be cut; see `ServerPaths`. */
    readonly isKnownCut: (server: BackendServer) => boolean;
    /** True if no request can be served now. */
    readonly isIsolated: () => boolean;
    /**
     * A direct connection is being opened; if that takes long, other boxes are asked already. Returns the function to
     * call when it has succeeded or failed.
     */
    readonly onConnecting: (server: BackendServer) => () => void;
    readonly onConnected: (server: BackendServer) => void;
    /** The server answered on a connection of this box. */
    readonly onAnswered: (server: BackendServer) => void;
    /**
     * A direct connection failed. Resolves to true if another box reaches the server; an answer that was asked for at
     * `notBefore` or later can serve. Never rejects.
     */
    readonly onConnectFailed: (server: BackendServer, notBefore?: Milliseconds) => Promise<boolean>;
    /** The server has answered a request that another box forwarded. */
    readonly onForwarded: (server: BackendServer) => void;
    /** No box that was tried forwards requests to the server, since none reaches it. */
    readonly onNotForwarded: (server: BackendServer) => void;
    /**
     * Tests the path to a server whose answer is overdue or whose connection broke, unless a test that began at
     * `notBefore` or later can serve. Never rejects.
     */
    readonly check: (server: BackendServer, notBefore?: Milliseconds) => Promise<ReachedBy>;
    /** Resolves to true if this box itself reaches a server: the answer to another box. Never rejects. */
    readonly reachesDirectly: (server: BackendServer) => Promise<boolean>;
    /** Watches for silence and tests cut paths. Due several times a second. */
    readonly tick: () => void;
    readonly summary: () => PathSummary;
    /** The server is gone or has restarted. */
    readonly forget: (server: BackendServer["id"]) => void;
}

/** Milliseconds after which other boxes are asked about a connection that is still being opened. */
const askDelay = 100;
/** Milliseconds without any answer after which pending requests make the box test its paths. */
const silenceTimeout = 300;
/** Milliseconds between two such tests while servers work on long requests. */
const silenceCheckInterval = 1000;
/** Servers that are tested when all are silent: as many as show that the links are cut, see `ServerPaths`. */
const silenceChecks = 3;
/** Milliseconds between two questions to other boxes while this box is isolated. */
const isolatedAskInterval = 500;

/** Creates the monitor; all servers count as reachable. */
export function createPathMonitor(options: PathMonitorOptions): PathMonitor {
    const { catalog, clock, log } = options;
    const paths = createServerPaths(() => [...catalog.all()].length);
    /** Keyed by incarnation of a server: a result about an earlier one does not apply to the next. */
    const checks = createSharedResults<BackendServer, ReachedBy>(clock);
    const runningTests = new Map<BackendServer, Promise<boolean>>();
    const questions = createReachQuestions({ ...options, areServersSilent });
    let silenceCheckedAt = -Infinity;
    let askedWhileIsolatedAt = -Infinity;
    let isolatedAskCount = 0;
    let isTesting = false;
    let lastReach = "all";

    return {
        pathTo: server => paths.pathTo(targetOf(server), clock()),
        isKnownCut: server => paths.isKnownCut(targetOf(server)),
        isIsolated: () => paths.isIsolated(clock()),
        onConnecting: startAsking,
        onConnected,
        onAnswered: server => paths.onAnswered(targetOf(server), clock()),
        onConnectFailed,
        onForwarded(server) {
            onReachedByOthers(server);
            reportChange();
        },
        onNotForwarded(server) {
            paths.onUnreachedByPeers(targetOf(server), clock());
            reportChange();
        },
        check,
        reachesDirectly,
        tick() {
            checkSilentServers();
            askWhileIsolated();
            startTests();
            reportChange();
        },
        summary: () => paths.summary(clock()),
        forget: paths.forget,
    };

    function onConnected(server: BackendServer): void {
        const wasIndirect = paths.pathTo(targetOf(server), clock()) !== "direct";
        paths.onConnected(targetOf(server), clock());
        if (wasIndirect) {
            server.state.onHealthy();
            log.info("path.restored", { server: server.id, cut: paths.summary(clock()).cut });
        }
        reportChange();
    }

    async function onConnectFailed(server: BackendServer, notBefore?: Milliseconds): Promise<boolean> {
        paths.onConnectFailed(targetOf(server), clock());
        const isReached = await questions.isReached(server, notBefore);
        if (isReached) {
            onReachedByOthers(server);
        }
        else {
            paths.onUnreachedByPeers(targetOf(server), clock());
        }
        reportChange();
        return isReached;
    }

    /** The server is not to blame for what failed on the way to it. */
    function onReachedByOthers(server: BackendServer): void {
        if (!paths.onReachedByPeer(targetOf(server), clock())) {
            return;
        }
        server.state.onHealthy();
        const { cut, inferred } = paths.summary(clock());
        log.info("path.cut", {
            server: server.id,
            zone: server.state.record().zone,
            cut,
            inferred,
            lastAnswer: lastAnswerAge(),
        });
        leaveCutConnections();
    }

    /**
     * Closes idle connections on cut paths, which may have gone silent, and ends the attempts there that may run again,
     * unless answers of the zone still arrive.
     */
    function leaveCutConnections(): void {
        for (const server of catalog.all()) {
            if (paths.pathTo(targetOf(server), clock()) !== "direct") {
                options.closeIdle(server);
            }
        }
        options.attempts.abort(({ sentAt, server }) =>
            paths.pathTo(targetOf(server), clock()) !== "direct" && paths.zoneAliveAt(targetOf(server).zone) < sentAt
        );
    }

    function check(server: BackendServer, notBefore?: Milliseconds): Promise<ReachedBy> {
        return checks.get(
            server,
            notBefore ?? milliseconds(clock() - resultLifetime),
            () => testPath(server, notBefore),
        );
    }

    async function testPath(server: BackendServer, notBefore?: Milliseconds): Promise<ReachedBy> {
        const stopAsking = startAsking(server);
        const isDirect = !paths.isKnownCut(targetOf(server)) && await testDirectly(server);
        stopAsking();
        log.info("server.stalled", { server: server.id, accepts: isDirect });
        if (isDirect) {
            return "direct";
        }
        if (await onConnectFailed(server, notBefore)) {
            return "viaPeer";
        }
        server.state.onFailure(clock(), "unreachable");
        options.closeIdle(server);
        return "none";
    }

    /** Asks no other box: otherwise a server that is down would make every box ask about it. */
    async function reachesDirectly(server: BackendServer): Promise<boolean> {
        return paths.pathTo(targetOf(server), clock()) === "direct" && testDirectly(server);
    }

    /**
     * Opens a test connection, and records it if it is accepted. Only a running test is shared: an earlier result would
     * make a server that has just ended seem to run.
     */
    function testDirectly(server: BackendServer): Promise<boolean> {
        const running = runningTests.get(server);
        if (running !== undefined) {
            return running;
        }
        const test = openTestConnection(server).finally(() => runningTests.delete(server));
        runningTests.set(server, test);
        return test;
    }

    async function openTestConnection(server: BackendServer): Promise<boolean> {
        const accepts = await acceptsConnection({
            address: server.state.record().address,
            localAddress: options.localAddress,
            timeout: options.connectTimeout(server),
        });
        if (accepts) {
            onConnected(server);
        }
        return accepts;
    }

    /** Asks other boxes if a connection takes long, so that their answers are there when it fails. */
    function startAsking(server: BackendServer): () => void {
        const timer = setTimeout(() => void questions.isReached(server), askDelay);
        return () => clearTimeout(timer);
    }

    function checkSilentServers(): void {
        const now = clock();
        const silent = options.attempts.sentBefore(milliseconds(now - silenceTimeout))
            .filter(({ server }) => paths.pathTo(targetOf(server), clock()) === "direct");
        if (silent.length === 0 || !areServersSilent() || now - silenceCheckedAt < silenceCheckInterval) {
            return;
        }
        silenceCheckedAt = now;
        const servers = [...new Set(silent.map(({ server }) => server))];
        servers.slice(0, silenceChecks).forEach(server => void check(server));
    }

    /** True if no server has answered this box lately. */
    function areServersSilent(): boolean {
        return clock() - paths.lastAliveAt() >= silenceTimeout;
    }

    function startTests(): void {
        if (!isTesting) {
            void testCutPaths();
        }
    }

    async function testCutPaths(): Promise<void> {
        isTesting = true;
        let isRestored = true;
        while (isRestored) {
            const target = paths.nextToTest([...catalog.all()].map(targetOf), clock());
            const server = target && catalog.get(target.id);
            isRestored = server !== undefined && await testDirectly(server);
        }
        isTesting = false;
    }

    /** Asks others now and then, and at once when a box that was not asked has come into service. */
    function askWhileIsolated(): void {
        if (!paths.isIsolated(clock())) {
            return;
        }
        const server = nextOf([...catalog.all()]);
        const isDue = clock() - askedWhileIsolatedAt >= isolatedAskInterval;
        if (server !== undefined && (isDue || questions.hasUnasked(server))) {
            askedWhileIsolatedAt = clock();
            void askAnew(server);
        }
    }

    /** Another server each time: the one that was asked about may be down for all boxes. */
    function nextOf(servers: readonly BackendServer[]): BackendServer | undefined {
        isolatedAskCount += 1;
        return servers.at(isolatedAskCount % Math.max(1, servers.length));
    }

    async function askAnew(server: BackendServer): Promise<void> {
        if (await questions.askAnew(server)) {
            paths.onConnectFailed(targetOf(server), clock());
            onReachedByOthers(server);
            reportChange();
        }
    }

    function lastAnswerAge(): number | undefined {
        const at = paths.lastAliveAt();
        return Number.isFinite(at) ? Math.round(clock() - at) : undefined;
    }

    /** Logs when the box starts or stops to reach all servers, or to be isolated. */
    function reportChange(): void {
        const { cut, inferred, isIsolated, unreachable } = paths.summary(clock());
        const reach = reachOf(cut, inferred, isIsolated);
        if (reach === lastReach) {
            return;
        }
        lastReach = reach;
        log.info("paths.changed", { reach, cut, unreachable, inferred, lastAnswer: lastAnswerAge() });
        if (isIsolated) {
            startTests();
        }
    }
}

/** What the box reaches directly, as the log states it. */
function reachOf(cut: number, inferred: PathSummary["inferred"], isIsolated: boolean): string {
    if (isIsolated) {
        return "none";
    }
    if (inferred === "all") {
        return "viaPeers";
    }
    return cut > 0 ? "partly" : "all";
}

function targetOf({ id, state }: BackendServer) {
    return { id, zone: state.record().zone };
}

/**
 * How a box reaches each backend server: directly, or through another box while its own
 * links to the server are cut.
 *
 * A box that opens no connection to a server can't tell alone whether the server or the
 * link is down, so it asks other boxes. If one of them reaches the server, the link is
 * cut, and requests are forwarded through boxes that reach it. Reachability belongs to a
 * pair of box and server; several cut servers without any sign of life from the others of
 * their zone, or from all others, stand for links that are cut together, so the
 * remaining ones need not fail one by one. Only a connection of this box itself ends a cut.
 *
 * A box is isolated once it reaches servers neither directly nor through others: it then
 * refuses requests at once.
 *
 * Owns the state of all paths; relies on its users to open connections, to ask other
 * boxes, and to test cut paths (`nextToTest`). Times are passed in.
 */

import { type AvailabilityZoneId, type BackendServerId, type Milliseconds, milliseconds } from "@chalkdale/kernel";

/** How a request gets to a server now; `none` while the box is isolated. */
export type ServerPath = "direct" | "viaPeer" | "none";

/** A server as far as paths depend on it. */
interface PathTarget {
    readonly id: BackendServerId;
    readonly zone: AvailabilityZoneId;
}

/** What a box reaches, for logs and metrics. */
export interface PathSummary {
    /** Servers that only other boxes reach. */
    readonly cut: number;
    /** Servers that neither this box nor the boxes that it asked reach. */
    readonly unreachable: number;
    /** Whether all servers, or all of some zones, are taken to be cut. */
    readonly inferred: "none" | "zones" | "all";
    readonly isIsolated: boolean;
}

/** The paths of one box to all servers. */
export interface ServerPaths {
    /** A direct connection to the server was opened. */
    readonly onConnected: (server: PathTarget, at: Milliseconds) => void;
    /** The server answered on a direct connection. */
    readonly onAnswered: (server: PathTarget, at: Milliseconds) => void;
    /** No direct connection could be opened; other boxes are to be asked next. */
    readonly onConnectFailed: (server: PathTarget, at: Milliseconds) => void;
    /** Another box reaches the server. True if this shows that the direct path is cut, which was not known before. */
    readonly onReachedByPeer: (server: PathTarget, at: Milliseconds) => boolean;
    /** None of the boxes that were asked reaches the server. */
    readonly onUnreachedByPeers: (server: PathTarget, at: Milliseconds) => void;
    readonly pathTo: (server: PathTarget, at: Milliseconds) => ServerPath;
    /** True if the path to the server itself, and not only that to others, is known to be cut. */
    readonly isKnownCut: (server: PathTarget) => boolean;
    /** Time of the latest direct answer or connection of any server; minus infinity before the first. */
    readonly lastAliveAt: () => Milliseconds;
    /** The same for the servers of a zone. */
    readonly zoneAliveAt: (zone: AvailabilityZoneId) => Milliseconds;
    readonly isIsolated: (at: Milliseconds) => boolean;
    /**
     * Returns the next server whose direct path is to be tested: in turn, of those that are not reached directly;
     * undefined if there is none. `servers`: all that are listed.
     */
    readonly nextToTest: (servers: readonly PathTarget[], at: Milliseconds) => PathTarget | undefined;
    readonly summary: (at: Milliseconds) => PathSummary;
    /** The server is gone or has restarted: nothing is known of its path any more. */
    readonly forget: (server: BackendServerId) => void;
}

/** Cut servers of a zone, without a sign of life from the zone since, from which the whole zone is taken to be cut. */
const minCutForZone = 2;
/** The same for all servers. */
const minCutForAll = 3;
/** Unreachable servers, without a sign of life from any since, from which the box is isolated. */
const minUnreachable = 3;
/** Milliseconds without a sign of life before that: several servers may crash between two answers of others. */
const minSilence = 300;

const never = milliseconds(-Infinity);

/** What is known of a server that could not be reached directly. */
interface FailedPath {
    readonly target: PathTarget;
    /** `failing` until other boxes have been asked. */
    state: "failing" | "cut" | "unreachable";
    /** Time of the latest change of the state. */
    since: Milliseconds;
}

/** Creates the paths of a box that takes all servers to be reachable. `serverCount`: servers that are listed. */
export function createServerPaths(serverCount: () => number): ServerPaths {
    const failed = new Map<BackendServerId, FailedPath>();
    const aliveByZone = new Map<AvailabilityZoneId, Milliseconds>();
    let aliveAt = never;
    let reachedByPeerAt = never;
    let testCount = 0;

    return {
        onConnected(server, at) {
            failed.delete(server.id);
            recordAlive(server, at);
        },
        onAnswered: recordAlive,
        onConnectFailed(target, at) {
            if (!failed.has(target.id)) {
                failed.set(target.id, { target, state: "failing", since: at });
            }
        },
        onReachedByPeer(server, at) {
            reachedByPeerAt = at;
            const path = failed.get(server.id);
            const isNews = path !== undefined && path.state !== "cut";
            if (isNews) {
                path.state = "cut";
                path.since = at;
            }
            return isNews;
        },
        onUnreachedByPeers(server, at) {
            const path = failed.get(server.id);
            // Its time stays when it is found unreachable again: a server that has been down for long says nothing new.
            if (path !== undefined && path.state !== "unreachable") {
                path.state = "unreachable";
                path.since = at;
            }
        },
        pathTo,
        isKnownCut: ({ id }) => failed.get(id)?.state === "cut",
        lastAliveAt: () => aliveAt,
        zoneAliveAt,
        isIsolated,
        nextToTest,
        summary(at) {
            const states = [...failed.values()].map(({ state }) => state);
            return {
                cut: states.filter(state => state === "cut").length,
                unreachable: states.filter(state => state === "unreachable").length,
                inferred: inferred(),
                isIsolated: isIsolated(at),
            };
        },
        forget: server => void failed.delete(server),
    };

    function recordAlive({ zone }: PathTarget, at: Milliseconds): void {
        aliveAt = at;
        aliveByZone.set(zone, at);
    }

    function zoneAliveAt(zone: AvailabilityZoneId): Milliseconds {
        return aliveByZone.get(zone) ?? never;
    }

    function pathTo({ id, zone }: PathTarget, at: Milliseconds): ServerPath {
        if (failed.size === 0) {
            return "direct";
        }
        if (isIsolated(at)) {
            return "none";
        }
        const isCut = failed.get(id)?.state === "cut" || isZoneCut(zone) || areAllCut();
        return isCut ? "viaPeer" : "direct";
    }

    function isZoneCut(zone: AvailabilityZoneId): boolean {
        return areCut(path => path.target.zone === zone && path.since > zoneAliveAt(zone), minCutForZone);
    }

    function areAllCut(): boolean {
        return areCut(path => path.since > aliveAt, minCutForAll);
    }

    /**
     * True if enough servers are not reached, at least one of them because its path is cut: those that other boxes do
     * not reach at the moment may be cut as well.
     */
    function areCut(accept: (path: FailedPath) => boolean, needed: number): boolean {
        const cut = count("cut", accept);
        return cut > 0 && cut + count("unreachable", accept) >= needed;
    }

    function inferred(): PathSummary["inferred"] {
        if (areAllCut()) {
            return "all";
        }
        const zones = new Set([...failed.values()].map(({ target }) => target.zone));
        return [...zones].some(isZoneCut) ? "zones" : "none";
    }

    function isIsolated(at: Milliseconds): boolean {
        if (at - aliveAt < minSilence) {
            return false;
        }
        const since = Math.max(aliveAt, reachedByPeerAt);
        const needed = Math.max(1, Math.min(minUnreachable, serverCount()));
        return count("unreachable", path => path.since > since) >= needed;
    }

    function count(state: FailedPath["state"], accept: (path: FailedPath) => boolean): number {
        let total = 0;
        for (const path of failed.values()) {
            total += path.state === state && accept(path) ? 1 : 0;
        }
        return total;
    }

    /**
     * Alternates between servers known to be cut and those that are only taken to be, so that a few failed servers do
     * not keep the box from finding out that the others work.
     */
    function nextToTest(servers: readonly PathTarget[], at: Milliseconds): PathTarget | undefined {
        if (failed.size === 0) {
            return undefined;
        }
        const indirect = servers.filter(server => pathTo(server, at) !== "direct");
        const known = indirect.filter(({ id }) => failed.has(id));
        const others = indirect.filter(({ id }) => !failed.has(id));
        const preferred = testCount % 2 === 0 ? others : known;
        const candidates = preferred.length > 0 ? preferred : indirect;
        const target = candidates.at(Math.floor(testCount / 2) % Math.max(1, candidates.length));
        testCount += 1;
        return target;
    }
}

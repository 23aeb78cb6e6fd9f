/**
 * How an emulated box reaches servers while boxes are partitioned from them: the decisions on paths with emulated
 * connections, and other boxes that forward or refuse.
 *
 * Owns the state of one box's paths; relies on the fleet for which boxes are partitioned. Every request is emulated
 * with a new connection, which hangs at a partitioned box until its time limit.
 */

import { type BackendServer, createForwardingBoxes, createServerPaths, type MemberRecord } from "@chalkdale/decisions";
import type { BoxId, RandomSource } from "@chalkdale/kernel";
import type { EventQueue } from "./event-queue.js";

/** The way on which a request goes to a server. */
export interface EmulatedPath {
    /** The box that forwards it; undefined for a direct connection. */
    readonly via: BoxId | undefined;
    /** Milliseconds to that box and back. */
    readonly extraRoundTrip: number;
}

/** The paths of one box. */
export interface EmulatedPaths {
    /** Finds a path, and passes it to `onPath`; undefined if there is none. Immediate unless something fails. */
    readonly find: (server: BackendServer, onPath: (path: EmulatedPath | undefined) => void) => void;
    readonly isIsolated: () => boolean;
}

export interface EmulatedPathsOptions {
    readonly events: EventQueue;
    readonly random: RandomSource;
    readonly self: MemberRecord;
    /** All boxes of the deployment, this one included. */
    readonly members: () => readonly MemberRecord[];
    readonly isPartitioned: (box: BoxId) => boolean;
    readonly servers: () => Iterable<BackendServer>;
    /** Milliseconds to a box and back. */
    readonly roundTripToBox: (box: MemberRecord) => number;
}

/** Milliseconds after which a connection that hangs counts as failed. */
const connectTimeout = 250;
/** Milliseconds between two tests of cut paths. */
const testInterval = 250;
/** Boxes that are tried for a request. */
const maxBoxes = 4;
/** Boxes that are asked about a server. */
const maxAsked = 28;

/** Creates the paths of a box that reaches all servers. */
export function createEmulatedPaths(options: EmulatedPathsOptions): EmulatedPaths {
    const { events, isPartitioned, self } = options;
    const paths = createServerPaths(() => [...options.servers()].length);
    const forwardingBoxes = createForwardingBoxes({ self, inService: options.members, random: options.random });
    let isTesting = false;

    return { find, isIsolated: () => paths.isIsolated(events.now()) };

    function find(server: BackendServer, onPath: (path: EmulatedPath | undefined) => void): void {
        const target = targetOf(server);
        switch (paths.pathTo(target, events.now())) {
            case "direct":
                connect(server, onPath);
                return;
            case "viaPeer":
                findForwardingBox(server, onPath);
                return;
            case "none":
                onPath(undefined);
        }
    }

    function connect(server: BackendServer, onPath: (path: EmulatedPath | undefined) => void): void {
        if (!isPartitioned(self.box)) {
            paths.onConnected(targetOf(server), events.now());
            onPath({ via: undefined, extraRoundTrip: 0 });
            return;
        }
        events.after(connectTimeout, () => {
            paths.onConnectFailed(targetOf(server), events.now());
            startTests();
            askOthers(server, isReached => isReached ? findForwardingBox(server, onPath) : onPath(undefined));
        });
    }

    function askOthers(server: BackendServer, onReply: (isReached: boolean) => void): void {
        const boxes = rankedBoxes(server, maxAsked);
        const slowest = Math.max(0, ...boxes.map(options.roundTripToBox));
        events.after(slowest, () => {
            const isReached = boxes.some(({ box }) => !isPartitioned(box));
            if (isReached) {
                recordReplies(boxes);
                paths.onReachedByPeer(targetOf(server), events.now());
            }
            else {
                paths.onUnreachedByPeers(targetOf(server), events.now());
            }
            onReply(isReached);
        });
    }

    function findForwardingBox(server: BackendServer, onPath: (path: EmulatedPath | undefined) => void): void {
        tryBoxes(rankedBoxes(server, maxBoxes));

        function tryBoxes([box, ...others]: readonly MemberRecord[]): void {
            if (box === undefined) {
                onPath(undefined);
                return;
            }
            if (!isPartitioned(box.box)) {
                forwardingBoxes.onReached(box.box, events.now());
                onPath({ via: box.box, extraRoundTrip: options.roundTripToBox(box) });
                return;
            }
            events.after(options.roundTripToBox(box), () => {
                forwardingBoxes.onFailed(box.box, events.now());
                tryBoxes(others);
            });
        }
    }

    function recordReplies(boxes: readonly MemberRecord[]): void {
        for (const { box } of boxes) {
            if (isPartitioned(box)) {
                forwardingBoxes.onFailed(box, events.now());
            }
            else {
                forwardingBoxes.onReached(box, events.now());
            }
        }
    }

    function rankedBoxes(server: BackendServer, count: number): readonly MemberRecord[] {
        const request = { server: server.state.record(), allowedRegions: undefined };
        return forwardingBoxes.ranked(request, count, events.now());
    }

    function startTests(): void {
        if (!isTesting) {
            isTesting = true;
            events.after(testInterval, test);
        }
    }

    function test(): void {
        let target = paths.nextToTest([...options.servers()].map(targetOf), events.now());
        while (target !== undefined && !isPartitioned(self.box)) {
            paths.onConnected(target, events.now());
            target = paths.nextToTest([...options.servers()].map(targetOf), events.now());
        }
        isTesting = target !== undefined;
        if (isTesting) {
            events.after(testInterval, test);
        }
    }
}

function targetOf({ id, state }: BackendServer) {
    return { id, zone: state.record().zone };
}

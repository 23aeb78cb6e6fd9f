/**
 * What this box tells others of the limits that servers name: at once to some boxes,
 * those that may send there first, and to all in turn with gossip.
 *
 * Owns which limits are news; relies on the state of each server for the newest
 * word. Any message may be lost.
 */

import type { BackendServer, MemberRecord } from "@chalkdale/decisions";
import type { Clock, Milliseconds } from "@chalkdale/kernel";
import { encodeLimitReport, type LimitReport } from "./limit-messages.js";

export interface LimitGossipOptions {
    readonly clock: Clock;
    readonly random: () => number;
    /** Other boxes that callers are named. */
    readonly otherAdvertisedBoxes: () => readonly MemberRecord[];
    /** True for a box that may send to the server while it is limited. */
    readonly sharesLimit: (box: MemberRecord, server: BackendServer) => boolean;
    readonly send: (box: MemberRecord, reports: readonly LimitReport[]) => void;
}

/** How a box came to know of a limit: by an answer, by another box, or by one that still has an older word. */
export type LimitUpdateSource = "answer" | "told" | "outdated";

/** The news of one box. */
export interface LimitGossip {
    /** A limit began, changed or ended, or another box does not know yet. */
    readonly onChanged: (server: BackendServer, source: LimitUpdateSource) => void;
    /** What goes with gossip, of servers that have named a limit; undefined while there is nothing to tell. */
    readonly gossipPayload: (servers: readonly BackendServer[]) => readonly LimitReport[] | undefined;
    /** Due with each round of gossip. */
    readonly onGossipRound: () => void;
}

/** Limits in one datagram of gossip: some 45 bytes each. */
const mostReports = 10;
/**
 * Boxes that are told at once. Those that hear of it tell on as well: by gossip alone the last of a large fleet would know too late.
 */
const toldAtOnce: Readonly<Record<LimitUpdateSource, number>> = { answer: 8, told: 2, outdated: 0 };
/** Milliseconds for which a change goes before older limits: as long as gossip takes to reach the boxes of a fleet. */
const newsLasts = 3000;
/** Milliseconds for which gossip tells that a limit has ended. A limit that holds is told on, for boxes that start. */
const endLasts = 20_000;
/** Milliseconds between two messages beside gossip at least: a round of it. */
const tellInterval = 300;

/** Creates the news of a box that has nothing to tell. */
export function createLimitGossip(options: LimitGossipOptions): LimitGossip {
    const { clock } = options;
    const changedAt = new WeakMap<BackendServer, Milliseconds>();
    /** How many boxes are still to be told at once. */
    const untold = new Map<BackendServer, number>();
    let toldAt = -Infinity;
    let turn = 0;

    return {
        onChanged(server, source) {
            changedAt.set(server, clock());
            untold.set(server, Math.max(untold.get(server) ?? 0, toldAtOnce[source]));
            tellIfDue();
        },
        gossipPayload(servers) {
            const told = servers.filter(isTold);
            if (told.length === 0) {
                return undefined;
            }
            const news = told.filter(server => sinceChange(server) < newsLasts);
            const others = told.filter(server => !news.includes(server));
            return [...rotated(news), ...rotated(others)].slice(0, mostReports).flatMap(reportOf);
        },
        onGossipRound() {
            turn += mostReports;
            tellIfDue();
        },
    };

    function tellIfDue(): void {
        if (untold.size === 0 || clock() - toldAt < tellInterval) {
            return;
        }
        const reportsOf = new Map<MemberRecord, LimitReport[]>();
        for (const [server, count] of untold) {
            for (const box of toldBoxes(server, count)) {
                reportsOf.set(box, [...reportsOf.get(box) ?? [], ...reportOf(server)].slice(0, mostReports));
            }
        }
        untold.clear();
        toldAt = clock();
        reportsOf.forEach((reports, box) => options.send(box, reports));
    }

    function toldBoxes(server: BackendServer, count: number): readonly MemberRecord[] {
        const boxes = options.otherAdvertisedBoxes();
        const first = Math.floor(options.random() * boxes.length);
        const inTurn = [...boxes.slice(first), ...boxes.slice(0, first)];
        const sharing = inTurn.filter(box => options.sharesLimit(box, server));
        const others = inTurn.filter(box => !sharing.includes(box));
        return [...sharing, ...others].slice(0, count);
    }

    function reportOf({ state }: BackendServer): readonly LimitReport[] {
        const word = state.limit();
        return word === undefined ? [] : [encodeLimitReport(state.record(), word, clock())];
    }

    function isTold(server: BackendServer): boolean {
        const word = server.state.limit();
        return word?.kind === "named" || word !== undefined && sinceChange(server) < endLasts;
    }

    function sinceChange(server: BackendServer): number {
        return clock() - (changedAt.get(server) ?? -Infinity);
    }

    function rotated(servers: readonly BackendServer[]): readonly BackendServer[] {
        const first = turn % Math.max(1, servers.length);
        return [...servers.slice(first), ...servers.slice(0, first)];
    }
}

/**
 * Sends to other boxes the rate limits that servers report: at once to a few of
 * them, first to those that may send to the server, and to all by gossip.
 *
 * Owns which limits changed recently; relies on the state of each server for its
 * latest limit. Any message may be lost.
 */

import type { BackendServer, MemberRecord } from "@chalkdale/decisions";
import type { Clock, Milliseconds } from "@chalkdale/kernel";
import { encodeLimitReport, type LimitReport } from "./limit-messages.js";

export interface LimitGossipOptions {
    readonly clock: Clock;
    readonly random: () => number;
    /** The boxes that the directory advertises to callers, without this one. */
    readonly otherAdvertisedBoxes: () => readonly MemberRecord[];
    /** True for a box that may send to the server while it is limited. */
    readonly sharesLimit: (box: MemberRecord, server: BackendServer) => boolean;
    readonly send: (box: MemberRecord, reports: readonly LimitReport[]) => void;
}

/**
 * What caused an update: an answer of the server, the report of another box, or a box that still holds an older limit.
 */
export type LimitUpdateSource = "answer" | "told" | "outdated";

/** Sends the limits that one box knows. */
export interface LimitGossip {
    /** Called when a limit began, changed or ended, or when another box still holds an older one. */
    readonly onChanged: (server: BackendServer, source: LimitUpdateSource) => void;
    /** Limits of the given servers to add to a gossip message; undefined if there are none. */
    readonly gossipPayload: (servers: readonly BackendServer[]) => readonly LimitReport[] | undefined;
    /** Called in each round of gossip. */
    readonly onGossipRound: () => void;
}

/** Maximum number of limits in one datagram, of about 45 bytes each. */
const maxReportsPerMessage = 10;
/**
 * Number of boxes that get an update at once, by its source. They forward it as well: by gossip alone the last boxes of
 * a large fleet would get it too late.
 */
const immediateRecipients: Readonly<Record<LimitUpdateSource, number>> = { answer: 8, told: 2, outdated: 0 };
/**
 * Milliseconds for which gossip sends a changed limit ahead of older ones: the time that gossip takes to reach all
 * boxes of a fleet.
 */
const recentChangeDuration = 3000;
/**
 * Milliseconds for which gossip repeats the end of a limit. A limit in force is repeated for as long as it holds, for
 * boxes that start.
 */
const endedLimitDuration = 20_000;
/** Minimum milliseconds between two sends outside gossip: one round of gossip. */
const minSendInterval = 300;

/** Creates the limit gossip of a box that knows no limit. */
export function createLimitGossip(options: LimitGossipOptions): LimitGossip {
    const { clock } = options;
    const changedAt = new WeakMap<BackendServer, Milliseconds>();
    /** Number of boxes to which the limit of a server goes with the next send outside gossip. */
    const pendingRecipients = new Map<BackendServer, number>();
    let lastSentAt = -Infinity;
    let rotation = 0;

    return {
        onChanged(server, source) {
            changedAt.set(server, clock());
            pendingRecipients.set(server, Math.max(pendingRecipients.get(server) ?? 0, immediateRecipients[source]));
            sendIfDue();
        },
        gossipPayload(servers) {
            const gossiped = servers.filter(isGossiped);
            if (gossiped.length === 0) {
                return undefined;
            }
            const recent = gossiped.filter(server => sinceChange(server) < recentChangeDuration);
            const others = gossiped.filter(server => !recent.includes(server));
            return [...rotated(recent), ...rotated(others)].slice(0, maxReportsPerMessage).flatMap(reportOf);
        },
        onGossipRound() {
            rotation += maxReportsPerMessage;
            sendIfDue();
        },
    };

    function sendIfDue(): void {
        if (pendingRecipients.size === 0 || clock() - lastSentAt < minSendInterval) {
            return;
        }
        const reportsOf = new Map<MemberRecord, LimitReport[]>();
        for (const [server, count] of pendingRecipients) {
            for (const box of selectRecipients(server, count)) {
                reportsOf.set(box, [...reportsOf.get(box) ?? [], ...reportOf(server)].slice(0, maxReportsPerMessage));
            }
        }
        pendingRecipients.clear();
        lastSentAt = clock();
        reportsOf.forEach((reports, box) => options.send(box, reports));
    }

    function selectRecipients(server: BackendServer, count: number): readonly MemberRecord[] {
        const boxes = options.otherAdvertisedBoxes();
        const first = Math.floor(options.random() * boxes.length);
        const rotatedBoxes = [...boxes.slice(first), ...boxes.slice(0, first)];
        const sharing = rotatedBoxes.filter(box => options.sharesLimit(box, server));
        const others = rotatedBoxes.filter(box => !sharing.includes(box));
        return [...sharing, ...others].slice(0, count);
    }

    function reportOf({ state }: BackendServer): readonly LimitReport[] {
        const update = state.limit();
        return update === undefined ? [] : [encodeLimitReport(state.record(), update, clock())];
    }

    function isGossiped(server: BackendServer): boolean {
        const update = server.state.limit();
        return update?.kind === "named" || update !== undefined && sinceChange(server) < endedLimitDuration;
    }

    function sinceChange(server: BackendServer): number {
        return clock() - (changedAt.get(server) ?? -Infinity);
    }

    function rotated(servers: readonly BackendServer[]): readonly BackendServer[] {
        const first = rotation % Math.max(1, servers.length);
        return [...servers.slice(first), ...servers.slice(0, first)];
    }
}

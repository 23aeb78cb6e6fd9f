/**
 * Tracks which version of a service is proven, and which versions were rolled back.
 *
 * Until an order completes, the proven version is the one with the oldest server. A box
 * keeps it while at least one of its servers is listed, and for a grace period after
 * that: records expire while the store is unreachable, and reappear in any order with a
 * later creation revision. A version that was rolled back stays rejected until another
 * order targets it.
 *
 * Owns the proven and rejected versions of one service, and the earliest creation
 * revision that this box has seen of each server.
 */

import { type BackendServerId, type Milliseconds, milliseconds, type ServerVersion } from "@chalkdale/kernel";
import type { BackendServer } from "../servers/server-catalog.js";
import type { RolloutDecision } from "./rollout-messages.js";
import type { RolloutOrder } from "./rollout-order.js";

/** The name of a version; all servers without one form a single version, undefined. */
export type VersionName = ServerVersion | undefined;

/** The proven and rejected versions of one service. */
export interface ProvenVersions {
    /** Takes the service's servers, its order, and the decision on the order from the store or from another box. */
    readonly update: (
        servers: readonly BackendServer[],
        order: RolloutOrder | undefined,
        decision: RolloutDecision["decision"] | undefined,
        at: Milliseconds,
    ) => void;
    readonly proven: () => VersionName;
    readonly isRejected: (version: VersionName) => boolean;
    /** True while no server of the proven version is listed but its records may still reappear. */
    readonly isInGracePeriod: (at: Milliseconds) => boolean;
}

/**
 * Milliseconds without a listed server of the proven version after which the version counts as gone. Records
 * that expired while the store was unreachable reappear within two seconds.
 */
const gracePeriod = 3000;

/** The proven version, and the last state in which its servers were listed. */
interface ProvenVersion {
    readonly name: VersionName;
    readonly lastListedAt: Milliseconds;
    /**
     * No server of the service is listed: all records have expired, and the grace period begins when any of them
     * reappears.
     */
    readonly isListEmpty?: boolean;
    /** Servers of other versions are listed, but none of this version. */
    readonly isMissing?: boolean;
    /** All its servers were draining when they were last listed, so they are not expected to reappear. */
    readonly isDrained?: boolean;
}

/** Creates the tracker of a service without a known proven or rejected version. */
export function createProvenVersions(): ProvenVersions {
    let proven: ProvenVersion | undefined;
    let updatedAt = milliseconds(0);
    let createdAt: ReadonlyMap<BackendServerId, number> = new Map();
    /** Creation revision of the order that rolled each version back. */
    const rejected = new Map<VersionName, number>();

    return {
        update(servers, order, decision, at) {
            createdAt = earliestCreations(servers, createdAt);
            applyDecision(order, decision, at);
            const listed = servers.filter(server => server.state.isListed());
            const openOrder = decision === undefined ? order : undefined;
            proven = selectProven(listed, openOrder, at);
            updatedAt = at;
        },
        proven: () => proven?.name,
        isRejected: version => rejected.has(version),
        isInGracePeriod: at =>
            proven !== undefined && proven.isDrained !== true && proven.lastListedAt < at
            && at - proven.lastListedAt < gracePeriod,
    };

    function applyDecision(
        order: RolloutOrder | undefined,
        decision: RolloutDecision["decision"] | undefined,
        at: Milliseconds,
    ): void {
        if (order === undefined) {
            return;
        }
        const { createdAt: orderedAt, targetVersion } = order;
        if (decision === "rolledBack") {
            rejected.set(targetVersion, orderedAt);
        }
        else if (decision === "completed" || rejected.get(targetVersion) !== orderedAt) {
            rejected.delete(targetVersion);
        }
        if (decision === "completed" && proven?.name !== targetVersion) {
            proven = { name: targetVersion, lastListedAt: at };
        }
    }

    function selectProven(
        listed: readonly BackendServer[],
        openOrder: RolloutOrder | undefined,
        at: Milliseconds,
    ): ProvenVersion | undefined {
        const known = proven !== undefined && rejected.has(proven.name) ? undefined : proven;
        if (known !== undefined && listed.length === 0) {
            return { ...known, lastListedAt: at, isListEmpty: true, isMissing: false };
        }
        if (known !== undefined && listed.some(server => versionOf(server) === known.name)) {
            return describeProven(known.name, listed, at);
        }
        if (known !== undefined && known.isMissing !== true && known.isDrained !== true) {
            return { ...known, isMissing: true, lastListedAt: gracePeriodStart(known, at) };
        }
        if (known !== undefined && at - known.lastListedAt < gracePeriod) {
            return known;
        }
        const oldest = firstCreated(listed.filter(server => !rejected.has(versionOf(server))), openOrder);
        return oldest === undefined ? known : describeProven(versionOf(oldest), listed, at);
    }

    /**
     * The grace period restarts if no server of any version was listed, or if the last update is at least one
     * grace period old.
     */
    function gracePeriodStart(known: ProvenVersion, at: Milliseconds): Milliseconds {
        const isNoticedLate = known.isListEmpty === true || at - updatedAt >= gracePeriod;
        return isNoticedLate ? milliseconds(at - 1) : known.lastListedAt;
    }

    /**
     * While an order is open, its target does not become proven by being the only version left, nor by having
     * the oldest record: expired records of other versions may still reappear. The exception is a service
     * without a known proven version whose order is not running yet.
     */
    function firstCreated(
        eligible: readonly BackendServer[],
        openOrder: RolloutOrder | undefined,
    ): BackendServer | undefined {
        const others = eligible.filter(server =>
            openOrder === undefined || versionOf(server) !== openOrder.targetVersion
        );
        const candidates = proven === undefined && openOrder?.state !== "running" ? eligible : others;
        return candidates.toSorted((a, b) => creationOf(a) - creationOf(b)).at(0);
    }

    function creationOf(server: BackendServer): number {
        return createdAt.get(server.id) ?? 0;
    }
}

function describeProven(name: VersionName, listed: readonly BackendServer[], at: Milliseconds): ProvenVersion {
    const servers = listed.filter(server => versionOf(server) === name);
    return { name, lastListedAt: at, isDrained: servers.every(server => server.state.record().draining) };
}

/** Returns the version in a server's record. */
export function versionOf(server: BackendServer): VersionName {
    return server.state.record().version;
}

/** A record that expired and was written again has a later creation revision, so the earliest one seen is kept. */
function earliestCreations(
    servers: readonly BackendServer[],
    known: ReadonlyMap<BackendServerId, number>,
): ReadonlyMap<BackendServerId, number> {
    return new Map(servers.map(server => {
        const recorded = server.state.record().createdAt ?? 0;
        return [server.id, Math.min(recorded, known.get(server.id) ?? recorded)];
    }));
}

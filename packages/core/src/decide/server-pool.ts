/**
 * The backend servers of one service in one availability zone: which of them
 * may take a request, and which one does.
 *
 * A server counts as leaving as soon as any source says so: the list, a
 * probe, or the server's own answers. It takes new work only while some
 * direct evidence about it is fresh, so that one late source cannot keep a
 * leaving server in use. What real requests show goes before what its health
 * endpoint says.
 */

import type { ErrorKind } from "../errors/errors.js";
import type { RandomSource } from "../kernel/environment.js";
import { type Milliseconds, milliseconds, type ServerId } from "../kernel/ids.js";
import { Err, Ok, type Result } from "../kernel/result.js";
import type { SettingValues } from "../settings/values.js";
import type { ProbeResult, ServerMember } from "../state/members.js";

/** How a server is picked among those that may take the request. */
export type ChoicePolicy = "roundRobin" | "twoChoices" | "deadlineSet";

/** What became of a request at a server. */
export type ServerOutcome =
    /** A whole answer came. */
    | { readonly kind: "answered"; readonly latency: number; readonly serverError: boolean; readonly leaving: boolean; }
    /** The server refused it unrun. */
    | { readonly kind: "shed"; readonly leaving: boolean; }
    /** No connection could be made. */
    | { readonly kind: "unreachable"; }
    /** The connection broke before the answer was whole. */
    | { readonly kind: "brokeOff"; }
    /** The caller gave up, or the deadline passed. */
    | { readonly kind: "abandoned"; readonly deadlineExpired: boolean; };

/** A server as the pool sees it. */
export interface PooledServer {
    readonly id: ServerId;
    readonly member: ServerMember;
    /** Requests of this box that it works on. */
    readonly outstanding: number;
}

/** Why no server was chosen, and when to come back. */
export interface NoServer {
    readonly kind: Extract<ErrorKind, "noServerAvailable" | "serversBusy" | "deadlineTooShort">;
    readonly retryAfter: Milliseconds;
}

/** The servers of one service in one zone. */
export interface ServerPool {
    /** Replaces the list's view of the servers. */
    readonly applyMembers: (members: readonly ServerMember[], at: Milliseconds) => void;
    /** Takes in what a probe found. */
    readonly applyProbe: (probe: ProbeResult, at: Milliseconds) => void;
    /**
     * Chooses a server and counts the request as outstanding there.
     * @param remaining milliseconds until the request's deadline.
     * @param except servers that this request has already tried.
     */
    readonly choose: (
        at: Milliseconds,
        remaining: number,
        except: readonly ServerId[],
    ) => Result<PooledServer, NoServer>;
    /** Notes the end of a request that {@link choose} gave to a server. */
    readonly settle: (server: ServerId, outcome: ServerOutcome, at: Milliseconds) => void;
    /** Returns how many servers can take work. */
    readonly usableCount: (at: Milliseconds) => number;
    /** Returns the age in milliseconds of the newest evidence; infinite when there is none. */
    readonly evidenceAge: (at: Milliseconds) => number;
    /** Returns servers whose evidence is about to go stale, for a probe of the box's own. */
    readonly wantProbes: (at: Milliseconds) => readonly ServerMember[];
    /** Returns each server and whether it can take work, for status pages. */
    readonly describe: (at: Milliseconds) => readonly ServerDescription[];
}

/** A server's standing. */
export interface ServerDescription {
    readonly id: ServerId;
    readonly standing: ServerStanding;
    readonly outstanding: number;
    readonly latency: number;
    readonly evidenceAge: number;
}

/** Why a server can or cannot take work. */
export type ServerStanding = "usable" | "trial" | "leaving" | "ejected" | "notReady" | "stale";

interface ServerState {
    member: ServerMember;
    outstanding: number;
    /** Mean latency of whole answers in milliseconds; 0 before the first. */
    latency: number;
    failures: number;
    ejections: number;
    ejectedUntil: Milliseconds;
    /** True from the end of an ejection to the first whole answer. */
    onTrial: boolean;
    slowStartFrom: Milliseconds;
    evidenceAt: Milliseconds;
    answeredAt: Milliseconds;
    /** Latest time at which the server itself was seen leaving. */
    leavingAt: Milliseconds;
    probe: ProbeResult | undefined;
    probeAt: Milliseconds;
    /** Requests of other boxes that it holds, smoothed over probes. */
    ofOthers: number;
}

/** Evidence older than this, in milliseconds, does not make a server usable. */
export const evidenceLimit = 2800;
/** Age at which the box probes a server itself. */
const ownProbeAge = 2000;
/** Failures in a row after which a server is ejected. */
const failuresToEject = 3;
const firstEjection = 1000;
const longestEjection = 30_000;
/** Whole answers this recent outweigh a probe that says not ready. */
const answerOutweighsProbe = 2000;
const smoothing = 0.2;
/** Slow, since boxes that all believe the newest probe would all go to the same server. */
const probeSmoothing = 0.2;
/** Without answers the believed latency halves in this many milliseconds, so that a slow start is not held against a server for ever. */
const latencyHalfLife = 1000;
/** Weight of a server at the start of its slow start. */
const leastWeight = 0.1;
/** Utilisation up to which a server counts as lightly loaded. */
const lightLoad = 0.7;
const never = milliseconds(-Infinity);
const busyWait = 50;

export interface ServerPoolOptions {
    readonly policy: ChoicePolicy;
    readonly random: RandomSource;
    /** Settings of the service in this zone; read at every use. */
    readonly values: () => SettingValues;
}

/** Creates a pool without servers. */
export function createServerPool(options: ServerPoolOptions): ServerPool {
    const servers = new Map<ServerId, ServerState>();
    let order: ServerState[] = [];
    let turn = 0;
    const candidates: ServerState[] = [];

    return { applyMembers, applyProbe, choose, settle, usableCount, evidenceAge, wantProbes, describe };

    function applyMembers(members: readonly ServerMember[], at: Milliseconds): void {
        const listed = new Set(members.map(member => member.id));
        for (const id of servers.keys()) {
            if (!listed.has(id)) {
                servers.delete(id);
            }
        }
        for (const member of members) {
            const known = servers.get(member.id);
            if (known !== undefined && known.member.address === member.address && known.member.port === member.port) {
                known.member = member;
                continue;
            }
            servers.set(member.id, newServer(member, at));
        }
        order = [...servers.values()].sort((a, b) => a.member.id < b.member.id ? -1 : 1);
    }

    function applyProbe(probe: ProbeResult, at: Milliseconds): void {
        const server = servers.get(probe.server);
        const takenAt = milliseconds(at - probe.age);
        if (server === undefined || takenAt <= server.probeAt) {
            return;
        }
        const returned = probe.ready && server.probe?.ready === false;
        server.probe = probe;
        server.probeAt = takenAt;
        const ofOthers = Math.max(0, probe.inUse + probe.queued - server.outstanding);
        server.ofOthers += (ofOthers - server.ofOthers) * probeSmoothing;
        server.evidenceAt = milliseconds(Math.max(server.evidenceAt, takenAt));
        if (probe.leaving) {
            server.leavingAt = takenAt;
        }
        else if (probe.ready && takenAt > server.leavingAt) {
            server.leavingAt = never;
        }
        if (returned) {
            server.slowStartFrom = at;
        }
    }

    function choose(
        at: Milliseconds,
        remaining: number,
        except: readonly ServerId[],
    ): Result<PooledServer, NoServer> {
        candidates.length = 0;
        let usable = 0;
        for (const server of order) {
            if (!canTakeWork(server, at) || except.includes(server.member.id)) {
                continue;
            }
            usable++;
            if (server.outstanding < limitOf(server, at)) {
                candidates.push(server);
            }
        }
        if (usable === 0) {
            return Err({ kind: "noServerAvailable", retryAfter: milliseconds(firstEjection) });
        }
        if (candidates.length === 0) {
            return Err({ kind: "serversBusy", retryAfter: milliseconds(typicalLatency() + busyWait) });
        }
        const server = pick(at, remaining);
        if (server === undefined) {
            return Err({ kind: "deadlineTooShort", retryAfter: milliseconds(typicalLatency() + busyWait) });
        }
        server.outstanding++;
        return Ok({ id: server.member.id, member: server.member, outstanding: server.outstanding });
    }

    function pick(at: Milliseconds, remaining: number): ServerState | undefined {
        switch (options.policy) {
            case "roundRobin":
                return candidates[turn++ % candidates.length];
            case "twoChoices":
                return pickOfTwo(at);
            case "deadlineSet":
                return pickFromDeadlineSet(at, remaining);
        }
    }

    function pickOfTwo(at: Milliseconds): ServerState {
        const first = candidates[Math.floor(options.random() * candidates.length)];
        const second = candidates[Math.floor(options.random() * candidates.length)];
        return loadOf(second, at) < loadOf(first, at) ? second : first;
    }

    /**
     * The paper's capacity-aware routing ("Unified Scheduling Optimization for
     * xLLM"): among the servers predicted to meet the deadline the most idle
     * of the lightly loaded ones, and without those the least loaded of all.
     */
    function pickFromDeadlineSet(at: Milliseconds, remaining: number): ServerState | undefined {
        const start = Math.floor(options.random() * candidates.length);
        let best: ServerState | undefined;
        let least = Infinity;
        let bestIsLight = false;
        for (let step = 0; step < candidates.length; step++) {
            const server = candidates[(start + step) % candidates.length];
            if (predictedTime(server, at) > remaining) {
                continue;
            }
            const load = loadOf(server, at);
            const isLight = load < lightLoad;
            if ((isLight && !bestIsLight) || (isLight === bestIsLight && load < least)) {
                best = server;
                least = load;
                bestIsLight = isLight;
            }
        }
        return best;
    }

    function settle(id: ServerId, outcome: ServerOutcome, at: Milliseconds): void {
        const server = servers.get(id);
        if (server === undefined) {
            return;
        }
        server.outstanding = Math.max(0, server.outstanding - 1);
        switch (outcome.kind) {
            case "answered":
                noteAnswer(server, outcome.latency, outcome.leaving, at);
                return outcome.serverError ? noteFailure(server, 1, at) : noteSuccess(server, at);
            case "shed":
                noteEvidence(server, outcome.leaving, at);
                return;
            case "unreachable":
                return noteFailure(server, failuresToEject, at);
            case "brokeOff":
                return noteFailure(server, 1, at);
            case "abandoned":
                return outcome.deadlineExpired ? noteFailure(server, 1, at) : undefined;
        }
    }

    function noteAnswer(server: ServerState, latency: number, leaving: boolean, at: Milliseconds): void {
        server.latency = server.latency === 0 ? latency : server.latency + (latency - server.latency) * smoothing;
        noteEvidence(server, leaving, at);
    }

    function noteEvidence(server: ServerState, leaving: boolean, at: Milliseconds): void {
        server.evidenceAt = at;
        if (leaving) {
            server.leavingAt = at;
        }
    }

    function noteSuccess(server: ServerState, at: Milliseconds): void {
        server.answeredAt = at;
        server.failures = 0;
        if (server.onTrial) {
            server.onTrial = false;
            server.ejections = 0;
            server.slowStartFrom = at;
        }
    }

    function noteFailure(server: ServerState, weight: number, at: Milliseconds): void {
        server.failures += server.onTrial ? failuresToEject : weight;
        if (server.failures < failuresToEject || at < server.ejectedUntil) {
            return;
        }
        const length = Math.min(longestEjection, firstEjection * 2 ** server.ejections);
        server.ejections++;
        server.failures = 0;
        server.onTrial = true;
        server.ejectedUntil = milliseconds(at + length);
    }

    function standingOf(server: ServerState, at: Milliseconds): ServerStanding {
        if (server.member.state === "leaving" || server.leavingAt !== never) {
            return "leaving";
        }
        if (at < server.ejectedUntil) {
            return "ejected";
        }
        if (at - server.evidenceAt > evidenceLimit) {
            return "stale";
        }
        if (server.probe?.ready === false && at - server.answeredAt > answerOutweighsProbe) {
            return "notReady";
        }
        return server.onTrial ? "trial" : "usable";
    }

    function canTakeWork(server: ServerState, at: Milliseconds): boolean {
        const standing = standingOf(server, at);
        return standing === "usable" || standing === "trial";
    }

    function usableCount(at: Milliseconds): number {
        let count = 0;
        for (const server of order) {
            count += standingOf(server, at) === "usable" ? 1 : 0;
        }
        return count;
    }

    function evidenceAge(at: Milliseconds): number {
        return order.reduce((least, server) => Math.min(least, at - server.evidenceAt), Infinity);
    }

    function wantProbes(at: Milliseconds): readonly ServerMember[] {
        return order
            .filter(server => server.member.state === "live" && at - server.evidenceAt > ownProbeAge)
            .map(server => server.member);
    }

    function describe(at: Milliseconds): readonly ServerDescription[] {
        return order.map(server => ({
            id: server.member.id,
            standing: standingOf(server, at),
            outstanding: server.outstanding,
            latency: server.latency,
            evidenceAge: at - server.evidenceAt,
        }));
    }

    /** Requests that this box may have outstanding at a server. */
    function limitOf(server: ServerState, at: Milliseconds): number {
        if (server.onTrial) {
            return 1;
        }
        const { slots, connections } = options.values();
        return Math.max(1, Math.floor(Math.min(slots, connections) * weightOf(server, at)));
    }

    /** Rises from the least weight to 1 over the slow start. */
    function weightOf(server: ServerState, at: Milliseconds): number {
        const { slowStart } = options.values();
        const since = at - server.slowStartFrom;
        return since >= slowStart * 1000 ? 1 : Math.max(leastWeight, since / (slowStart * 1000));
    }

    /** Requests at the server for each of its slots, weighted for slow start. */
    function loadOf(server: ServerState, at: Milliseconds): number {
        return (requestsAt(server) + 1) / (options.values().slots * weightOf(server, at));
    }

    /** This box's requests, known exactly, and what probes tell of the others'. */
    function requestsAt(server: ServerState): number {
        return server.outstanding + server.ofOthers;
    }

    /** Milliseconds until an answer: the mean latency, and the wait for a slot. */
    function predictedTime(server: ServerState, at: Milliseconds): number {
        const { slots } = options.values();
        const waiting = Math.max(0, requestsAt(server) + 1 - slots);
        const silence = Math.max(0, at - server.answeredAt);
        const believed = server.outstanding > 0 ? server.latency : server.latency * 0.5 ** (silence / latencyHalfLife);
        return believed * (1 + waiting / slots);
    }

    function typicalLatency(): number {
        const known = order.filter(server => server.latency > 0);
        return known.reduce((sum, server) => sum + server.latency, 0) / Math.max(1, known.length);
    }
}

function newServer(member: ServerMember, at: Milliseconds): ServerState {
    return {
        member,
        outstanding: 0,
        latency: 0,
        failures: 0,
        ejections: 0,
        ejectedUntil: never,
        onTrial: false,
        slowStartFrom: at,
        evidenceAt: never,
        answeredAt: never,
        leavingAt: never,
        probe: undefined,
        probeAt: never,
        ofOthers: 0,
    };
}

/**
 * A whole deployment in one process on a manual clock: the real agents,
 * routers and state clients, joined by a network in memory to the platform's
 * stand-in and to backend servers without sockets.
 *
 * No timing of the machine enters: the same calls give the same lines.
 */

import { createAgent } from "@chalkdale/agent";
import {
    type ActiveRequest,
    boxId,
    type ChoicePolicy,
    createManualClock,
    createRouter,
    createSeededRandom,
    createTicketBook,
    errorAnswers,
    type IncarnationId,
    incarnationId,
    type ManualClock,
    pathsOfKind,
    type RanState,
    regionId,
    type RequestError,
    type Router,
    serviceId,
    type SettingsDocument,
    zoneId,
} from "@chalkdale/core";
import { createStateClient } from "@chalkdale/entry";
import { objectKeys, type Platform, type PlatformOutcome } from "@chalkdale/platform";
import { formatFields, type Log, type LogFields, silentLog } from "@chalkdale/runtime";
import { createObjectStore, type ObjectStore } from "../standins/object-store.js";
import { createFakeNetwork, type FakeNetwork } from "./fake-network.js";
import { createFakeServers, type FakeServers } from "./fake-servers.js";
import { nameOf, placeBoxes, placeServers, type SessionBox, type SessionFleet } from "./placement.js";

export type { SessionBox, SessionFleet } from "./placement.js";

export interface SessionOptions {
    readonly document: SettingsDocument;
    readonly fleets: readonly SessionFleet[];
    readonly seed?: number;
    readonly workTime?: number;
    readonly policy?: ChoicePolicy;
    /** Events of the programs' logs that are recorded, and from which box; from all by default. */
    readonly logged?: readonly string[];
    readonly loggedBox?: string;
}

/** A request of a session. */
export interface SessionRequest {
    readonly box: string;
    readonly service: string;
    readonly caller: string;
    readonly method?: string;
    readonly ticket?: string;
    /** Name under which the backend server notes that it ran. */
    readonly operation?: string;
    readonly deadline?: number;
}

/** How a request of a session ended. */
export interface SessionResult {
    readonly request: SessionRequest;
    readonly startedAt: number;
    endedAt: number;
    kind: "running" | "answered" | RequestError["kind"];
    ran: RanState;
    zone: string;
    server: string;
    retryAfter: number | undefined;
}

/** A running session. */
export interface Session {
    readonly clock: ManualClock;
    readonly store: ObjectStore;
    readonly network: FakeNetwork;
    /** Milliseconds that each call of the platform takes before it has its effect. */
    readonly platformDelay: { milliseconds: number; };
    readonly servers: FakeServers;
    readonly boxes: readonly SessionBox[];
    readonly box: (id: string) => SessionBox;
    /** Lets time pass in steps, with a call before each. */
    readonly advance: (milliseconds: number, onStep?: (now: number) => void) => Promise<void>;
    /** Sends a request now; its result fills in as time passes. */
    readonly send: (request: SessionRequest) => SessionResult;
    readonly results: readonly SessionResult[];
    readonly lookUp: (box: string, service: string, caller: string, ticket?: boolean) => ReturnType<Router["lookUp"]>;
    readonly editSettings: (change: (document: SettingsDocument) => SettingsDocument) => void;
    readonly writeMembers: (zone: string, leaving?: readonly string[]) => void;
    readonly startBox: (id: string) => void;
    readonly startAgent: (id: string) => void;
    readonly startEntry: (id: string) => void;
    /**
     * Replaces a box while its old programs run on, as when a machine thought dead is only cut off.
     * The old one is reached as `ID~old`.
     */
    readonly replaceCutOff: (id: string) => void;
    /** Ends a program, or both of a box, without notice. */
    readonly kill: (id: string, program?: "agent" | "entry") => void;
    /** Lines recorded so far. */
    readonly lines: string[];
    readonly note: (event: string, fields?: LogFields) => void;
    readonly end: () => Promise<void>;
}

/** Name of the platform for {@link FakeNetwork.reaches}. */
export const platformName = "platform";

const replacedPortStep = 500;

/** Length of a step in milliseconds. */
const stepLength = 10;
/** Steps of agents and clients come at this distance in milliseconds, as in the programs. */
const programStep = 100;

/** Starts a session: all boxes start at time 0. */
export function createSession(options: SessionOptions): Session {
    const clock = createManualClock();
    const random = createSeededRandom(options.seed ?? 1);
    const store = createObjectStore({ clock: clock.now });
    const network = createFakeNetwork();
    const lines: string[] = [];
    const results: SessionResult[] = [];
    const zonePaths = pathsOfKind(options.document, "zone");
    const members = placeServers(options.fleets, zonePaths);
    const servers = createFakeServers(clock.now, [...members.values()].flat(), options.workTime ?? 10);
    const boxes = placeBoxes(options.document, zonePaths);
    const platformDelay = { milliseconds: 0 };
    const delayed: { readonly until: number; readonly go: () => void; }[] = [];
    let incarnations = 0;
    let document = options.document;

    store.put(objectKeys.settings, { document, edits: [] });
    zonePaths.forEach(path => writeMembers(nameOf(path)));
    boxes.forEach(({ id }) => startBox(id));

    return {
        clock,
        store,
        network,
        platformDelay,
        servers,
        boxes,
        box,
        advance,
        send,
        results,
        lookUp: (id, service, caller, ticket = false) =>
            box(id).router!.lookUp({ service: serviceId(service), callerAddress: caller, wantsTicket: ticket }),
        editSettings(change) {
            document = change(document);
            store.put(objectKeys.settings, { document, edits: [] });
        },
        writeMembers,
        startBox,
        startAgent,
        startEntry,
        replaceCutOff,
        kill,
        lines,
        note,
        async end() {
            boxes.forEach(({ key }) => kill(key));
            await settle();
        },
    };

    function box(id: string): SessionBox {
        const found = boxes.find(candidate => candidate.key === id);
        if (found === undefined) {
            throw new Error(`no box ${id}`);
        }
        return found;
    }

    function note(event: string, fields: LogFields = {}): void {
        lines.push(formatFields({ time: (clock.now() / 1000).toFixed(2), event, ...fields }));
    }

    function logOf(fields: LogFields): Log {
        const wanted = new Set(options.logged ?? []);
        if (wanted.size === 0) {
            return silentLog;
        }
        const write = (event: string, more: LogFields = {}) => {
            const isFromBox = options.loggedBox === undefined || fields.box === options.loggedBox;
            if (isFromBox && wanted.has(event)) {
                note(event, { ...fields, ...more });
            }
        };
        return { error: write, warn: write, info: write, debug: write, child: more => logOf({ ...fields, ...more }) };
    }

    function writeMembers(zone: string, leaving: readonly string[] = []): void {
        const region = nameOf(zonePaths.find(path => nameOf(path) === zone)!.split("/").slice(0, 3).join("/"));
        const stateOf = (id: string) => leaving.includes(id) ? "leaving" as const : "live" as const;
        store.put(objectKeys.members(zone), {
            region: regionId(region),
            zone: zoneId(zone),
            boxes: boxes.filter(candidate => candidate.zone === zone && candidate.key === candidate.id).map((
                { id, peer },
            ) => ({
                id,
                address: peer.address,
                port: peer.port - 1000,
                peerPort: peer.port,
                state: stateOf(id),
            })),
            servers: (members.get(zone) ?? []).map(member => ({ ...member, state: stateOf(member.id) })),
        });
    }

    function nextIncarnation(): IncarnationId {
        return incarnationId(`i${String(++incarnations).padStart(4, "0")}`);
    }

    function startAgent(id: string): void {
        const target = box(id);
        target.owners.agent = new AbortController();
        const signal = target.owners.agent.signal;
        target.agent = createAgent({
            self: { box: boxId(id), zone: zoneId(target.zone), region: target.region, peer: target.peer },
            incarnation: nextIncarnation(),
            seeds: boxes.filter(other => other.id !== id).slice(0, 3).map(other => other.peer),
            platform: platformOf(target),
            network: network.of(() => target.key),
            probe: async server => servers.probe(server),
            clock: clock.now,
            log: logOf({ program: "agent", box: id }),
            signal,
        });
        network.attach(id, target.peer, target.agent.handlers);
    }

    function replaceCutOff(id: string): void {
        const old = box(id);
        old.key = `${id}~old`;
        boxes.push({
            ...old,
            key: id,
            peer: { ...old.peer, port: old.peer.port + replacedPortStep },
            owners: { agent: new AbortController(), entry: new AbortController() },
        });
        network.rename(old.peer, old.key);
        startBox(id);
    }

    /** The platform as one box sees it: gone while the network says that it does not reach it. */
    function platformOf(target: SessionBox): Platform {
        const cut = { kind: "unavailable", reason: "cut off" } as const;
        const lost = { kind: "unknown", reason: "cut off" } as const;
        const call = async <Value>(run: (platform: Platform) => Promise<PlatformOutcome<Value>>) => {
            if (platformDelay.milliseconds > 0) {
                await new Promise<void>(go => delayed.push({ until: clock.now() + platformDelay.milliseconds, go }));
            }
            if (!network.reaches(target.key, platformName)) {
                return cut;
            }
            const outcome = await run(store.platform);
            return network.reaches(target.key, platformName) ? outcome : lost;
        };
        return {
            get: (...args) => call(platform => platform.get(...args)),
            list: (...args) => call(platform => platform.list(...args)),
            create: (...args) => call(platform => platform.create(...args)),
            update: (...args) => call(platform => platform.update(...args)),
            watch: (...args) => call(platform => platform.watch(...args)),
        };
    }

    function startBox(id: string): void {
        startAgent(id);
        startEntry(id);
    }

    function startEntry(id: string): void {
        const target = box(id);
        target.owners.entry = new AbortController();
        target.incarnation = nextIncarnation();
        const tickets = createTicketBook({
            box: boxId(id),
            incarnation: target.incarnation,
            key: Buffer.from(target.incarnation),
            clock: clock.now,
        });
        target.router = createRouter({
            presence: {
                box: boxId(id),
                incarnation: target.incarnation,
                region: regionId(target.region),
                zone: zoneId(target.zone),
                address: target.peer.address,
                port: target.peer.port - 1000,
                peerPort: target.peer.port,
            },
            clock: clock.now,
            random,
            tickets,
            policy: options.policy,
        });
        target.client = createStateClient({
            self: { box: id, incarnation: target.incarnation, zone: target.zone, region: target.region },
            router: target.router,
            agent: target.peer,
            seeds: boxes.filter(other => other.id !== id).slice(0, 2).map(other => other.peer),
            network: network.of(() => target.key),
            probe: async server => servers.probe(server),
            clock: clock.now,
            log: logOf({ program: "entry", box: id }),
            signal: target.owners.entry.signal,
            onSuperseded: () => target.router?.leave(),
        });
    }

    function kill(id: string, program?: "agent" | "entry"): void {
        const target = box(id);
        if (program !== "entry") {
            target.owners.agent.abort();
            target.agent = undefined;
            network.detach(target.peer);
        }
        if (program !== "agent") {
            target.owners.entry.abort();
            target.client = undefined;
            target.router = undefined;
        }
    }

    async function advance(milliseconds: number, onStep?: (now: number) => void): Promise<void> {
        for (let passed = 0; passed < milliseconds; passed += stepLength) {
            clock.advance(stepLength);
            onStep?.(clock.now());
            servers.step();
            if (clock.now() % programStep === 0) {
                stepPrograms();
                await settle();
            }
        }
    }

    function stepPrograms(): void {
        store.step();
        delayed.filter(({ until }) => clock.now() >= until).forEach(({ go }) => go());
        delayed.splice(0, delayed.length, ...delayed.filter(({ until }) => clock.now() < until));
        for (const { agent, client, paused } of boxes) {
            if (paused) {
                continue;
            }
            agent?.step();
            client?.step();
        }
    }

    function send(request: SessionRequest): SessionResult {
        const result: SessionResult = {
            request,
            startedAt: clock.now(),
            endedAt: clock.now(),
            kind: "running",
            ran: "unknown",
            zone: "",
            server: "",
            retryAfter: undefined,
        };
        results.push(result);
        const target = box(request.box);
        if (target.router === undefined || target.paused) {
            result.kind = "serverUnreachable";
            result.ran = "not-run";
            return result;
        }
        const begun = target.router.begin({
            service: serviceId(request.service),
            callerAddress: request.caller,
            method: request.method ?? "GET",
            remaining: request.deadline,
            ticket: request.ticket,
        });
        if (begun.err) {
            refuse(result, begun.val);
            return result;
        }
        attempt(result, begun.val, undefined);
        return result;
    }

    /** As the forwarding does: another server where the first did not run it. */
    function attempt(result: SessionResult, active: ActiveRequest, failure: RequestError | undefined): void {
        const assigned = active.assign();
        if (assigned.err) {
            const error = failure ?? assigned.val;
            refuse(result, error);
            active.end(errorAnswers[error.kind].ran === "not-run" ? { kind: "refused" } : { kind: "unknown" });
            return;
        }
        result.zone = active.zone.id;
        result.server = assigned.val.id;
        servers.run(assigned.val.id, result.request.operation, outcome => {
            active.settle(outcome);
            switch (outcome.kind) {
                case "answered":
                    result.kind = "answered";
                    result.ran = "ran";
                    result.endedAt = clock.now();
                    active.end({ kind: "answered", status: outcome.serverError ? 500 : 200 });
                    return;
                case "shed":
                case "unreachable":
                    return retryOrRefuse(result, active, {
                        kind: outcome.kind === "shed" ? "serverShed" : "serverUnreachable",
                    });
                case "brokeOff":
                case "abandoned":
                    refuse(result, { kind: "serverBrokeOff" });
                    active.end({ kind: "unknown" });
                    return;
            }
        });
    }

    function retryOrRefuse(result: SessionResult, active: ActiveRequest, error: RequestError): void {
        if (active.mayRetry()) {
            attempt(result, active, error);
            return;
        }
        refuse(result, error);
        active.end({ kind: "refused" });
    }

    function refuse(result: SessionResult, error: RequestError): void {
        const answer = errorAnswers[error.kind];
        result.kind = error.kind;
        result.ran = answer.ran;
        result.endedAt = clock.now();
        result.retryAfter = error.retryAfter ?? answer.retryAfter;
    }
}

/** Lets everything that is due on the event loop run. */
async function settle(): Promise<void> {
    for (let turn = 0; turn < settleTurns; turn++) {
        await new Promise(resolve => setImmediate(resolve));
    }
}

const settleTurns = 3;

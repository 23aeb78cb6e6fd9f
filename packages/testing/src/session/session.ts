/**
 * A whole deployment in one process on a manual clock: the real agents,
 * routers and state clients, joined by a network in memory to the platform's
 * stand-in and to backend servers without sockets.
 *
 * No timing of the machine enters: the same calls give the same lines.
 */

import { createAgent } from "@chalkdale/agent";
import {
    boxId,
    type ChoicePolicy,
    createManualClock,
    createRouter,
    createSeededRandom,
    createTicketBook,
    type IncarnationId,
    incarnationId,
    type ManualClock,
    pathsOfKind,
    regionId,
    type Router,
    serviceId,
    type SettingsDocument,
    zoneId,
} from "@chalkdale/core";
import { createStateClient } from "@chalkdale/entry";
import { objectKeys } from "@chalkdale/platform";
import { formatFields, type Log, type LogFields, silentLog } from "@chalkdale/runtime";
import { createObjectStore, type ObjectStore } from "../standins/object-store.js";
import { createFakeNetwork, type FakeNetwork } from "./fake-network.js";
import { createFakeServers, type FakeServers } from "./fake-servers.js";
import { nameOf, placeBoxes, placeServers, type SessionBox, type SessionFleet } from "./placement.js";
import { createSessionPlatform } from "./session-platform.js";
import { createSessionRequests, type SessionRequest, type SessionResult } from "./session-requests.js";

export type { SessionBox, SessionFleet } from "./placement.js";
export { platformName } from "./session-platform.js";
export type { SessionRequest, SessionResult } from "./session-requests.js";

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
    const zonePaths = pathsOfKind(options.document, "zone");
    const members = placeServers(options.fleets, zonePaths);
    const servers = createFakeServers(clock.now, [...members.values()].flat(), options.workTime ?? 10);
    const boxes = placeBoxes(options.document, zonePaths);
    const platform = createSessionPlatform({ now: clock.now, store, network });
    const requests = createSessionRequests({ now: clock.now, servers, box });
    let incarnations = 0;
    let document = options.document;

    store.put(objectKeys.settings, { document, edits: [] });
    zonePaths.forEach(path => writeMembers(nameOf(path)));
    boxes.forEach(({ id }) => startBox(id));

    return {
        clock,
        store,
        network,
        platformDelay: platform.delay,
        servers,
        boxes,
        box,
        advance,
        send: requests.send,
        results: requests.results,
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
            platform: platform.seenBy(target),
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
        platform.step();
        for (const { agent, client, paused } of boxes) {
            if (paused) {
                continue;
            }
            agent?.step();
            client?.step();
        }
    }
}

/** Lets everything that is due on the event loop run. */
async function settle(): Promise<void> {
    for (let turn = 0; turn < settleTurns; turn++) {
        await new Promise(resolve => setImmediate(resolve));
    }
}

const settleTurns = 3;

/**
 * The decisions of one entry box, joined: from a request to the region, the
 * availability zone and the backend server that serve it.
 *
 * No I/O. Time comes from the injected clock, chance from the injected
 * source. State comes in through the `apply` functions, requests through
 * {@link Router.begin}, and time through {@link Router.tick}.
 */

import { type RequestError, requestError } from "../errors/errors.js";
import type { Clock, RandomSource } from "../kernel/environment.js";
import { type BoxId, milliseconds, type RegionId, type ServiceId, type ZoneId } from "../kernel/ids.js";
import { Err, Ok, type Result } from "../kernel/result.js";
import { type CompiledRegion, type CompiledService, type CompiledSettings, floorOf } from "../settings/compiled.js";
import type { MemberList, ProbeResult, ServerMember } from "../state/members.js";
import type { BoxPresence, BoxStatus, OriginTraffic, ZoneSummary } from "../state/traffic.js";
import { type ActiveRequest, createActiveRequest } from "./active-request.js";
import { explainZone, type RouteExplanation } from "./explain.js";
import { callerKeyOf, type LookupAnswer, orderBoxes } from "./lookup.js";
import { admitByPriority } from "./overload.js";
import { createPresence } from "./presence.js";
import { type CapacityRights, createRegionCapacity } from "./region-capacity.js";
import { createRetryBudget, type RetryBudget } from "./retry-budget.js";
import { createServerDirectory } from "./server-directory.js";
import type { ChoicePolicy, ServerDescription } from "./server-pool.js";
import type { SpentTicket, TicketBook } from "./tickets.js";
import { createTrafficPlan, type PlanChange } from "./traffic-plan.js";

/** A request as the router sees it. */
export interface RouteRequest {
    readonly service: ServiceId;
    readonly callerAddress: string;
    readonly method: string;
    /** Milliseconds until the caller's deadline; undefined for the settings' timeout. */
    readonly remaining?: number;
    readonly ticket?: string;
}

/** Asks which boxes a caller should use. */
export interface LookupQuery {
    readonly service: ServiceId;
    readonly callerAddress: string;
    readonly wantsTicket: boolean;
}

/** Decisions of one box. */
export interface Router {
    readonly applySettings: (settings: CompiledSettings) => void;
    readonly applyMembers: (list: MemberList) => void;
    readonly applySummary: (summary: ZoneSummary, age: number) => void;
    readonly applyProbe: (probe: ProbeResult) => void;
    readonly applyRights: (rights: CapacityRights) => void;
    /** Takes shares from which to start when no peer is heard. */
    readonly applyLastShares: (traffic: readonly OriginTraffic[]) => void;
    /** Stops taking requests; look-ups no longer name this box. */
    readonly leave: () => void;
    /** Lets time act; call it a few times a second. Returns what changed in the plan. */
    readonly tick: () => readonly PlanChange[];
    readonly isReady: () => boolean;
    readonly lookUp: (query: LookupQuery) => Result<LookupAnswer, RequestError>;
    /**
     * Takes a request on, or refuses it. What became of a ticket goes before any other refusal: an
     * operation that has run, or may have, is never answered as not run.
     */
    readonly begin: (request: RouteRequest) => Result<ActiveRequest, RequestError>;
    /** Returns what other boxes are told. */
    readonly status: () => BoxStatus;
    /** Returns units per second wanted from each region above the floor. */
    readonly wantedUnits: () => Readonly<Record<string, number>>;
    /** Returns servers that the box should probe itself. */
    readonly wantProbes: () => readonly ServerMember[];
    readonly describe: () => RouterDescription;
    /** Returns every step of the decision for a caller, or undefined for an unknown service. */
    readonly explain: (service: ServiceId, callerAddress: string) => RouteExplanation | undefined;
    readonly inFlight: () => number;
    readonly settings: () => CompiledSettings | undefined;
}

/** The router's state for people. */
export interface RouterDescription {
    readonly settingsVersion: number | undefined;
    readonly planVersion: number;
    readonly ready: boolean;
    readonly leaving: boolean;
    readonly inFlight: number;
    /** Region of each zone. */
    readonly zones: Readonly<Record<string, RegionId>>;
    readonly traffic: readonly OriginTraffic[];
    readonly capacity: readonly { readonly region: RegionId; readonly units: number; }[];
    readonly servers: readonly (ServerDescription & { readonly service: ServiceId; readonly zone: ZoneId; })[];
    readonly boxes: readonly BoxId[];
}

export interface RouterOptions {
    readonly presence: Omit<BoxPresence, "ready" | "leaving" | "inFlight">;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly tickets: TicketBook;
    readonly policy?: ChoicePolicy;
}

/** The policy that measured best; see docs/design/backend-choice.md. */
export const defaultPolicy: ChoicePolicy = "deadlineSet";

/** Milliseconds from its first settings for which a fresh box waits for peers before it starts from what it has. */
const joinPatience = 3000;

/** Creates the router of a fresh box: it serves nothing until it has settings and has looked for peers. */
export function createRouter(options: RouterOptions): Router {
    const { clock, tickets } = options;
    const startedAt = clock();
    const plan = createTrafficPlan({ startedAt });
    const capacity = createRegionCapacity(options.presence.region, startedAt);
    const directory = createServerDirectory({ policy: options.policy ?? defaultPolicy, random: options.random });
    const presence = createPresence();
    const retryBudgets = new Map<ServiceId, RetryBudget>();
    let settings: CompiledSettings | undefined;
    let ownRegion: CompiledRegion | undefined;
    let settingsSince = startedAt;
    let leaving = false;
    let inFlight = 0;

    return {
        applySettings(next) {
            if (settings !== undefined && next.version <= settings.version) {
                return;
            }
            settingsSince = settings === undefined ? clock() : settingsSince;
            settings = next;
            ownRegion = next.regions.find(region => region.id === options.presence.region);
            directory.applySettings(next, clock());
            plan.applySettings(next, clock());
        },
        applyMembers(list) {
            directory.applyMembers(list, clock());
            presence.applyMembers(list);
        },
        applySummary(summary, age) {
            plan.applySummary(summary, age, clock());
            presence.applySummary(summary, age, clock());
        },
        applyProbe: probe => directory.applyProbe(probe, clock()),
        applyRights: capacity.setRights,
        applyLastShares: plan.applyLastShares,
        leave() {
            leaving = true;
        },
        tick,
        isReady,
        lookUp,
        begin,
        status: () => ({
            presence: ownPresence(),
            traffic: isReady() ? plan.traffic() : [],
            served: plan.served(),
            settingsVersion: settings?.version ?? 0,
        }),
        wantedUnits,
        wantProbes: () => directory.wantProbes(clock()),
        describe,
        explain,
        inFlight: () => inFlight,
        settings: () => settings,
    };

    function ownPresence(): BoxPresence {
        return { ...options.presence, ready: isReady() && hasRights(), leaving, inFlight };
    }

    function tick(): readonly PlanChange[] {
        tickets.expire();
        return isReady() ? plan.tick(directory.observe, clock()) : [];
    }

    function isReady(): boolean {
        const patient = clock() - settingsSince < joinPatience;
        return settings !== undefined && (plan.hasPeers() || !patient);
    }

    /** Whether this box may send anything to any region: without rights it names others. */
    function hasRights(): boolean {
        return settings!.regions.some(region => capacity.unitsAt(region, clock()) > 0);
    }

    function lookUp(query: LookupQuery): Result<LookupAnswer, RequestError> {
        if (settings === undefined || !isReady()) {
            return Err(requestError("notReady"));
        }
        const service = settings.services.get(query.service);
        if (service === undefined) {
            return Err(requestError("unknownService"));
        }
        const origin = originOf(settings, query.callerAddress);
        const named = presence.named(clock(), ownPresence());
        const ordered = orderBoxes(settings, origin, callerKeyOf(query.callerAddress), named);
        const answer: LookupAnswer = {
            service: service.id,
            origin: origin.id,
            boxes: ordered,
            lifetime: service.values.answerLifetime * 1000,
            configurationVersion: settings.version,
            planVersion: plan.version(),
        };
        return Ok(query.wantsTicket ? withTicket(answer, service) : answer);
    }

    /** Adds a ticket; it can be spent at this box only, so this box is named first. */
    function withTicket(answer: LookupAnswer, service: CompiledService): LookupAnswer {
        if (leaving || !hasRights()) {
            return answer;
        }
        const { box, region, zone, address, port } = options.presence;
        const others = answer.boxes.filter(named => named.box !== box);
        const ticket = tickets.mint(service.id, milliseconds(service.values.ticketLifetime * 1000));
        return { ...answer, boxes: [{ box, region, zone, address, port }, ...others], ticket };
    }

    function originOf(current: CompiledSettings, address: string): CompiledRegion {
        const site = current.clientBlocks.find(address);
        return site === undefined ? ownRegion ?? current.regions[0] : current.regions[site];
    }

    function begin(request: RouteRequest): Result<ActiveRequest, RequestError> {
        const known = request.ticket === undefined ? Ok(undefined) : tickets.check(request.ticket, request.service);
        if (known.err) {
            return known;
        }
        if (settings === undefined || !isReady()) {
            return Err(requestError("notReady"));
        }
        if (leaving) {
            return Err(requestError("boxLeaving"));
        }
        if (!hasRights()) {
            return Err(requestError("noCapacityRights"));
        }
        const service = settings.services.get(request.service);
        if (service === undefined) {
            return Err(requestError("unknownService"));
        }
        const admitted = admitByPriority(inFlight, settings.root.requestsInFlight, service.values.priority);
        if (admitted.err) {
            return Err(requestError("tooManyRequests", admitted.val));
        }
        const ticket = takeTicket(service, request);
        if (ticket.err) {
            return ticket;
        }
        return Ok(start(settings, service, request, ticket.val));
    }

    function takeTicket(
        service: CompiledService,
        request: RouteRequest,
    ): Result<SpentTicket | undefined, RequestError> {
        if (request.ticket !== undefined) {
            return tickets.spend(request.ticket, service.id);
        }
        return service.values.ticketMethods.includes(request.method)
            ? Err(requestError("ticketRequired"))
            : Ok(undefined);
    }

    function start(
        current: CompiledSettings,
        service: CompiledService,
        request: RouteRequest,
        ticket: SpentTicket | undefined,
    ): ActiveRequest {
        const origin = originOf(current, request.callerAddress);
        const traffic = plan.trafficOf(service, origin, clock());
        const zoneIndex = traffic.next();
        const remaining = request.remaining ?? service.values.requestTimeout * 1000;
        inFlight++;
        const budget = retryBudgetOf(service);
        budget.started();
        return createActiveRequest({
            service,
            origin,
            zone: current.zones[zoneIndex],
            own: ownRegion ?? origin,
            pool: directory.pool(service, zoneIndex),
            traffic,
            zoneIndex,
            capacity,
            clock,
            budget,
            ticket,
            deadline: milliseconds(clock() + remaining),
            released: () => {
                inFlight--;
            },
        });
    }

    function retryBudgetOf(service: CompiledService): RetryBudget {
        let budget = retryBudgets.get(service.id);
        if (budget === undefined) {
            budget = createRetryBudget(() => settings?.services.get(service.id)?.values.retryRatio ?? 0);
            retryBudgets.set(service.id, budget);
        }
        return budget;
    }

    function wantedUnits(): Readonly<Record<string, number>> {
        if (settings === undefined) {
            return {};
        }
        const units = plan.ownUnitsByRegion();
        return Object.fromEntries(settings.regions.map(region => {
            const used = units[region.index];
            const wanted = used > 0 ? used * wishFactor + wishExtra - floorOf(region, options.presence.region) : 0;
            return [region.id, Math.max(0, wanted)];
        }));
    }

    function explain(name: ServiceId, callerAddress: string): RouteExplanation | undefined {
        const service = settings?.services.get(name);
        if (settings === undefined || service === undefined) {
            return undefined;
        }
        const at = clock();
        const origin = originOf(settings, callerAddress);
        const traffic = plan.inspect(service, origin, at);
        const servers = service.zones.map(({ zone }) => directory.observe(service, zone.index, at));
        const allServers = servers.reduce((sum, { usableServers }) => sum + usableServers, 0);
        const capacityOfAll = settings.regions.reduce((sum, region) => sum + region.values.capacity, 0);
        return {
            service: service.id,
            origin: origin.id,
            originFrom: settings.clientBlocks.find(callerAddress) === undefined ? "region of the box" : "client block",
            settingsVersion: settings.version,
            planVersion: plan.version(),
            zones: service.zones.map((place, index) =>
                explainZone({
                    place,
                    service,
                    origin,
                    share: traffic.shares[index],
                    goal: traffic.goal[index],
                    observation: { ...servers[index], warmth: traffic.warmth[index] },
                    capacityHere: capacity.unitsAt(place.zone.region, at),
                    units: traffic.served[index] * service.values.requestCost,
                    capacity: capacityOfAll * servers[index].usableServers / Math.max(1, allServers),
                })
            ),
        };
    }

    function describe(): RouterDescription {
        const at = clock();
        return {
            settingsVersion: settings?.version,
            planVersion: plan.version(),
            ready: isReady() && hasRights(),
            leaving,
            inFlight,
            zones: Object.fromEntries((settings?.zones ?? []).map(zone => [zone.id, zone.region.id])),
            traffic: plan.traffic(),
            capacity: (settings?.regions ?? []).map(region => ({
                region: region.id,
                units: capacity.unitsAt(region, at),
            })),
            servers: directory.describe(at),
            boxes: presence.named(at, ownPresence()).map(named => named.box),
        };
    }
}

/** A box asks for this much more than it used, so that it can grow between renewals. */
const wishFactor = 1.3;
/** And, where it sends anything, for this many units per second on top. */
const wishExtra = 1;

/**
 * One request on its way: where it was placed, its attempts, and its end.
 */

import { type RequestError, requestError } from "../errors/errors.js";
import type { Clock } from "../kernel/environment.js";
import type { Milliseconds } from "../kernel/ids.js";
import { Err, Ok, type Result } from "../kernel/result.js";
import type { CompiledRegion, CompiledService, CompiledZone } from "../settings/compiled.js";
import type { RegionCapacity } from "./region-capacity.js";
import type { RetryBudget } from "./retry-budget.js";
import type { PooledServer, ServerOutcome, ServerPool } from "./server-pool.js";
import type { SpentTicket } from "./tickets.js";
import type { PlannedTraffic } from "./traffic-plan.js";

/** How a request ended for its caller. */
export type RequestEnd =
    | { readonly kind: "answered"; readonly status: number; }
    | { readonly kind: "refused"; }
    | { readonly kind: "unknown"; };

/** A request that the box has taken on. */
export interface ActiveRequest {
    readonly service: CompiledService;
    readonly origin: CompiledRegion;
    readonly zone: CompiledZone;
    readonly startedAt: Milliseconds;
    readonly deadline: Milliseconds;
    /** Chooses a backend server for the next attempt and takes the capacity for it. */
    readonly assign: () => Result<PooledServer, RequestError>;
    /** Notes the end of an attempt. */
    readonly settle: (outcome: ServerOutcome) => void;
    /** Returns whether another attempt is within the retry budget and the deadline. */
    readonly mayRetry: () => boolean;
    /** Notes the end of the request; only the first call counts. */
    readonly end: (end: RequestEnd) => void;
}

/** What a request is made of. */
export interface ActiveRequestParts {
    readonly service: CompiledService;
    readonly origin: CompiledRegion;
    /** Undefined when the share belongs to a place that is no longer in the settings. */
    readonly zone: CompiledZone | undefined;
    readonly own: CompiledRegion;
    readonly pool: ServerPool | undefined;
    readonly traffic: PlannedTraffic;
    readonly zoneIndex: number;
    readonly capacity: RegionCapacity;
    readonly clock: Clock;
    readonly budget: RetryBudget;
    readonly ticket: SpentTicket | undefined;
    readonly deadline: Milliseconds;
    readonly released: () => void;
}

/** Creates a request that was placed and not sent yet. */
export function createActiveRequest(parts: ActiveRequestParts): ActiveRequest {
    const { service, origin, zone, own, pool, traffic, capacity, clock, deadline } = parts;
    const startedAt = clock();
    const tried: PooledServer["id"][] = [];
    let ended = false;

    return {
        service,
        origin,
        zone: zone!,
        startedAt,
        deadline,
        assign,
        settle(outcome) {
            const last = tried.at(-1);
            if (last !== undefined) {
                pool?.settle(last, outcome, clock());
            }
        },
        mayRetry: () => clock() < deadline && parts.budget.tryRetry(),
        end,
    };

    function assign(): Result<PooledServer, RequestError> {
        const at = clock();
        if (zone === undefined || pool === undefined) {
            return Err(requestError("shiftCapReached", { retryAfter: traffic.timeToLeave(parts.zoneIndex) }));
        }
        if (at >= deadline) {
            return Err(requestError("deadlineTooShort"));
        }
        const room = takeRoom(zone, at);
        if (room.err) {
            return room;
        }
        const chosen = pool.choose(at, deadline - at, tried);
        if (chosen.err) {
            capacity.putBack(zone.region, service.values.requestCost);
            const { kind, retryAfter } = chosen.val;
            return kind === "noServerAvailable" && tried.length === 0
                ? Err(requestError("shiftCapReached", { retryAfter: traffic.timeToLeave(parts.zoneIndex) }))
                : Err(requestError(kind, { retryAfter }));
        }
        tried.push(chosen.val.id);
        traffic.sent(parts.zoneIndex);
        return chosen;
    }

    /** Takes the capacity of the region and the room on the link to it. */
    function takeRoom(target: CompiledZone, at: Milliseconds): Result<void, RequestError> {
        const link = capacity.takeLink(own, target.region, at);
        if (link.err) {
            return Err(requestError("linkLimitReached", link.val));
        }
        const units = capacity.take(target.region, service.values.requestCost, at);
        return units.err ? Err(requestError("capacityReached", units.val)) : Ok(undefined);
    }

    function end(result: RequestEnd): void {
        if (ended) {
            return;
        }
        ended = true;
        parts.released();
        switch (result.kind) {
            case "answered":
                parts.ticket?.finish({ kind: "answered", status: result.status });
                return;
            case "refused":
                parts.ticket?.finish({ kind: "notRun" });
                return;
            case "unknown":
                parts.ticket?.finish({ kind: "unknown" });
                return;
        }
    }
}

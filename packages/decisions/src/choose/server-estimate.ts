/**
 * How long a request is expected to take at one server: the way there and back,
 * the wait for a free slot, and the work, which is less at a server that knows the key.
 *
 * Owns no state; relies on what `servers/` believes of the server and on the
 * learned times of work and way.
 */

import { type AvailabilityZoneId, type Milliseconds, milliseconds, type RegionId } from "@chalkdale/kernel";
import type { BackendServer } from "../servers/server-catalog.js";
import type { Route } from "../shared-state/configuration.js";
import type { ChoiceRequest, ChosenServer } from "./choice.js";
import type { KeyRebalancing } from "./key-rebalancing.js";
import { transferPenalty } from "./proximity-cost.js";
import { proximityOf } from "./server-ranking.js";
import type { TransferSizes } from "./transfer-sizes.js";
import type { WorkEstimate } from "./work-estimate.js";

/** A server as it would be chosen, and what servers are compared by: expected time, and what the choice costs beside it. */
interface ServerEstimate {
    readonly choice: ChosenServer;
    readonly cost: number;
}

export interface ServerEstimateOptions {
    readonly region: RegionId;
    readonly zone: AvailabilityZoneId;
    readonly workEstimate: WorkEstimate;
    readonly transferSizes: Pick<TransferSizes, "expected">;
    readonly keyRebalancing: Pick<KeyRebalancing, "isDue">;
    /** Time to a place and back. */
    readonly roundTrip: (region: RegionId, zone: AvailabilityZoneId) => Milliseconds;
}

/** Estimates a request at the server of a rank, from 0; `knownBy` are the servers to which this box has sent the key lately. */
type EstimateServer = (
    server: BackendServer,
    rank: number,
    request: ChoiceRequest,
    knownBy: readonly BackendServer[],
) => ServerEstimate;

/**
 * What it costs later requests that a key leaves its first server, as milliseconds of expected time: its next requests run cold
 * there.
 */
const movePenalty = 100;
/**
 * Part of the extra work of an unknown key that is expected where the key ranks first but this box has not seen it there:
 * other boxes most likely sent it.
 */
const unseenFirstPart = 0.1;
/**
 * The same where this box has sent the key to the other server lately: the first one was away or busy and may have lost the key.
 * So keys come back to it as the need arises, not all at once.
 */
const leftFirstPart = 0.5;

/** Returns the function that estimates; its `cost` adds what the choice costs later requests and in bytes. */
export function createServerEstimate(options: ServerEstimateOptions): EstimateServer {
    return function estimate(server, rank, request, knownBy) {
        const { at, keyHash, route, service } = request;
        const { region, slots, zone } = server.state.record();
        const slowness = server.state.slowness(at);
        const warm = !route.sticky || knownBy.includes(server);
        const warmWork = options.workEstimate.expected(route, true);
        const isReturning = rank === 0 && !warm && options.keyRebalancing.isDue(server, keyHash, at);
        const usualWork = warm ? warmWork : workOfUnseenKey(route, rank, knownBy.length > 0 && !isReturning);
        const work = usualWork * slowness;
        const excess = Math.max(0, server.state.load(at) + 1 - slots);
        const usualWait = excess / slots * options.workEstimate.expectedOfQueued(service, route);
        const wait = usualWait * slowness;
        const way = options.roundTrip(region, zone);
        const expected = way + wait + work;
        // The one cold run of a key that comes back is not charged to it: it would never come.
        const charged = isReturning ? way + wait + warmWork * slowness : expected;
        const moved = transferPenalty(options.transferSizes.expected(route), proximityOf({ region, zone }, options));
        const penalty = moved + (rank > 0 && route.sticky ? movePenalty : 0);
        return {
            choice: {
                kind: "chosen",
                server,
                rank,
                warm,
                expected: milliseconds(expected),
                minExpected: milliseconds(way + wait + options.workEstimate.minExpected(route)),
                wait: milliseconds(wait),
                expectedAtNormalSpeed: milliseconds(way + usualWait + usualWork),
            },
            cost: charged + penalty,
        };
    };

    function workOfUnseenKey(route: Route, rank: number, isKnownElsewhere: boolean): number {
        const warmWork = options.workEstimate.expected(route, true);
        const coldWork = options.workEstimate.expected(route, false);
        if (rank > 0) {
            return coldWork;
        }
        return warmWork + (coldWork - warmWork) * (isKnownElsewhere ? leftFirstPart : unseenFirstPart);
    }
}

/**
 * Estimates how long a request takes at one server: the round trip, the wait for a free
 * slot, and the work, which is shorter at a server that is warm for the key.
 *
 * Owns no state; relies on the server's state and on the learned work and round-trip times.
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

/** A server as it would be chosen, and the cost that servers are compared by, in milliseconds of expected time. */
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
    /** Estimated round-trip time to an availability zone. */
    readonly roundTrip: (region: RegionId, zone: AvailabilityZoneId) => Milliseconds;
}

/**
 * Estimates a request at the server with the given rank, from 0; `knownBy` are the servers that are warm for the key.
 */
type EstimateServer = (
    server: BackendServer,
    rank: number,
    request: ChoiceRequest,
    knownBy: readonly BackendServer[],
) => ServerEstimate;

/**
 * Milliseconds of expected time that it costs later requests if a key leaves its first server: its next requests run
 * cold there.
 */
const keyMovePenalty = 100;
/**
 * Expected fraction of the extra time of cold work at a key's first server if this box has not sent the key there
 * recently: other boxes most likely have.
 */
const unseenKeyColdFraction = 0.1;
/**
 * The same if this box has recently sent the key to the other compared server: the first one was unavailable or busy
 * and may have forgotten the key. Keys then return to it gradually as their second server fills up, and not all at
 * once.
 */
const movedKeyColdFraction = 0.5;

/** Returns the function that estimates; `cost` includes the penalties for moving a key and for transferring bytes. */
export function createServerEstimate(options: ServerEstimateOptions): EstimateServer {
    return function estimate(server, rank, request, knownBy) {
        const { at, keyHash, route, service } = request;
        const { region, slots, zone } = server.state.record();
        const slowness = server.state.slowness(at);
        const warm = !route.sticky || knownBy.includes(server);
        const warmWork = options.workEstimate.expected(route, true);
        const isReturning = rank === 0 && !warm && options.keyRebalancing.isDue(server, keyHash, at);
        const workAtNormalSpeed = warm ? warmWork : workIfNotWarm(route, rank, knownBy.length > 0 && !isReturning);
        const work = workAtNormalSpeed * slowness;
        const queued = Math.max(0, server.state.load(at) + 1 - slots);
        const waitAtNormalSpeed = queued / slots * options.workEstimate.expectedOfQueued(service, route);
        const wait = waitAtNormalSpeed * slowness;
        const roundTrip = options.roundTrip(region, zone);
        const expected = roundTrip + wait + work;
        // The one cold run of a returning key is not charged, since the key would otherwise never return.
        const chargedTime = isReturning ? roundTrip + wait + warmWork * slowness : expected;
        const transferCost = transferPenalty(
            options.transferSizes.expected(route),
            proximityOf({ region, zone }, options),
        );
        const penalty = transferCost + (rank > 0 && route.sticky ? keyMovePenalty : 0);
        return {
            choice: {
                kind: "chosen",
                server,
                rank,
                warm,
                expected: milliseconds(expected),
                minExpected: milliseconds(roundTrip + wait + options.workEstimate.minExpected(route)),
                wait: milliseconds(wait),
                expectedAtNormalSpeed: milliseconds(roundTrip + waitAtNormalSpeed + workAtNormalSpeed),
            },
            cost: chargedTime + penalty,
        };
    };

    function workIfNotWarm(route: Route, rank: number, isKnownElsewhere: boolean): number {
        const warmWork = options.workEstimate.expected(route, true);
        const coldWork = options.workEstimate.expected(route, false);
        if (rank > 0) {
            return coldWork;
        }
        return warmWork + (coldWork - warmWork) * (isKnownElsewhere ? movedKeyColdFraction : unseenKeyColdFraction);
    }
}

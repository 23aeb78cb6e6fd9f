/**
 * Policies that choose a server: the one that boxes use, and others to compare it with.
 */

import {
    type BackendServer,
    type Choice,
    type ChoiceRequest,
    createServerChoice,
    rendezvousScore,
    type ServerChoiceOptions,
} from "@chalkdale/decisions";
import { milliseconds, type RandomSource } from "@chalkdale/kernel";

/** Names of the policies; `affinity` is the one that boxes use. */
export const policyNames = ["affinity", "rendezvous", "two-choices", "candidate-set"] as const;

/** Name of a policy. */
export type PolicyName = (typeof policyNames)[number];

/** Requests per slot below which a server belongs to the candidate set. */
const lightLoadThreshold = 0.6;

/** Returns the function that chooses a server by the named policy. `random` is drawn from by `two-choices` only. */
export function createPolicy(
    name: PolicyName,
    options: ServerChoiceOptions,
    random: RandomSource,
): (request: ChoiceRequest) => Choice {
    const chooseByAffinity = createServerChoice(options);
    switch (name) {
        case "affinity":
            return chooseByAffinity;
        case "rendezvous":
            return request => chooseAmong(request, servers => maxBy(servers, server => score(server, request)));
        case "two-choices":
            return request =>
                chooseAmong(request, servers => lessLoaded(pickRandom(servers), pickRandom(servers), request));
        case "candidate-set":
            return request => chooseAmong(request, servers => leastLoadedCandidate(servers, request));
    }

    /** Applies a rule to the servers that may take the request. Expected times are not estimated per server. */
    function chooseAmong(
        request: ChoiceRequest,
        choose: (servers: readonly BackendServer[]) => BackendServer,
    ): Choice {
        const servers = options.catalog.ofService(request.service).filter(server =>
            !request.tried.has(server.id)
            && options.admitsVersion(server, request.isTrial)
            && options.admitsZone(server.state.record().zone)
            && server.state.exclusionReason(request.at) === undefined
        );
        if (servers.length === 0) {
            return { kind: "noServer" };
        }
        const expected = options.workEstimate.expected(request.route, true);
        return {
            kind: "chosen",
            server: choose(servers),
            rank: 0,
            warm: true,
            expected,
            minExpected: expected,
            wait: milliseconds(0),
            expectedAtNormalSpeed: expected,
        };
    }

    function score(server: BackendServer, request: ChoiceRequest): number {
        return rendezvousScore(request.keyHash, server.idHash, server.state.record().slots);
    }

    function pickRandom(servers: readonly BackendServer[]): BackendServer {
        return servers[Math.floor(random() * servers.length)];
    }

    function lessLoaded(a: BackendServer, b: BackendServer, request: ChoiceRequest): BackendServer {
        return relativeLoad(b, request) < relativeLoad(a, request) ? b : a;
    }

    /** The least loaded of the lightly loaded servers, or of all if none is lightly loaded. */
    function leastLoadedCandidate(servers: readonly BackendServer[], request: ChoiceRequest): BackendServer {
        const candidates = servers.filter(server => relativeLoad(server, request) < lightLoadThreshold);
        return maxBy(candidates.length > 0 ? candidates : servers, server => -relativeLoad(server, request));
    }

    function relativeLoad(server: BackendServer, request: ChoiceRequest): number {
        return server.state.load(request.at) / server.state.record().slots;
    }
}

function maxBy(servers: readonly BackendServer[], valueOf: (server: BackendServer) => number): BackendServer {
    return servers.reduce((best, candidate) => valueOf(candidate) > valueOf(best) ? candidate : best);
}

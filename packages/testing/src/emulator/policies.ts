/**
 * Ways to choose a server, to be compared: the product's own and its rivals.
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

/** Names of the policies. */
export const policyNames = ["affinity", "rendezvous", "two-choices", "candidate-set"] as const;

/** A policy by name. */
export type PolicyName = (typeof policyNames)[number];

/** Load below which a server of the candidate set counts as light, as a part of its slots. */
const lightLoad = 0.6;

/** Returns the function that chooses by a policy. */
export function createPolicy(
    name: PolicyName,
    options: ServerChoiceOptions,
    random: RandomSource,
): (request: ChoiceRequest) => Choice {
    const own = createServerChoice(options);
    switch (name) {
        case "affinity":
            return own;
        case "rendezvous":
            return request => chosen(request, servers => best(servers, server => score(server, request)));
        case "two-choices":
            return request => chosen(request, servers => lessLoaded(pick(servers), pick(servers), request));
        case "candidate-set":
            return request => chosen(request, servers => mostIdle(servers, request));
    }

    function chosen(
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

    function pick(servers: readonly BackendServer[]): BackendServer {
        return servers[Math.floor(random() * servers.length)];
    }

    function lessLoaded(a: BackendServer, b: BackendServer, request: ChoiceRequest): BackendServer {
        return relativeLoad(b, request) < relativeLoad(a, request) ? b : a;
    }

    /** The paper's rule: the most idle of the lightly loaded servers, else the least loaded of all. */
    function mostIdle(servers: readonly BackendServer[], request: ChoiceRequest): BackendServer {
        const light = servers.filter(server => relativeLoad(server, request) < lightLoad);
        return best(light.length > 0 ? light : servers, server => -relativeLoad(server, request));
    }

    function relativeLoad(server: BackendServer, request: ChoiceRequest): number {
        return server.state.load(request.at) / server.state.record().slots;
    }
}

function best(servers: readonly BackendServer[], valueOf: (server: BackendServer) => number): BackendServer {
    return servers.reduce((found, next) => valueOf(next) > valueOf(found) ? next : found);
}

/**
 * Ways to choose a server, to be compared: the product's own and its rivals.
 */

import type { RandomSource } from "@chalkdale/kernel";
import {
    type CatalogServer,
    type Choice,
    type ChoiceRequest,
    createServerChoice,
    rendezvousScore,
    type ServerChoiceOptions,
} from "@chalkdale/steering";

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
        choose: (servers: readonly CatalogServer[]) => CatalogServer,
    ): Choice {
        const servers = options.catalog.ofService(request.service).filter(server =>
            !request.tried.has(server.id)
            && options.admitsZone(server.standing.record().zone)
            && server.standing.unfitness(request.at) === undefined
        );
        if (servers.length === 0) {
            return { kind: "noServer" };
        }
        const expected = options.work.expected(request.route, true);
        return {
            kind: "chosen",
            server: choose(servers),
            rank: 0,
            warm: true,
            expected,
            least: expected,
        };
    }

    function score(server: CatalogServer, request: ChoiceRequest): number {
        return rendezvousScore(request.keyHash, server.idHash, server.standing.record().slots);
    }

    function pick(servers: readonly CatalogServer[]): CatalogServer {
        return servers[Math.floor(random() * servers.length)];
    }

    function lessLoaded(a: CatalogServer, b: CatalogServer, request: ChoiceRequest): CatalogServer {
        return relativeLoad(b, request) < relativeLoad(a, request) ? b : a;
    }

    /** The paper's rule: the most idle of the lightly loaded servers, else the least loaded of all. */
    function mostIdle(servers: readonly CatalogServer[], request: ChoiceRequest): CatalogServer {
        const light = servers.filter(server => relativeLoad(server, request) < lightLoad);
        return best(light.length > 0 ? light : servers, server => -relativeLoad(server, request));
    }

    function relativeLoad(server: CatalogServer, request: ChoiceRequest): number {
        return server.standing.load(request.at) / server.standing.record().slots;
    }
}

function best(servers: readonly CatalogServer[], valueOf: (server: CatalogServer) => number): CatalogServer {
    return servers.reduce((found, next) => valueOf(next) > valueOf(found) ? next : found);
}

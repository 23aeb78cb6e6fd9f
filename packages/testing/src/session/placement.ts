/**
 * The boxes and backend servers of a session, and where they stand.
 */

import type { Agent } from "@chalkdale/agent";
import {
    configuredBoxes,
    type IncarnationId,
    incarnationId,
    type Router,
    serverId,
    type ServerMember,
    serviceId,
    type SettingsDocument,
} from "@chalkdale/core";
import type { StateClient } from "@chalkdale/entry";
import type { Address } from "@chalkdale/runtime";

const firstPort = 9000;

/** Backend servers of one service, dealt out over the zones in turn. */
export interface SessionFleet {
    readonly service: string;
    readonly count: number;
}

/** A box of a session. */
export interface SessionBox {
    /** Name within the session: the box's own, or with `~old` for one that was replaced but runs on. */
    key: string;
    readonly id: string;
    readonly zone: string;
    readonly region: string;
    peer: Address;
    /** Undefined while the program is not running. */
    agent: Agent | undefined;
    router: Router | undefined;
    client: StateClient | undefined;
    paused: boolean;
    incarnation: IncarnationId;
    readonly owners: { agent: AbortController; entry: AbortController; };
}

/** Returns the last name of a path. */
export function nameOf(path: string): string {
    return path.slice(path.lastIndexOf("/") + 1);
}

/** Deals the servers of each fleet out over the zones in turn. */
export function placeServers(
    fleets: readonly SessionFleet[],
    zonePaths: readonly string[],
): Map<string, ServerMember[]> {
    const byZone = new Map<string, ServerMember[]>(zonePaths.map(path => [nameOf(path), []]));
    for (const { service, count } of fleets) {
        for (let index = 0; index < count; index++) {
            byZone.get(nameOf(zonePaths[index % zonePaths.length]))!.push({
                id: serverId(`${service}-${index + 1}`),
                service: serviceId(service),
                address: "10.0.0.1",
                port: firstPort + 1000 + index,
                state: "live",
            });
        }
    }
    return byZone;
}

/** Makes the boxes that the tree names; none of their programs runs. */
export function placeBoxes(document: SettingsDocument, zonePaths: readonly string[]): SessionBox[] {
    const ids = configuredBoxes(document);
    return zonePaths.flatMap(path =>
        (document.nodes[path].boxes ?? []).map(id => ({
            key: id,
            id,
            zone: nameOf(path),
            region: path.split("/")[2],
            peer: { address: "10.0.0.1", port: firstPort + ids.findIndex(name => name === id) },
            agent: undefined,
            router: undefined,
            client: undefined,
            paused: false,
            incarnation: incarnationId(""),
            owners: { agent: new AbortController(), entry: new AbortController() },
        }))
    );
}

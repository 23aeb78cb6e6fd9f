/**
 * Faults of what the boxes talk to: the store and the backend servers.
 */

import type { StoreFault } from "../standins/metadata-store-server.js";
import type { ServerBehaviour } from "../standins/server-answers.js";
import { type Fault, injectTemporaryFault, pickRandom } from "./fault-tools.js";
import type { SoakEnvironment } from "./soak-environment.js";

const storeFaults: readonly StoreFault[] = [
    { kind: "refused", status: 503 },
    { kind: "refused", status: 429 },
    { kind: "silent" },
    { kind: "reset" },
    { kind: "answerLost" },
    { kind: "late", afterMs: 900 },
];
const turningAway = storeFaults.slice(0, 4);
/** Part of the boxes that are turned away while others are served. */
const turnedAwayShare = 0.6;
const serverFaults: readonly ServerBehaviour[] = [
    { kind: "shed" },
    { kind: "fail", status: 500 },
    { kind: "loseAnswer", by: "reset" },
    { kind: "loseAnswer", by: "close" },
    { kind: "breakOff", by: "reset" },
    { kind: "breakOff", by: "close" },
    { kind: "extra", afterMs: 0 },
    { kind: "extra", afterMs: 40 },
    { kind: "garbage" },
];
/** Least part of its requests with which a server misbehaves. */
const leastShare = 0.1;
/** What chance adds to it at most. */
const addedShare = 0.6;

/** The store fails for a while. */
export function createStoreFailure(world: SoakEnvironment): Fault {
    const { random, storeServer } = world;

    return async function failStore() {
        const fault = pickRandom(storeFaults, random);
        await injectTemporaryFault(
            world,
            `store ${fault.kind}`,
            () => storeServer.setFault(() => fault),
            () => storeServer.setFault(() => ({ kind: "none" })),
        );
    };
}

/** The store turns some boxes away for a while, and serves the others. */
export function createPartialStoreFailure(world: SoakEnvironment): Fault {
    const { random, storeServer } = world;

    return async function turnAway() {
        const fault = pickRandom(turningAway, random);
        const turnedAway = new Map<string, boolean>();
        await injectTemporaryFault(
            world,
            `store ${fault.kind} to some boxes`,
            () => storeServer.setFault(({ caller }) => isTurnedAway(caller) ? fault : { kind: "none" }),
            () => storeServer.setFault(() => ({ kind: "none" })),
        );

        function isTurnedAway(caller: string): boolean {
            const drawn = turnedAway.get(caller) ?? random() < turnedAwayShare;
            turnedAway.set(caller, drawn);
            return drawn;
        }
    };
}

/** A server misbehaves at part of its requests for a while. */
export function createMisbehaviour(world: SoakEnvironment): Fault {
    const { random, servers } = world;

    return async function misbehave() {
        const { backend } = pickRandom(servers.filter(server => !server.isExcludedFromFaults), random);
        const behaviour = pickRandom(serverFaults, random);
        const share = leastShare + random() * addedShare;
        await injectTemporaryFault(
            world,
            `${behaviour.kind} of ${backend.id}`,
            () => backend.setBehaviour(() => random() < share ? behaviour : { kind: "serve" }),
            () => backend.setBehaviour(() => ({ kind: "serve" })),
        );
    };
}

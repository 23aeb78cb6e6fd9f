/**
 * Faults of the services that boxes depend on: the store and the backend servers.
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
/** Faults with which the store rejects the calls of some boxes. */
const partialFaults = storeFaults.slice(0, 4);
/** Probability that a box is rejected while others are served. */
const rejectedFraction = 0.6;
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
/** Minimum fraction of its requests at which a server misbehaves. */
const minMisbehaviour = 0.1;
/** Maximum random addition to that fraction. */
const maxAddedMisbehaviour = 0.6;

/** Creates the fault that makes the store fail for a while. */
export function createStoreFailure(environment: SoakEnvironment): Fault {
    const { random, storeServer } = environment;

    return async function failStore() {
        const fault = pickRandom(storeFaults, random);
        await injectTemporaryFault(
            environment,
            `store ${fault.kind}`,
            () => storeServer.setFault(() => fault),
            () => storeServer.setFault(() => ({ kind: "none" })),
        );
    };
}

/**
 * Creates the fault that makes the store reject, reset or leave unanswered the calls of some boxes for a while;
 * it serves the others.
 */
export function createPartialStoreFailure(environment: SoakEnvironment): Fault {
    const { random, storeServer } = environment;

    return async function failStoreForSome() {
        const fault = pickRandom(partialFaults, random);
        const rejectionByCaller = new Map<string, boolean>();
        await injectTemporaryFault(
            environment,
            `store ${fault.kind} to some boxes`,
            () => storeServer.setFault(({ caller }) => isRejected(caller) ? fault : { kind: "none" }),
            () => storeServer.setFault(() => ({ kind: "none" })),
        );

        function isRejected(caller: string): boolean {
            const rejected = rejectionByCaller.get(caller) ?? random() < rejectedFraction;
            rejectionByCaller.set(caller, rejected);
            return rejected;
        }
    };
}

/** Creates the fault that makes a random server misbehave at some of its requests for a while. */
export function createMisbehaviour(environment: SoakEnvironment): Fault {
    const { random, servers } = environment;

    return async function misbehave() {
        const { backend } = pickRandom(servers.filter(server => !server.isExcludedFromFaults), random);
        const behaviour = pickRandom(serverFaults, random);
        const fraction = minMisbehaviour + random() * maxAddedMisbehaviour;
        await injectTemporaryFault(
            environment,
            `${behaviour.kind} of ${backend.id}`,
            () => backend.setBehaviour(() => random() < fraction ? behaviour : { kind: "serve" }),
            () => backend.setBehaviour(() => ({ kind: "serve" })),
        );
    };
}

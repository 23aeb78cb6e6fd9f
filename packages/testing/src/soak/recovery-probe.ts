/**
 * Probes, once the faults of a run are over, whether each box serves again.
 */

import { milliseconds } from "@chalkdale/kernel";
import { sendRequest } from "../standins/client.js";
import { pause } from "../standins/deployment.js";
import type { BoxProcess } from "./box-process.js";
import type { RecoveryProbe } from "./observations.js";
import { customerNames } from "./soak-customers.js";
import { type SoakEnvironment, soakHost } from "./soak-environment.js";

/** Maximum number of requests to a box until one is served: a server may be full for a moment. */
const maxTries = 3;
/** Pause before each request. */
const tryPause = milliseconds(200);

/** Sends requests to each box until one is served, and lists the zones that have usable servers. */
export async function probeRecovery(environment: SoakEnvironment): Promise<RecoveryProbe> {
    const usableServers = environment.servers.filter(({ gone, isDown, isPermanentlyStopped }) =>
        !gone && !isDown && !isPermanentlyStopped
    );
    const zones = [...new Set(usableServers.map(({ zone }) => zone))];
    const boxes = await Promise.all(
        environment.boxes.map(async box => ({ box: box.callerAddress, status: await probeBox(environment, box) })),
    );
    return { zones, boxes };
}

async function probeBox(environment: SoakEnvironment, box: BoxProcess): Promise<number> {
    let status = 0;
    for (let count = 0; count < maxTries && status !== 200; count++) {
        await pause(tryPause);
        const answer = await sendRequest({
            address: box.callerAddress,
            host: soakHost,
            path: "/lookup/",
            requestId: `back-${box.name}-${count}`,
            affinityKey: box.name,
            credential: environment.customers.callerKeyOf(customerNames[0]).key,
        });
        status = answer.status;
    }
    return status;
}

/**
 * Asks what must serve again once the faults of a run are over.
 */

import { milliseconds } from "@chalkdale/kernel";
import { sendRequest } from "../standins/client.js";
import { pause } from "../standins/deployment.js";
import type { BoxProcess } from "./box-process.js";
import type { RecoveryProbe } from "./observations.js";
import { customerNames } from "./soak-customers.js";
import { type SoakEnvironment, soakHost } from "./soak-environment.js";

/** Requests to a box until one is served at most: a server may be full for a moment. */
const mostTries = 3;
const pauseBetween = milliseconds(200);

/** Sends a request to each box, and lists the zones that have servers. */
export async function probeRecovery(world: SoakEnvironment): Promise<RecoveryProbe> {
    const usable = world.servers.filter(({ gone, isDown, isPermanentlyStopped: isEnded }) =>
        !gone && !isDown && !isEnded
    );
    const zones = [...new Set(usable.map(({ zone }) => zone))];
    const boxes = await Promise.all(
        world.boxes.map(async box => ({ box: box.callerAddress, status: await statusOf(world, box) })),
    );
    return { zones, boxes };
}

async function statusOf(world: SoakEnvironment, box: BoxProcess): Promise<number> {
    let status = 0;
    for (let count = 0; count < mostTries && status !== 200; count++) {
        await pause(pauseBetween);
        const answer = await sendRequest({
            address: box.callerAddress,
            host: soakHost,
            path: "/lookup/",
            requestId: `back-${box.name}-${count}`,
            affinityKey: box.name,
            credential: world.customers.callerKeyOf(customerNames[0]).key,
        });
        status = answer.status;
    }
    return status;
}

/**
 * Emulated deployments of other sizes.
 */

import type { EmulatedDeployment } from "../src/emulator/deployment.js";

/** Returns the deployment with `factor` times as many boxes, servers and keys. */
export function scaleDeployment(deployment: EmulatedDeployment, factor: number): EmulatedDeployment {
    const times = (counts: Readonly<Record<string, number>>) =>
        Object.fromEntries(Object.entries(counts).map(([zone, count]) => [zone, count * factor]));
    return {
        ...deployment,
        boxesPerZone: times(deployment.boxesPerZone),
        services: deployment.services.map(service => ({ ...service, servers: times(service.servers) })),
        classes: deployment.classes.map(requestClass => ({ ...requestClass, keys: requestClass.keys * factor })),
    };
}

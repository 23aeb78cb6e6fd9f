/**
 * Pedala's work as it has become: work of a second on an unknown object, servers
 * that remember few, and a region with a third of the callers and a tenth of the
 * slots. After the users' site sheet.
 */

import type { EmulatedDeployment } from "./deployment.js";
import { pedala } from "./deployments.js";

const boxesOfZone = 2;

/** The sheet: 206 servers in six zones of three regions, as far as the strong boxes carry the load. */
export const pedalaNow: EmulatedDeployment = {
    ...pedala,
    name: "pedala-now",
    boxesPerZone: Object.fromEntries(Object.keys(pedala.zones).map(zone => [zone, boxesOfZone])),
    services: [
        {
            name: "profil-api",
            servers: {
                "ro-nord-a": 43,
                "ro-nord-b": 43,
                "eu-vest-a": 9,
                "eu-vest-b": 9,
                "eu-sud-a": 36,
                "eu-sud-b": 36,
            },
            slots: 6,
            queueLength: 18,
            rememberedKeys: 20,
        },
        {
            name: "tura-depot",
            servers: { "ro-nord-a": 7, "ro-nord-b": 7, "eu-vest-a": 1, "eu-vest-b": 1, "eu-sud-a": 6, "eu-sud-b": 6 },
            slots: 6,
            queueLength: 18,
            rememberedKeys: 29,
        },
    ],
    classes: [
        {
            name: "profile-lookup",
            service: "profil-api",
            kind: "safe",
            requestsPerSecond: 81,
            work: 1000,
            goal: 855,
            deadline: 3000,
            worth: 1,
            lateWorth: 0.2,
            keys: 173,
        },
        {
            name: "climb-save",
            service: "profil-api",
            kind: "unsafe",
            requestsPerSecond: 108,
            work: 1280,
            goal: 857,
            deadline: 4000,
            worth: 2,
            lateWorth: 0.4,
            keys: 231,
        },
        {
            name: "terrain-pack",
            service: "tura-depot",
            kind: "download",
            requestsPerSecond: 11,
            work: 800,
            goal: 739,
            deadline: 4900,
            worth: 1,
            lateWorth: 0.2,
            keys: 24,
        },
        {
            name: "ride-booking",
            service: "tura-depot",
            kind: "unsafe",
            requestsPerSecond: 33,
            work: 800,
            goal: 648,
            deadline: 3000,
            worth: 1,
            lateWorth: 0.2,
            keys: 70,
        },
    ],
    crossZoneLatency: 0.5,
    callerLatency: 1,
};

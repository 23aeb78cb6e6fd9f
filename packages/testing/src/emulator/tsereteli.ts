/**
 * Tsereteli's sheet: three services, one region with a tenth of the servers for
 * a third of the callers.
 */

import { milliseconds } from "@chalkdale/kernel";
import type { EmulatedDeployment } from "./deployment.js";

/** Servers by zone of the two small services. */
const twelveServers = {
    "tbilisi-vake": 1,
    "tbilisi-saburtalo": 1,
    "kutaisi-centre": 2,
    "kutaisi-rioni": 2,
    "batumi-port": 3,
    "batumi-old": 3,
};

/** The bookshop: 44 servers in six zones of three regions. */
export const tsereteli: EmulatedDeployment = {
    name: "tsereteli",
    zones: {
        "tbilisi-vake": "tbilisi",
        "tbilisi-saburtalo": "tbilisi",
        "kutaisi-centre": "kutaisi",
        "kutaisi-rioni": "kutaisi",
        "batumi-port": "batumi",
        "batumi-old": "batumi",
    },
    boxesPerZone: {
        "tbilisi-vake": 3,
        "tbilisi-saburtalo": 1,
        "kutaisi-centre": 3,
        "kutaisi-rioni": 1,
        "batumi-port": 2,
        "batumi-old": 2,
    },
    services: [
        {
            name: "shelf-finder",
            servers: {
                "tbilisi-vake": 1,
                "tbilisi-saburtalo": 1,
                "kutaisi-centre": 4,
                "kutaisi-rioni": 4,
                "batumi-port": 5,
                "batumi-old": 5,
            },
            slots: 5,
            queueLength: 15,
            rememberedKeys: 49,
        },
        { name: "hold-desk", servers: twelveServers, slots: 4, queueLength: 12, rememberedKeys: 33 },
        { name: "till", servers: twelveServers, slots: 3, queueLength: 9, rememberedKeys: 28 },
    ],
    classes: [
        {
            name: "catalogue-search",
            service: "shelf-finder",
            kind: "safe",
            requestsPerSecond: 53.1,
            work: 360,
            goal: 250,
            deadline: 800,
            worth: 1,
            lateWorth: 0.2,
            keys: 40,
        },
        {
            name: "copy-reserve",
            service: "hold-desk",
            kind: "unsafe",
            requestsPerSecond: 21.5,
            work: 480,
            goal: 400,
            deadline: 800,
            worth: 2,
            lateWorth: 0.4,
            keys: 16,
        },
        {
            name: "order-pay",
            service: "till",
            kind: "unsafe",
            requestsPerSecond: 18.1,
            work: 252,
            goal: 200,
            deadline: 1200,
            worth: 3,
            lateWorth: 0.6,
            keys: 14,
        },
    ],
    warmSaving: 0.7,
    loadAmplitude: 0.55,
    loadPeriod: milliseconds(36_000),
    crossZoneLatency: 1.4,
    crossRegionLatency: 20,
    callerLatency: 8,
};

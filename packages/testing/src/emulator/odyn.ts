/**
 * Odyn's sheet: uploads of 60 KB, answers of 5 KB, and a region with a third of the callers
 * and a tenth of the slots.
 */

import { milliseconds } from "@chalkdale/kernel";
import type { EmulatedDeployment } from "./deployment.js";

const boxesOfZone = 2;

/** The kiln bookings: 218 servers in six zones of three regions, with the boxes that carry most of the load. */
export const odyn: EmulatedDeployment = {
    name: "odyn",
    zones: {
        "gwynedd-a": "gwynedd",
        "gwynedd-b": "gwynedd",
        "dyfed-a": "dyfed",
        "dyfed-b": "dyfed",
        "gwent-a": "gwent",
        "gwent-b": "gwent",
    },
    boxesPerZone: {
        "gwynedd-a": boxesOfZone,
        "gwynedd-b": boxesOfZone,
        "dyfed-a": boxesOfZone,
        "dyfed-b": boxesOfZone,
        "gwent-a": boxesOfZone,
        "gwent-b": boxesOfZone,
    },
    services: [
        {
            name: "slotboard",
            servers: {
                "gwynedd-a": 32,
                "gwynedd-b": 32,
                "dyfed-a": 6,
                "dyfed-b": 6,
                "gwent-a": 28,
                "gwent-b": 28,
            },
            slots: 4,
            queueLength: 12,
            rememberedKeys: 22,
        },
        {
            name: "bookkeep",
            servers: { "gwynedd-a": 15, "gwynedd-b": 15, "dyfed-a": 3, "dyfed-b": 3, "gwent-a": 13, "gwent-b": 13 },
            slots: 4,
            queueLength: 12,
            rememberedKeys: 17,
        },
        {
            name: "kilnlens",
            servers: { "gwynedd-a": 5, "gwynedd-b": 5, "dyfed-a": 2, "dyfed-b": 2, "gwent-a": 5, "gwent-b": 5 },
            slots: 4,
            queueLength: 12,
            rememberedKeys: 18,
        },
    ],
    classes: [
        {
            name: "slot-lookup",
            service: "slotboard",
            kind: "safe",
            requestsPerSecond: 155,
            work: 800,
            goal: 639,
            deadline: 4200,
            worth: 1,
            lateWorth: 0.2,
            bytes: 400,
            keys: 332,
        },
        {
            name: "firing-reserve",
            service: "bookkeep",
            kind: "unsafe",
            requestsPerSecond: 56,
            work: 1040,
            goal: 858,
            deadline: 5200,
            worth: 2,
            lateWorth: 0.4,
            bytes: 5300,
            keys: 119,
        },
        {
            name: "load-photos",
            service: "kilnlens",
            kind: "upload",
            requestsPerSecond: 22,
            work: 960,
            goal: 719,
            deadline: 5700,
            worth: 2,
            lateWorth: 0.4,
            bytes: 60_400,
            keys: 47,
        },
    ],
    warmSaving: 0.7,
    loadAmplitude: 0.55,
    loadPeriod: milliseconds(36_000),
    crossZoneLatency: 1.4,
    crossRegionLatency: 35,
    callerLatency: 3,
};

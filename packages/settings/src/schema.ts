/**
 * The schemas of settings, nodes, settings files and stored trees.
 *
 * Owns the range of each setting and the kinds of node that may state it.
 */

import { isIP } from "node:net";
import { z } from "zod";
import { isAddressBlock } from "./address-block.js";
import type { NodeKind } from "./tree.js";
import type { SettingKey, SettingValues } from "./values.js";

/** Names of regions, availability zones, services, boxes and deployments. */
const namePattern = /^[a-z0-9][a-z0-9-]{0,62}$/;

const name = z.string().regex(namePattern, "a name of lower-case letters, digits and hyphens");
const share = z.number().min(0).max(1);
const positive = z.number().positive().max(1e9);
const notNegative = z.number().min(0).max(1e9);
const seconds = z.number().positive().max(86_400);
const count = z.int().min(1).max(1_000_000);
const block = z.string().refine(isAddressBlock, "an address block such as 10.0.0.0/8");
const address = z.string().refine(text => isIP(text) !== 0, "an IP address");
const method = z.enum(["POST", "PUT", "PATCH", "DELETE"]);

/** Schema of each setting's value. */
const valueSchemas: { readonly [Key in SettingKey]: z.ZodType<SettingValues[Key]>; } = {
    drain: z.boolean(),
    capacity: positive,
    floorShare: share,
    localFloorPart: share,
    isolationTime: seconds,
    leaseTime: seconds,
    linkLimit: positive,
    shiftCap: z.number().positive().max(60),
    clientBlocks: z.array(block),
    boxes: z.array(name),
    latencyTo: z.record(name, notNegative),
    zoneLatency: notNegative,
    latencyPrice: notNegative,
    headroomPrice: notNegative,
    coldPrice: notNegative,
    warmUp: seconds,
    answerLifetime: z.number().min(0.1).max(300),
    requestTimeout: seconds,
    maximumBodyBytes: z.int().min(0),
    slots: count,
    connections: count,
    slowStart: z.number().min(0).max(3600),
    retryRatio: share,
    requestCost: positive,
    ticketMethods: z.array(method),
    ticketLifetime: seconds,
    priority: z.int().min(0).max(9),
    requestsInFlight: count,
    probeInterval: z.number().min(0.1).max(2),
    latencyObjective: positive,
    availabilityObjective: share,
    trustedForwarders: z.array(address),
    relaysPerZone: z.int().min(1).max(10),
};

const locationKeys: readonly SettingKey[] = ["drain", "zoneLatency"];
const regionKeys: readonly SettingKey[] = [
    ...locationKeys,
    "capacity",
    "linkLimit",
    "clientBlocks",
    "latencyTo",
    "floorShare",
    "localFloorPart",
];
const serviceKeys: readonly SettingKey[] = [
    "drain",
    "shiftCap",
    "latencyPrice",
    "headroomPrice",
    "coldPrice",
    "warmUp",
    "answerLifetime",
    "requestTimeout",
    "maximumBodyBytes",
    "slots",
    "connections",
    "slowStart",
    "retryRatio",
    "requestCost",
    "ticketMethods",
    "ticketLifetime",
    "priority",
    "latencyObjective",
    "availabilityObjective",
];
const serviceZoneKeys: readonly SettingKey[] = [
    "drain",
    "latencyPrice",
    "headroomPrice",
    "coldPrice",
    "slots",
    "connections",
    "slowStart",
];
/** Settings that make sense for one region, service or zone only. */
const notAtRoot: readonly SettingKey[] = ["drain", "clientBlocks", "boxes", "latencyTo"];

/** Settings that a node of each kind may state. */
const keysOfKind: Readonly<Record<NodeKind, readonly SettingKey[]>> = {
    root: (Object.keys(valueSchemas) as SettingKey[]).filter(key => !notAtRoot.includes(key)),
    region: regionKeys,
    zone: [...locationKeys, "boxes"],
    service: serviceKeys,
    serviceRegion: serviceZoneKeys,
    serviceZone: serviceZoneKeys,
};

/** Returns the schema of the values that a node of one kind may state; all are optional. */
export function nodeSchema(kind: NodeKind) {
    const shape = Object.fromEntries(keysOfKind[kind].map(key => [key, valueSchemas[key].optional()]));
    return z.strictObject(shape);
}

const zoneBranch = (kind: NodeKind) => z.strictObject({ settings: nodeSchema(kind).optional() });
const regionBranch = (kind: NodeKind, zoneKind: NodeKind) =>
    z.strictObject({
        settings: nodeSchema(kind).optional(),
        zones: z.record(name, zoneBranch(zoneKind)).optional(),
    });

/** The schema of a settings file. */
export const fileSchema = z.strictObject({
    deployment: name,
    settings: nodeSchema("root").optional(),
    regions: z.record(name, regionBranch("region", "zone")),
    services: z.record(
        name,
        z.strictObject({
            settings: nodeSchema("service").optional(),
            regions: z.record(name, regionBranch("serviceRegion", "serviceZone")).optional(),
        }),
    ),
});

/** Content of a settings file that has passed {@link fileSchema}. */
export type SettingsFile = z.infer<typeof fileSchema>;

/** The schema of the tree as its store keeps it; the values of its nodes are validated by {@link nodeSchema}. */
export const documentSchema = z.strictObject({
    deployment: name,
    nodes: z.record(z.string(), z.record(z.string(), z.unknown())),
});

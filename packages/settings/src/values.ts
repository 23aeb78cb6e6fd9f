/**
 * The settings that nodes of the tree can state, with their defaults.
 *
 * Durations are in seconds and rates in units per second unless stated
 * otherwise. The comments describe what each setting is intended for: boxes do
 * not read the tree, so no setting takes effect on a box yet
 * (docs/DESIGN.md, "The settings tree and the boxes").
 */

/** All settings, with a value for each. */
export interface SettingValues {
    /** True if no new traffic is to be sent to this region, zone or service. */
    readonly drain: boolean;
    /** Cost units per second that a region can serve; see `requestCost`. */
    readonly capacity: number;
    /** Fraction of a region's capacity that is divided among boxes as guaranteed floors, 0 to 1; the rest is leased. */
    readonly floorShare: number;
    /** Fraction of a region's floors for boxes of the same region, 0 to 1; the rest is for boxes of other regions. */
    readonly localFloorPart: number;
    /** Seconds without contact to a peer or the platform after which a box stops using its floor. */
    readonly isolationTime: number;
    /** Seconds for which a capacity lease is valid unless renewed. */
    readonly leaseTime: number;
    /** Requests per second on the link from one other region into this one. */
    readonly linkLimit: number;
    /** Fraction of a service's traffic that may move to one region or zone per minute. */
    readonly shiftCap: number;
    /** Address blocks (CIDR) of callers that belong to this region. */
    readonly clientBlocks: readonly string[];
    /** Names of the boxes configured in an availability zone. */
    readonly boxes: readonly string[];
    /** One-way latency to other regions in milliseconds, by name of the region. */
    readonly latencyTo: Readonly<Record<string, number>>;
    /** One-way latency between availability zones of one region, in milliseconds. */
    readonly zoneLatency: number;
    /** Cost of one millisecond of round-trip time in the choice of a destination. */
    readonly latencyPrice: number;
    /** Cost of load near capacity in the choice of a destination. */
    readonly headroomPrice: number;
    /** Cost of cold caches in the choice of a destination. */
    readonly coldPrice: number;
    /** Seconds of steady traffic after which caches count as warm. */
    readonly warmUp: number;
    /** Seconds for which a caller may cache the answer of a look-up. */
    readonly answerLifetime: number;
    /** Timeout in seconds of a request that states no deadline. */
    readonly requestTimeout: number;
    /** Maximum size of a request body in bytes. */
    readonly maximumBodyBytes: number;
    /** Requests that one backend server processes concurrently. */
    readonly slots: number;
    /** Maximum number of connections from one box to one backend server. */
    readonly connections: number;
    /** Seconds over which a backend server that starts or recovers is brought to its full load. */
    readonly slowStart: number;
    /** Retries allowed per request, as a fraction of the requests started, 0 to 1. */
    readonly retryRatio: number;
    /** Cost units that one request consumes of a region's capacity. */
    readonly requestCost: number;
    /** HTTP methods that are accepted only with a ticket, since their requests must not run twice. */
    readonly ticketMethods: readonly string[];
    /** Seconds for which a ticket is valid. */
    readonly ticketLifetime: number;
    /** Priority of a service, 0 to 9; load is shed from services with lower priority first. */
    readonly priority: number;
    /** Maximum number of requests in flight on one box. */
    readonly requestsInFlight: number;
    /** Seconds between two probes of a backend server. */
    readonly probeInterval: number;
    /** Latency objective of a request, in milliseconds. */
    readonly latencyObjective: number;
    /** Fraction of requests that should succeed, 0 to 1. */
    readonly availabilityObjective: number;
    /** IP addresses of proxies whose X-Forwarded-For header is trusted. */
    readonly trustedForwarders: readonly string[];
    /** Relays per availability zone: boxes that watch the platform and exchange state with other zones. */
    readonly relaysPerZone: number;
}

/** Name of a setting. */
export type SettingKey = keyof SettingValues;

/** Values that one node states; it inherits the others. */
export type NodeValues = Partial<SettingValues>;

/** Values of the settings that no node on a path states. */
export const defaultValues: SettingValues = {
    drain: false,
    capacity: 0,
    floorShare: 0.3,
    localFloorPart: 0.8,
    isolationTime: 20,
    leaseTime: 10,
    linkLimit: 1_000_000,
    shiftCap: 0.1,
    clientBlocks: [],
    boxes: [],
    latencyTo: {},
    zoneLatency: 1,
    latencyPrice: 1,
    headroomPrice: 20,
    coldPrice: 10,
    warmUp: 120,
    answerLifetime: 2,
    requestTimeout: 10,
    maximumBodyBytes: 16 * 1024 * 1024,
    slots: 4,
    connections: 100,
    slowStart: 10,
    retryRatio: 0.1,
    requestCost: 1,
    ticketMethods: [],
    ticketLifetime: 60,
    priority: 5,
    requestsInFlight: 2000,
    probeInterval: 1,
    latencyObjective: 250,
    availabilityObjective: 0.999,
    trustedForwarders: [],
    relaysPerZone: 2,
};

/**
 * The settings that a node of the tree can carry, with their defaults.
 *
 * Durations are in seconds and rates in units per second, as operators write
 * them. The comments say what operators mean by each; no box reads the tree
 * today, so none is in force on a box (docs/DESIGN.md, "The settings tree and the boxes").
 */

/** Every setting, fully resolved. */
export interface SettingValues {
    /** No new traffic goes to this place. */
    readonly drain: boolean;
    /** Cost units per second that a region can serve. */
    readonly capacity: number;
    /** Part of a region's capacity that is split among the configured boxes, 0 to 1; the rest is leased. */
    readonly floorShare: number;
    /** Part of a region's floors that goes to its own boxes, 0 to 1; the rest to the boxes of other regions. */
    readonly localFloorPart: number;
    /** Seconds without contact to a peer or the platform after which a box gives up its floor. */
    readonly isolationTime: number;
    /** Seconds for which a capacity grant holds unless renewed. */
    readonly leaseTime: number;
    /** Requests per second on the link from one other region into this one. */
    readonly linkLimit: number;
    /** Share of a service's traffic that may move into one place per minute. */
    readonly shiftCap: number;
    /** Address blocks (CIDR) whose callers count as coming from this region. */
    readonly clientBlocks: readonly string[];
    /** Names of the entry boxes configured in an availability zone. */
    readonly boxes: readonly string[];
    /** One-way milliseconds to other regions. */
    readonly latencyTo: Readonly<Record<string, number>>;
    /** One-way milliseconds between availability zones of one region. */
    readonly zoneLatency: number;
    /** Price of one millisecond of round trip. */
    readonly latencyPrice: number;
    /** Price of load near capacity. */
    readonly headroomPrice: number;
    /** Price of a place whose caches are cold. */
    readonly coldPrice: number;
    /** Seconds of steady traffic after which caches count as warm. */
    readonly warmUp: number;
    /** Seconds for which a caller may keep a look-up answer. */
    readonly answerLifetime: number;
    /** Seconds until a request without a deadline of its own is given up. */
    readonly requestTimeout: number;
    /** Bytes that a request body may have. */
    readonly maximumBodyBytes: number;
    /** Requests that one backend server works on at once. */
    readonly slots: number;
    /** Connections that one box opens to one backend server. */
    readonly connections: number;
    /** Seconds over which a new or returning backend server is brought up to full load. */
    readonly slowStart: number;
    /** Retries allowed for each request started, 0 to 1. */
    readonly retryRatio: number;
    /** Cost units that one request takes from a region's capacity. */
    readonly requestCost: number;
    /** Methods that are accepted only with a ticket, since they must not run twice. */
    readonly ticketMethods: readonly string[];
    /** Seconds for which a ticket may be spent. */
    readonly ticketLifetime: number;
    /** Services with a lower priority are shed first; 0 to 9. */
    readonly priority: number;
    /** Requests in flight that one box holds. */
    readonly requestsInFlight: number;
    /** Seconds between two probes of a backend server. */
    readonly probeInterval: number;
    /** Milliseconds within which a request should be answered. */
    readonly latencyObjective: number;
    /** Share of requests that should succeed, 0 to 1. */
    readonly availabilityObjective: number;
    /** Addresses whose forwarded-for header is believed. */
    readonly trustedForwarders: readonly string[];
    /** Boxes per availability zone that watch the platform and link the zones. */
    readonly relaysPerZone: number;
}

/** Name of a setting. */
export type SettingKey = keyof SettingValues;

/** The values that one node states itself. */
export type NodeValues = Partial<SettingValues>;

/** What holds where no node of the path says otherwise. */
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

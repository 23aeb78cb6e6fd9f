/**
 * Objects in the metadata store of the users' platform as its operators and servers write them: the configuration, the
 * record of a server, and the order of a roll-out.
 */

/** A rule of the configuration, in the platform's terms: a route. */
export interface RuleOptions {
    readonly name: string;
    readonly path: string;
    readonly kind: "safe" | "unsafe" | "download" | "upload";
    readonly service?: string;
    readonly split?: readonly { readonly service: string; readonly weight: number; }[];
    readonly timeout?: string;
    readonly maxAttempts?: number;
    readonly sticky?: boolean;
    readonly homeRegions?: readonly string[];
    readonly isPublic?: boolean;
}

/** A tenant of the configuration, in the platform's terms: a customer. */
export interface TenantOptions {
    readonly name: string;
    readonly keys: readonly string[];
    readonly rate?: number;
    readonly burst?: number;
    readonly homeRegions?: readonly string[];
}

/** Fields of a server's record that differ from the defaults. */
export interface ServerRecordOptions {
    readonly service?: string;
    readonly zone?: string;
    readonly state?: "ready" | "draining";
    readonly coldLeft?: string;
    readonly version?: string;
    /** Unix milliseconds of the server's start; the record has no such field without it. */
    readonly born?: number;
}

/** Names of the services in each configuration. */
const services = ["profiles", "packs"];

/** Returns a configuration of one host; without tenants, requests need no key. */
export function configurationObject(
    version: number,
    host: string,
    rules: readonly RuleOptions[],
    tenants?: readonly TenantOptions[],
): unknown {
    return {
        version: version.toString(16).padStart(8, "0"),
        ...tenants === undefined ? {} : { tenants: tenants.map(tenantObject) },
        limits: {
            max_header_bytes: 16384,
            max_body_bytes: 1_000_000,
            header_timeout: "3000ms",
            idle_timeout: "15000ms",
        },
        listeners: [{ host, rules: rules.map(ruleObject) }],
        clusters: services.map(name => ({
            name,
            health_path: "/health",
            max_conns: 330,
            protocol: "h1",
            tls: false,
            warmup: "3s",
            cold_per_s: 14,
        })),
    };
}

function tenantObject({ burst, homeRegions, keys, name, rate }: TenantOptions): unknown {
    return {
        name,
        api_keys: keys,
        priority: 1,
        rate_per_s: rate ?? 0,
        burst: burst ?? 0,
        home_regions: homeRegions ?? [],
    };
}

function ruleObject(rule: RuleOptions): unknown {
    const destination = rule.split === undefined ? { service: rule.service ?? "profiles" } : { split: rule.split };
    return {
        name: rule.name,
        kind: rule.kind,
        goal: "400ms",
        priority: 1,
        public: rule.isPublic ?? false,
        sticky: rule.sticky ?? true,
        match: { path_prefix: rule.path },
        action: {
            ...destination,
            timeout: rule.timeout ?? "1500ms",
            max_attempts: rule.maxAttempts ?? 2,
            home_regions: rule.homeRegions ?? [],
        },
    };
}

/** Returns the record of a server. */
export function serverObject(address: string, options: ServerRecordOptions): unknown {
    return {
        service: options.service ?? "profiles",
        address,
        zone: options.zone ?? "north-a",
        version: options.version ?? "v1",
        slots: 4,
        state: options.state ?? "ready",
        cold_left: options.coldLeft ?? "0ms",
        call_seq: 1,
        ...options.born === undefined ? {} : { born: options.born },
    };
}

/** Returns an order to roll a service out to a version within the duration `over`. */
export function rolloutObject(service: string, targetVersion: string, over: string): unknown {
    return { service, target_version: targetVersion, over };
}

/**
 * Objects of the users' platform as its operators and servers write them: the
 * configuration, and the record of a server.
 */

/** A rule of the configuration, in the platform's own words. */
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

/** A customer of the configuration, in the platform's own words. */
export interface TenantOptions {
    readonly name: string;
    readonly keys: readonly string[];
    readonly rate?: number;
    readonly burst?: number;
    readonly homeRegions?: readonly string[];
}

/** Where a server is recorded, and how. */
export interface ServerRecordOptions {
    readonly service?: string;
    readonly zone?: string;
    readonly state?: "ready" | "draining";
    readonly coldLeft?: string;
    readonly version?: string;
    /** Unix milliseconds of the server's start; left out if not given. */
    readonly born?: number;
}

/** Services of every configuration that the stand-ins write. */
const services = ["profiles", "packs"];

/** Returns a configuration of one host; anyone may ask if no customers are given. */
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
export function serverObject(address: string, place: ServerRecordOptions): unknown {
    return {
        service: place.service ?? "profiles",
        address,
        zone: place.zone ?? "north-a",
        version: place.version ?? "v1",
        slots: 4,
        state: place.state ?? "ready",
        cold_left: place.coldLeft ?? "0ms",
        call_seq: 1,
        ...place.born === undefined ? {} : { born: place.born },
    };
}

/** Returns an order to move a service onto servers of a version. */
export function rolloutObject(service: string, targetVersion: string, over: string): unknown {
    return { service, target_version: targetVersion, over };
}

/**
 * All server pools of a box, by service and availability zone.
 */

import type { RandomSource } from "../kernel/environment.js";
import type { Milliseconds, ServiceId, ZoneId } from "../kernel/ids.js";
import type { CompiledService, CompiledSettings } from "../settings/compiled.js";
import { defaultValues, type SettingValues } from "../settings/values.js";
import type { MemberList, ProbeResult, ServerMember } from "../state/members.js";
import type { ZoneObservation } from "./goal.js";
import { type ChoicePolicy, createServerPool, type ServerDescription, type ServerPool } from "./server-pool.js";

/** A server's standing with its place. */
export type PlacedServer = ServerDescription & { readonly service: ServiceId; readonly zone: ZoneId; };

/** The pools of a box. */
export interface ServerDirectory {
    readonly applySettings: (settings: CompiledSettings, at: Milliseconds) => void;
    readonly applyMembers: (list: MemberList, at: Milliseconds) => void;
    readonly applyProbe: (probe: ProbeResult, at: Milliseconds) => void;
    /** Returns the pool of a service in the zone with an index, or undefined when it has none. */
    readonly pool: (service: CompiledService, zone: number) => ServerPool | undefined;
    /** Returns what is known of a service in a zone, without its warmth. */
    readonly observe: (service: CompiledService, zone: number, at: Milliseconds) => Omit<ZoneObservation, "warmth">;
    readonly wantProbes: (at: Milliseconds) => readonly ServerMember[];
    readonly describe: (at: Milliseconds) => readonly PlacedServer[];
}

export interface ServerDirectoryOptions {
    readonly policy: ChoicePolicy;
    readonly random: RandomSource;
}

interface PlacedPool {
    readonly service: ServiceId;
    readonly zone: ZoneId;
    readonly pool: ServerPool;
}

/** Creates a directory without pools. */
export function createServerDirectory(options: ServerDirectoryOptions): ServerDirectory {
    const pools = new Map<string, PlacedPool>();
    const poolOfServer = new Map<string, ServerPool>();
    const byService = new Map<ServiceId, (ServerPool | undefined)[]>();
    let settings: CompiledSettings | undefined;

    return {
        applySettings(next) {
            settings = next;
            indexPools();
        },
        applyMembers,
        applyProbe: (probe, at) => poolOfServer.get(probe.server)?.applyProbe(probe, at),
        pool: (service, zone) => byService.get(service.id)?.[zone],
        observe(service, zone, at) {
            const pool = byService.get(service.id)?.[zone];
            return pool === undefined
                ? { usableServers: 0, evidenceAge: Infinity }
                : { usableServers: pool.usableCount(at), evidenceAge: pool.evidenceAge(at) };
        },
        wantProbes: at => [...pools.values()].flatMap(({ pool }) => pool.wantProbes(at)),
        describe: at =>
            [...pools.values()].flatMap(({ service, zone, pool }) =>
                pool.describe(at).map(server => ({ ...server, service, zone }))
            ),
    };

    function applyMembers(list: MemberList, at: Milliseconds): void {
        const known = [...pools.values()].filter(placed => placed.zone === list.zone).map(placed => placed.service);
        const services = new Set([...known, ...list.servers.map(server => server.service)]);
        for (const service of services) {
            const { pool } = poolFor(service, list.zone);
            const members = list.servers.filter(server => server.service === service);
            pool.applyMembers(members, at);
            for (const member of members) {
                poolOfServer.set(member.id, pool);
            }
        }
        indexPools();
    }

    function poolFor(service: ServiceId, zone: ZoneId): PlacedPool {
        const key = `${service} ${zone}`;
        let placed = pools.get(key);
        if (placed === undefined) {
            const values = () => valuesAt(service, zone);
            placed = { service, zone, pool: createServerPool({ ...options, values }) };
            pools.set(key, placed);
        }
        return placed;
    }

    function valuesAt(service: ServiceId, zone: ZoneId): SettingValues {
        const place = settings?.services.get(service)?.zones.find(candidate => candidate.zone.id === zone);
        return place?.values ?? settings?.root ?? defaultValues;
    }

    function indexPools(): void {
        byService.clear();
        for (const service of settings?.services.keys() ?? []) {
            byService.set(service, settings!.zones.map(zone => pools.get(`${service} ${zone.id}`)?.pool));
        }
    }
}

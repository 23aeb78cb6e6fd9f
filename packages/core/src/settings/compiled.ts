/**
 * The settings tree in the form that decisions read: places and services
 * with all values resolved, addressed by index.
 */

import {
    type BoxId,
    boxId,
    type DeploymentId,
    deploymentId,
    type ObjectVersion,
    type RegionId,
    regionId,
    type ServiceId,
    serviceId,
    type ZoneId,
    zoneId,
} from "../kernel/ids.js";
import { type ClientBlockTable, createClientBlockTable } from "./client-blocks.js";
import { kindOfPath, type NodePath, resolveValues, type SettingsDocument } from "./tree.js";
import type { SettingValues } from "./values.js";

/** A region with its resolved settings. */
export interface CompiledRegion {
    readonly id: RegionId;
    readonly index: number;
    readonly values: SettingValues;
    /** Cost units per second that each configured box of this region may use here without asking. */
    readonly localFloor: number;
    /** The same for each box of another region. */
    readonly remoteFloor: number;
    /** Cost units per second that are given out by lease. */
    readonly leasable: number;
    /** Configured boxes in this region; never less than 1. */
    readonly boxCount: number;
}

/** An availability zone with its resolved settings. */
export interface CompiledZone {
    readonly id: ZoneId;
    readonly index: number;
    readonly region: CompiledRegion;
    readonly values: SettingValues;
    readonly boxes: readonly BoxId[];
}

/** What a service's settings say about one availability zone. */
export interface CompiledServiceZone {
    readonly zone: CompiledZone;
    readonly values: SettingValues;
    /** True when either the place or the service is drained here. */
    readonly drain: boolean;
}

/** A service with its resolved settings, its zones in the order of `zones`. */
export interface CompiledService {
    readonly id: ServiceId;
    readonly values: SettingValues;
    readonly zones: readonly CompiledServiceZone[];
}

/** All settings of one version. */
export interface CompiledSettings {
    readonly deployment: DeploymentId;
    readonly version: ObjectVersion;
    readonly root: SettingValues;
    readonly regions: readonly CompiledRegion[];
    readonly zones: readonly CompiledZone[];
    readonly services: ReadonlyMap<ServiceId, CompiledService>;
    readonly boxCount: number;
    readonly clientBlocks: ClientBlockTable;
}

/**
 * Compiles a checked document. Regions, zones and services come in the order
 * of their names, so that every box gives them the same indexes.
 */
export function compileSettings(document: SettingsDocument, version: ObjectVersion): CompiledSettings {
    const root = resolveValues(document, "/");
    const boxCount = Math.max(1, countBoxes(document));
    const regions = pathsOfKind(document, "region")
        .map((path, index) => compileRegion(document, path, index, boxCount));
    const zones = pathsOfKind(document, "zone")
        .map((path, index) => compileZone(document, path, index, regions));
    const services = pathsOfKind(document, "service")
        .map(path => compileService(document, path, zones));
    return {
        deployment: deploymentId(document.deployment),
        version,
        root,
        regions,
        zones,
        services: new Map(services.map(service => [service.id, service])),
        boxCount,
        clientBlocks: createClientBlockTable(blocksOf(regions)),
    };
}

/** Returns the floor of a box in a region, by the region that the box stands in. */
export function floorOf(region: CompiledRegion, boxRegion: RegionId): number {
    return region.id === boxRegion ? region.localFloor : region.remoteFloor;
}

/** Returns the paths of one kind that the document names, sorted. */
export function pathsOfKind(document: SettingsDocument, kind: ReturnType<typeof kindOfPath>): NodePath[] {
    return Object.keys(document.nodes).filter(path => kindOfPath(path) === kind).sort();
}

/** Returns the names of all configured boxes. */
export function configuredBoxes(document: SettingsDocument): BoxId[] {
    return pathsOfKind(document, "zone").flatMap(path => boxesAt(document, path));
}

function boxesAt(document: SettingsDocument, path: NodePath): BoxId[] {
    return (document.nodes[path]?.boxes ?? []).map(boxId);
}

function countBoxes(document: SettingsDocument): number {
    return configuredBoxes(document).length;
}

function compileRegion(
    document: SettingsDocument,
    path: NodePath,
    index: number,
    boxCount: number,
): CompiledRegion {
    const values = resolveValues(document, path);
    const own = pathsOfKind(document, "zone")
        .filter(zone => zone.startsWith(`${path}/`))
        .flatMap(zone => boxesAt(document, zone));
    const floors = values.capacity * values.floorShare;
    const others = boxCount - own.length;
    const localPart = own.length === 0 ? 0 : others === 0 ? 1 : values.localFloorPart;
    return {
        id: regionId(lastName(path)),
        index,
        values,
        localFloor: own.length === 0 ? 0 : floors * localPart / own.length,
        remoteFloor: others === 0 ? 0 : floors * (1 - localPart) / others,
        leasable: values.capacity * (1 - values.floorShare),
        boxCount: Math.max(1, own.length),
    };
}

function compileZone(
    document: SettingsDocument,
    path: NodePath,
    index: number,
    regions: readonly CompiledRegion[],
): CompiledZone {
    const region = regions.find(candidate => candidate.id === path.split("/")[2]);
    if (region === undefined) {
        throw new Error(`the region of ${path} is not in the document`);
    }
    return {
        id: zoneId(lastName(path)),
        index,
        region,
        values: resolveValues(document, path),
        boxes: boxesAt(document, path),
    };
}

function compileService(
    document: SettingsDocument,
    path: NodePath,
    zones: readonly CompiledZone[],
): CompiledService {
    return {
        id: serviceId(lastName(path)),
        values: resolveValues(document, path),
        zones: zones.map(zone => {
            const values = resolveValues(document, `${path}/${zone.region.id}/${zone.id}`);
            return { zone, values, drain: values.drain || zone.values.drain };
        }),
    };
}

function blocksOf(regions: readonly CompiledRegion[]) {
    return regions.flatMap(region => region.values.clientBlocks.map(block => ({ block, site: region.index })));
}

function lastName(path: NodePath): string {
    return path.slice(path.lastIndexOf("/") + 1);
}

/**
 * An emulated box: the decisions package with emulated servers and links instead of sockets.
 *
 * Owns the box's catalog of servers and its estimates of keys, load, work and transfer sizes.
 */

import {
    type BackendServerRecord,
    createLimitShare,
    createRecentKeys,
    createServerCatalog,
    createServerState,
    createServiceLoad,
    createSlowStart,
    createTransferSizes,
    createWorkEstimate,
    recordPropagationDelay,
    type ServerCatalog,
} from "@chalkdale/decisions";
import { type AvailabilityZoneId, type BoxId, milliseconds, type RandomSource, type RegionId } from "@chalkdale/kernel";
import {
    createEmulatedAttempts,
    type EmulatedAttemptsOptions,
    type EmulatedRequest,
    type EmulatedRequestOutcome,
} from "./emulated-attempts.js";
import { createEmulatedInput, type EmulatedInput } from "./emulated-input.js";
import { createEmulatedPaths, type EmulatedPathsOptions } from "./emulated-paths.js";
import { createPolicy, type PolicyName } from "./policies.js";

/** An emulated box. */
export interface EmulatedBox {
    readonly id: BoxId;
    readonly region: RegionId;
    readonly zone: AvailabilityZoneId;
    /** Replaces the list of servers. */
    readonly applyServers: (records: readonly BackendServerRecord[]) => void;
    /** Sets the closed availability zones; they replace those set before. */
    readonly closeZones: (zones: ReadonlySet<AvailabilityZoneId>) => void;
    /** What arrives at the box. */
    readonly input: EmulatedInput;
    /** Serves a caller's request that was read, and reports its outcome to `done`. */
    readonly serve: (request: EmulatedRequest, done: (outcome: EmulatedRequestOutcome) => void) => void;
}

export interface EmulatedBoxOptions extends Omit<EmulatedAttemptsOptions, "paths" | "input"> {
    readonly region: RegionId;
    readonly zone: AvailabilityZoneId;
    readonly policy: PolicyName;
    readonly random: RandomSource;
    /** Boxes and partitions, as the paths of this box depend on them. */
    readonly links: Omit<EmulatedPathsOptions, "events" | "servers">;
    /** Requests a second that a cold server can serve, from all boxes together. */
    readonly coldRate: number;
    readonly readsBeforeSending: boolean;
}

/** Creates a box without servers. */
export function createEmulatedBox(options: EmulatedBoxOptions): EmulatedBox {
    const { events, id, region, zone } = options;
    const catalog = createCatalog(options);
    const recentKeys = createRecentKeys();
    const serviceLoad = createServiceLoad();
    const workEstimate = createWorkEstimate();
    const transferSizes = createTransferSizes();
    const input = createEmulatedInput(options);
    let closedZones: ReadonlySet<AvailabilityZoneId> = new Set();
    const choose = createPolicy(options.policy, {
        region,
        zone,
        catalog,
        recentKeys,
        workEstimate,
        transferSizes,
        roundTrip: (_region, to) => milliseconds(options.roundTrip(to)),
        loadPerSlot: serviceLoad.perSlot,
        severity: (server, at) => server.state.severity(at),
        admitsZone: candidate => !closedZones.has(candidate),
        admitsVersion: () => true,
        admissionVersion: () => 0,
    }, options.random);

    return {
        id,
        region,
        zone,
        input,
        applyServers: records => {
            catalog.applyList(records, events.now());
        },
        closeZones: zones => {
            closedZones = zones;
        },
        serve: createEmulatedAttempts({
            ...options,
            input,
            paths: createEmulatedPaths({ ...options.links, events, servers: catalog.all }),
            choose,
            recentKeys,
            serviceLoad,
            workEstimate,
            transferSizes,
        }),
    };
}

function createCatalog(options: EmulatedBoxOptions): ServerCatalog {
    return createServerCatalog((record, at) => {
        const sharingOptions = {
            self: options.id,
            server: record.id,
            boxes: () => options.boxes,
            advertisedBoxIds: () => options.boxes,
        };
        return createServerState(record, at, {
            recordPropagationDelay,
            slowStart: createSlowStart({ ...sharingOptions, rate: () => options.coldRate }),
            createLimitShare: limit => createLimitShare(sharingOptions, limit),
        });
    });
}

/**
 * A box in the emulator: the product's own decisions with the emulator's
 * servers and links instead of sockets.
 *
 * Owns what the box believes of servers, keys and work; its attempts use it.
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
import { createPolicy, type PolicyName } from "./policies.js";

/** A box. */
export interface EmulatedBox {
    readonly id: BoxId;
    readonly region: RegionId;
    readonly zone: AvailabilityZoneId;
    readonly applyServers: (records: readonly BackendServerRecord[]) => void;
    readonly closeZones: (zones: ReadonlySet<AvailabilityZoneId>) => void;
    readonly serve: (request: EmulatedRequest, done: (ending: EmulatedRequestOutcome) => void) => void;
}

export interface EmulatedBoxOptions extends EmulatedAttemptsOptions {
    readonly region: RegionId;
    readonly zone: AvailabilityZoneId;
    readonly policy: PolicyName;
    readonly random: RandomSource;
    /** Requests a second that a cold server can serve. */
    readonly coldRate: number;
}

/** Creates a box that knows no servers yet. */
export function createEmulatedBox(options: EmulatedBoxOptions): EmulatedBox {
    const { events, id, region, zone } = options;
    const catalog = createCatalog(options);
    const recentKeys = createRecentKeys();
    const serviceLoad = createServiceLoad();
    const work = createWorkEstimate();
    const movedBytes = createTransferSizes();
    let closed: ReadonlySet<AvailabilityZoneId> = new Set();
    const choose = createPolicy(options.policy, {
        region,
        zone,
        catalog,
        recentKeys,
        workEstimate: work,
        transferSizes: movedBytes,
        roundTrip: (_region, to) => milliseconds(options.roundTrip(to)),
        loadPerSlot: serviceLoad.perSlot,
        severity: (server, at) => server.state.severity(at),
        admitsZone: candidate => !closed.has(candidate),
        admitsVersion: () => true,
        admissionVersion: () => 0,
    }, options.random);

    return {
        id,
        region,
        zone,
        applyServers: records => {
            catalog.applyList(records, events.now());
        },
        closeZones: zones => {
            closed = zones;
        },
        serve: createEmulatedAttempts({
            ...options,
            choose,
            recentKeys,
            serviceLoad,
            workEstimate: work,
            transferSizes: movedBytes,
        }),
    };
}

function createCatalog(options: EmulatedBoxOptions): ServerCatalog {
    return createServerCatalog((record, at) => {
        const sharing = {
            self: options.id,
            server: record.id,
            boxes: () => options.boxes,
            advertisedBoxIds: () => options.boxes,
        };
        return createServerState(record, at, {
            recordPropagationDelay,
            slowStart: createSlowStart({ ...sharing, rate: () => options.coldRate }),
            createLimitShare: known => createLimitShare(sharing, known),
        });
    });
}

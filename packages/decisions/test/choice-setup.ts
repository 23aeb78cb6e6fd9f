/**
 * Creates the choice of servers with its catalog and estimates, for tests.
 */

import {
    availabilityZoneId,
    backendServerId,
    boxId,
    milliseconds,
    regionId,
    serverVersion,
    serviceId,
} from "@chalkdale/kernel";
import {
    type BackendServerRecord,
    type ChoiceRequest,
    createLimitShare,
    createRecentKeys,
    createServerCatalog,
    createServerChoice,
    createServerState,
    createSlowStart,
    createTransferSizes,
    createWorkEstimate,
    hashKey,
    type Route,
} from "../src/index.js";

/** Service of all servers. */
const service = serviceId("profiles");
/** The choosing box is the only one. */
const onlyBox = [boxId("box-1")];
const sharing = { self: onlyBox[0], boxes: () => onlyBox, advertisedBoxIds: () => onlyBox };
/** Time of all choices, unless a test changes it. */
export const at = milliseconds(1000);

/** Servers of this version take trial requests, all others ordinary ones. */
export const trialVersion = serverVersion("v2");

/** Returns a sticky route of idempotent requests, with the given changes. */
export function createRoute(changes: Partial<Route> = {}): Route {
    return {
        name: "lookup",
        host: "example",
        pathPrefix: "/a/",
        kind: "safe",
        destinations: [{ service, weight: 1 }],
        goal: milliseconds(400),
        timeout: milliseconds(1500),
        maxAttempts: 2,
        priority: 2,
        sticky: true,
        homeRegions: [],
        isPublic: false,
        ...changes,
    };
}

/** Returns the record of a server in the north region, with the given changes. */
export function createRecord(name: string, changes: Partial<BackendServerRecord> = {}): BackendServerRecord {
    return {
        id: backendServerId(name),
        service,
        address: `192.0.2.${name.length}:80`,
        zone: availabilityZoneId("north-a"),
        region: regionId("north"),
        slots: 4,
        draining: false,
        coldFor: milliseconds(0),
        revision: 1,
        ...changes,
    };
}

/** Creates the choice of a box in the north region; `loadPerSlot` is the service's load that it observes. */
export function createSetup(
    records: readonly BackendServerRecord[],
    closedZones: readonly string[] = [],
    loadPerSlot = 0,
) {
    const catalog = createServerCatalog((record, now) =>
        createServerState(record, now, {
            recordPropagationDelay: milliseconds(0),
            slowStart: createSlowStart({ ...sharing, server: record.id, rate: () => 10 }),
            createLimitShare: known => createLimitShare({ ...sharing, server: record.id }, known),
        })
    );
    catalog.applyList(records, at);
    const recentKeys = createRecentKeys();
    const workEstimate = createWorkEstimate();
    const transferSizes = createTransferSizes();
    const choose = createServerChoice({
        region: regionId("north"),
        zone: availabilityZoneId("north-a"),
        catalog,
        recentKeys,
        workEstimate,
        transferSizes,
        roundTrip: region => milliseconds(region === "north" ? 1 : 70),
        loadPerSlot: () => loadPerSlot,
        severity: (server, now) => server.state.severity(now),
        admitsZone: zone => !closedZones.includes(zone),
        admitsVersion: (server, isTrial) => (server.state.record().version === trialVersion) === isTrial,
        admissionVersion: () => 0,
    });
    const request = (changes: Partial<ChoiceRequest> = {}): ChoiceRequest => ({
        route: createRoute(),
        service,
        keyHash: hashKey(service, "key-1"),
        allowedRegions: undefined,
        tried: new Set(),
        timeLeft: milliseconds(1500),
        isCallerRetry: false,
        isTrial: false,
        at,
        ...changes,
    });
    const chosen = (changes: Partial<ChoiceRequest> = {}) => {
        const choice = choose(request(changes));
        return choice.kind === "chosen" ? choice.server.id : choice.kind;
    };
    return { catalog, choose, chosen, transferSizes, recentKeys, request, workEstimate };
}

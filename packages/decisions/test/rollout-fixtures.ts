/**
 * Fixtures for the tests of roll-outs: an order, reports, evidence and servers.
 */

import { boxId, incarnationId, milliseconds, regionId, serverVersion, serviceId } from "@chalkdale/kernel";
import {
    type BackendServer,
    createServerCatalog,
    createServerState,
    createSlowStart,
    evaluateTrial,
    type EvidenceCell,
    type RolloutBounds,
    type RolloutOrder,
    type RolloutReport,
    type RolloutState,
} from "../src/index.js";
import { addCells } from "../src/rollouts/evidence.js";
import { createRecord } from "./choice-setup.js";

export const bounds: RolloutBounds = { exposedShare: 0.1, exposedAllowance: 50, rollbackTime: milliseconds(5000) };
export const rollout = { service: serviceId("profiles"), targetVersion: serverVersion("v2"), createdAt: 100 };
export const start = milliseconds(0);

export function orderIn(state?: RolloutState): RolloutOrder {
    return { ...rollout, duration: milliseconds(20_000), state, revision: 100 };
}

export function reportOf(changes: Partial<RolloutReport> = {}): RolloutReport {
    return {
        rollout,
        incarnation: incarnationId("life-1"),
        sent: 0,
        sentToTrial: 0,
        inProgressOnOtherVersions: 0,
        cap: 0,
        knownGrantedTotal: undefined,
        age: milliseconds(0),
        cells: [],
        ...changes,
    };
}

/** Creates cells of eight groups on each side; the functions return a group's changes to the defaults. */
export function cellsOf(
    trial: (group: number) => Partial<EvidenceCell>,
    control: (group: number) => Partial<EvidenceCell>,
): readonly EvidenceCell[] {
    return [true, false].flatMap(isTrial =>
        Array.from({ length: 8 }, (_, group) => ({
            isTrial,
            group,
            route: 1,
            answers: isTrial ? 10 : 50,
            failures: 0,
            slownessSum: 0,
            ...(isTrial ? trial : control)(group),
        }))
    );
}

export function evaluate(cells: readonly EvidenceCell[]) {
    return evaluateTrial([{ table: addCells(new Map(), cells), isMoving: false }]);
}

export function createServers(count: number): readonly BackendServer[] {
    const catalog = createServerCatalog((record, at) =>
        createServerState(record, at, {
            recordPropagationDelay: milliseconds(0),
            slowStart: createSlowStart({ self: boxId("box-1"), server: record.id, boxes: () => [], rate: () => 0 }),
            createLimitShare: () => ({
                allows: () => true,
                onSent: () => undefined,
                onNotSent: () => undefined,
                ownRate: () => 0,
            }),
        })
    );
    const records = Array.from(
        { length: count },
        (_, index) =>
            createRecord(`s${index}`, { version: serverVersion("v2"), region: regionId(`region-${index % 3}`) }),
    );
    catalog.applyList(records, start);
    return catalog.ofService(rollout.service);
}

/**
 * Evidence of all boxes, over the whole trial and over its most recent part: good
 * answers from the start of a trial must not hide that the version turned bad later.
 *
 * Owns the latest cells of each box and snapshots of their sums. Relies on cells
 * that are cumulative since the box's start, so that a repeated report changes nothing.
 */

import type { BoxId, Milliseconds } from "@chalkdale/kernel";
import { addCells, type EvidenceTable } from "./evidence.js";
import type { EvidenceCell, RolloutReport } from "./rollout-messages.js";

/** The merged evidence of all boxes, with snapshots of earlier times. */
export interface EvidenceHistory {
    readonly onReport: (box: BoxId, report: RolloutReport) => void;
    /** Stores a snapshot of the current sums, at most one per `snapshotInterval`. Call it several times a second. */
    readonly takeSnapshot: (at: Milliseconds) => void;
    readonly sinceStart: () => EvidenceTable;
    /** Evidence since the given time; all evidence if no snapshot is that old. */
    readonly since: (at: Milliseconds) => EvidenceTable;
}

/** Milliseconds between two snapshots. */
const snapshotInterval = 500;
/** Maximum number of snapshots, which cover 2 minutes; the oldest are dropped first. */
const maxSnapshots = 240;

interface EvidenceSnapshot {
    readonly at: Milliseconds;
    readonly table: EvidenceTable;
}

/** Creates an empty history. */
export function createEvidenceHistory(): EvidenceHistory {
    const latest = new Map<string, RolloutReport>();
    let total: EvidenceTable = new Map();
    let snapshots: EvidenceSnapshot[] = [];

    return {
        onReport(box, report) {
            const key = `${box} ${report.incarnation}`;
            const known = latest.get(key);
            if (known !== undefined && countAnswers(report.cells) < countAnswers(known.cells)) {
                return;
            }
            latest.set(key, report);
            total = addCells(addCells(total, known?.cells ?? [], -1), report.cells);
            if (known === undefined) {
                // The first report of a box may hold old answers, so they count as older than all snapshots.
                snapshots = snapshots.map(({ at, table }) => ({ at, table: addCells(table, report.cells) }));
            }
        },
        takeSnapshot(at) {
            const last = snapshots.at(-1);
            if (last !== undefined && at - last.at < snapshotInterval) {
                return;
            }
            snapshots = [...snapshots, { at, table: total }].slice(-maxSnapshots);
        },
        sinceStart: () => total,
        since(at) {
            const earlier = snapshots.findLast(snapshot => snapshot.at <= at);
            return earlier === undefined ? total : addCells(total, earlier.table.values(), -1);
        },
    };
}

function countAnswers(cells: readonly EvidenceCell[]): number {
    return cells.reduce((sum, { answers }) => sum + answers, 0);
}

/**
 * Evidence of all boxes over the whole trial and over its latest part: a version
 * that turns bad late must not hide behind its good beginning.
 *
 * Owns the latest cells of each box and sums at earlier times; relies on cells
 * that count from the box's start, so a repeat changes nothing.
 */

import type { BoxId, Milliseconds } from "@chalkdale/kernel";
import { addCells, type EvidenceTable } from "./evidence.js";
import type { EvidenceCell, RolloutReport } from "./rollout-messages.js";

/** Evidence of all boxes together. */
export interface EvidenceHistory {
    readonly onReport: (box: BoxId, report: RolloutReport) => void;
    /** Keeps the sums of this time; due some times a second. */
    readonly takeSnapshot: (at: Milliseconds) => void;
    readonly sinceStart: () => EvidenceTable;
    /** What was answered in the time since; all of it if that is longer than the history. */
    readonly since: (at: Milliseconds) => EvidenceTable;
}

/** Milliseconds between sums that are kept. */
const keptInterval = 500;
/** Sums that are kept at most, the oldest go first: 2 minutes. */
const mostKept = 240;

interface KeptSums {
    readonly at: Milliseconds;
    readonly table: EvidenceTable;
}

/** Creates a history without answers. */
export function createEvidenceHistory(): EvidenceHistory {
    const latest = new Map<string, RolloutReport>();
    let whole: EvidenceTable = new Map();
    let kept: KeptSums[] = [];

    return {
        onReport(box, report) {
            const name = `${box} ${report.incarnation}`;
            const known = latest.get(name);
            if (known !== undefined && answersOf(report.cells) < answersOf(known.cells)) {
                return;
            }
            latest.set(name, report);
            whole = addCells(addCells(whole, known?.cells ?? [], -1), report.cells);
            if (known === undefined) {
                // What a box tells first may be long past: it counts before all times that are kept.
                kept = kept.map(({ at, table }) => ({ at, table: addCells(table, report.cells) }));
            }
        },
        takeSnapshot(at) {
            const last = kept.at(-1);
            if (last !== undefined && at - last.at < keptInterval) {
                return;
            }
            kept = [...kept, { at, table: whole }].slice(-mostKept);
        },
        sinceStart: () => whole,
        since(at) {
            const before = kept.findLast(sums => sums.at <= at);
            return before === undefined ? whole : addCells(whole, before.table.values(), -1);
        },
    };
}

function answersOf(cells: readonly EvidenceCell[]): number {
    return cells.reduce((sum, { answers }) => sum + answers, 0);
}

/**
 * Evidence between boxes as what has changed: of some 50 cells a report each
 * 300 ms repeats hardly ten. Counts are cumulative, so a cell that comes twice
 * changes nothing, and one that was lost comes again.
 *
 * Owns what was told last, and what each box told.
 */

import type { EvidenceCell, RolloutReport } from "@chalkdale/decisions";
import type { BoxId } from "@chalkdale/kernel";

/** Reports in which a changed cell is told, so that a lost datagram costs a report's time. Not measured. */
const toldTimes = 2;
/** Reports after which all cells are told again, for a box that takes over or missed some: 3 s. Not measured. */
const wholeEvery = 10;

/** Returns the function that picks the cells of the next report to a box. */
export function createChangedCells(): (cells: readonly EvidenceCell[], to: BoxId) => readonly EvidenceCell[] {
    const told = new Map<string, { cell: EvidenceCell; times: number; }>();
    let toldTo: BoxId | undefined;
    let reports = 0;

    return function pick(cells, to) {
        const isWhole = to !== toldTo || reports % wholeEvery === 0;
        toldTo = to;
        reports += 1;
        return cells.filter(cell => {
            const name = nameOf(cell);
            const last = told.get(name);
            const times = last !== undefined && isSame(last.cell, cell) ? last.times + 1 : 1;
            told.set(name, { cell, times });
            return isWhole || times <= toldTimes;
        });
    };
}

/** Returns the function that puts a box's reports together again; a new life of a box begins anew. */
export function createWholeReports(): (box: BoxId, report: RolloutReport) => RolloutReport {
    /** By box and service. */
    const known = new Map<string, { readonly life: string; readonly cells: Map<string, EvidenceCell>; }>();

    return function complete(box, report) {
        const { createdAt, service, targetVersion } = report.rollout;
        const name = `${box} ${service}`;
        const life = `${report.incarnation} ${targetVersion} ${createdAt}`;
        const last = known.get(name);
        const cells = last?.life === life ? last.cells : new Map<string, EvidenceCell>();
        known.set(name, { life, cells });
        for (const cell of report.cells) {
            const cellName = nameOf(cell);
            // Datagrams may overtake each other.
            if (cell.answers >= (cells.get(cellName)?.answers ?? 0)) {
                cells.set(cellName, cell);
            }
        }
        return { ...report, cells: [...cells.values()] };
    };
}

function nameOf({ group, isTrial, route }: EvidenceCell): string {
    return `${isTrial ? "trial" : "proven"} ${group} ${route}`;
}

function isSame(a: EvidenceCell, b: EvidenceCell): boolean {
    return a.answers === b.answers && a.failures === b.failures && a.slownessSum === b.slownessSum;
}

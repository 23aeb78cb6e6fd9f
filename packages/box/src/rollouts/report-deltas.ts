/**
 * Evidence between boxes as what has changed: of some 50 cells a report each
 * 300 ms repeats hardly ten. Counts are cumulative, so a cell that comes twice
 * changes nothing, and one that was lost comes again.
 *
 * Owns what was told last, and what each box told.
 */

import type { EvidenceCell, RolloutId, RolloutReport } from "@chalkdale/decisions";
import type { BoxId } from "@chalkdale/kernel";

/** Reports in which a changed cell is told, so that a lost datagram costs a report's time. */
const toldTimes = 2;
/** Reports after which all cells are told again, for a box that takes over or missed some: 3 s. */
const wholeEvery = 10;

/** Returns the function that picks the cells of the next report to a box. */
export function createChangedCellSelector(): (cells: readonly EvidenceCell[], to: BoxId) => readonly EvidenceCell[] {
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

/** Puts the reports of boxes together again. */
export interface ReportAssembler {
    /** Returns a report with all cells that the box has told; a new life of a box begins anew. */
    readonly complete: (box: BoxId, report: RolloutReport) => RolloutReport;
    /** Forgets what was told of other orders: 740 boxes with 64 cells each take 3.7 MB (counted on the heap). */
    readonly keepOnly: (isOpen: (rollout: RolloutId) => boolean) => void;
}

/** What one box told of one order. */
interface ToldReport {
    readonly life: string;
    readonly rollout: RolloutId;
    readonly cells: Map<string, EvidenceCell>;
}

/** Creates it; nothing was told yet. */
export function createReportAssembler(): ReportAssembler {
    /** By box and service. */
    const known = new Map<string, ToldReport>();

    return {
        complete(box, report) {
            const { createdAt, service, targetVersion } = report.rollout;
            const name = `${box} ${service}`;
            const life = `${report.incarnation} ${targetVersion} ${createdAt}`;
            const last = known.get(name);
            const cells = last?.life === life ? last.cells : new Map<string, EvidenceCell>();
            known.set(name, { life, rollout: report.rollout, cells });
            for (const cell of report.cells) {
                const cellName = nameOf(cell);
                // Datagrams may overtake each other.
                if (cell.answers >= (cells.get(cellName)?.answers ?? 0)) {
                    cells.set(cellName, cell);
                }
            }
            return { ...report, cells: [...cells.values()] };
        },
        keepOnly(isOpen) {
            for (const [name, { rollout }] of known) {
                if (!isOpen(rollout)) {
                    known.delete(name);
                }
            }
        },
    };
}

function nameOf({ group, isTrial, route }: EvidenceCell): string {
    return `${isTrial ? "trial" : "proven"} ${group} ${route}`;
}

function isSame(a: EvidenceCell, b: EvidenceCell): boolean {
    return a.answers === b.answers && a.failures === b.failures && a.slownessSum === b.slownessSum;
}

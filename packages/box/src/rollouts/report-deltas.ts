/**
 * Delta encoding of the evidence in reports: of about 50 cells fewer than ten change
 * between two reports, 300 ms apart. Counts are cumulative, so a repeated cell
 * changes nothing, and a lost one is sent again.
 *
 * Owns the cells that were sent last, and the cells received from each box.
 */

import type { EvidenceCell, RolloutId, RolloutReport } from "@chalkdale/decisions";
import type { BoxId } from "@chalkdale/kernel";

/** Number of consecutive reports that contain a changed cell: one lost datagram delays it by only one report. */
const sendsPerChange = 2;
/** One report in this many, every 3 s, contains all cells, for a deciding box that restarted or missed some. */
const fullReportInterval = 10;

/** Returns a function that selects the cells for the next report to a box: those that changed, or all of them. */
export function createChangedCellSelector(): (
    cells: readonly EvidenceCell[],
    recipient: BoxId,
) => readonly EvidenceCell[] {
    const lastSent = new Map<string, { cell: EvidenceCell; sendCount: number; }>();
    let lastRecipient: BoxId | undefined;
    let reportCount = 0;

    return function selectChangedCells(cells, recipient) {
        const isFull = recipient !== lastRecipient || reportCount % fullReportInterval === 0;
        lastRecipient = recipient;
        reportCount += 1;
        return cells.filter(cell => {
            const key = keyOf(cell);
            const last = lastSent.get(key);
            const sendCount = last !== undefined && isSame(last.cell, cell) ? last.sendCount + 1 : 1;
            lastSent.set(key, { cell, sendCount });
            return isFull || sendCount <= sendsPerChange;
        });
    };
}

/** Restores full reports from those that contain only changed cells. */
export interface ReportAssembler {
    /** Returns a report with all cells received from the box; a new incarnation of a box starts without any. */
    readonly complete: (box: BoxId, report: RolloutReport) => RolloutReport;
    /** Forgets the cells of all other orders: those of 740 boxes with 64 cells each take 3.7 MB of heap. */
    readonly dropAllExcept: (isOpen: (rollout: RolloutId) => boolean) => void;
}

/** The cells received from one box on one order. */
interface ReceivedCells {
    /** Incarnation of the box, and identity of the order. */
    readonly identity: string;
    readonly rollout: RolloutId;
    readonly cells: Map<string, EvidenceCell>;
}

/** Creates an assembler without any received cells. */
export function createReportAssembler(): ReportAssembler {
    /** By box and service. */
    const known = new Map<string, ReceivedCells>();

    return {
        complete(box, report) {
            const { createdAt, service, targetVersion } = report.rollout;
            const key = `${box} ${service}`;
            const identity = `${report.incarnation} ${targetVersion} ${createdAt}`;
            const last = known.get(key);
            const cells = last?.identity === identity ? last.cells : new Map<string, EvidenceCell>();
            known.set(key, { identity, rollout: report.rollout, cells });
            for (const cell of report.cells) {
                const cellKey = keyOf(cell);
                // Datagrams may arrive out of order.
                if (cell.answers >= (cells.get(cellKey)?.answers ?? 0)) {
                    cells.set(cellKey, cell);
                }
            }
            return { ...report, cells: [...cells.values()] };
        },
        dropAllExcept(isOpen) {
            for (const [key, { rollout }] of known) {
                if (!isOpen(rollout)) {
                    known.delete(key);
                }
            }
        },
    };
}

function keyOf({ group, isTrial, route }: EvidenceCell): string {
    return `${isTrial ? "trial" : "proven"} ${group} ${route}`;
}

function isSame(a: EvidenceCell, b: EvidenceCell): boolean {
    return a.answers === b.answers && a.failures === b.failures && a.slownessSum === b.slownessSum;
}

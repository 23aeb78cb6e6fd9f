/**
 * Until when one incarnation of a server counts as cold, and by which source.
 *
 * Owns the latest cold period and the requests sent in it. Times are passed in.
 */

import { type Milliseconds, milliseconds } from "@chalkdale/kernel";

/**
 * Why a server counts as cold: by its record in the store, by a health check of this box or of another one (`peer`), or
 * because its availability zone was taken back and it may have turned cold meanwhile.
 */
export type ColdSource = "record" | "healthCheck" | "peer" | "zoneReopened";

/** A time in which a server counts as cold. */
export interface ColdPeriod {
    /** What began the period. */
    readonly source: ColdSource;
    readonly begunAt: Milliseconds;
    readonly until: Milliseconds;
    /** Requests that this box sent to the server in the period. */
    readonly sent: number;
}

/** Coldness of one incarnation of a server. */
export interface Coldness {
    /** Begins a cold period, or extends the current one; it never gets shorter. */
    readonly onCold: (at: Milliseconds, until: Milliseconds, source: ColdSource) => void;
    readonly isCold: (at: Milliseconds) => boolean;
    /** Counts a request in the current period; returns a function to call if it is not sent after all. */
    readonly onSent: () => () => void;
    /** The latest period; undefined before the first. */
    readonly period: () => ColdPeriod | undefined;
}

/** Creates the coldness of a server that is not known to be cold. */
export function createColdness(): Coldness {
    let period: ColdPeriod | undefined;
    let sent = 0;

    return {
        onCold(at, until, source) {
            if (until <= at) {
                return;
            }
            if (isCold(at)) {
                period = { ...period!, until: milliseconds(Math.max(period!.until, until)) };
                return;
            }
            sent = 0;
            period = { source, begunAt: at, until, sent };
        },
        isCold,
        onSent() {
            const begunAt = period?.begunAt;
            sent += 1;
            return () => {
                sent -= period?.begunAt === begunAt ? 1 : 0;
            };
        },
        period: () => period === undefined ? undefined : { ...period, sent },
    };

    function isCold(at: Milliseconds): boolean {
        return period !== undefined && at < period.until;
    }
}

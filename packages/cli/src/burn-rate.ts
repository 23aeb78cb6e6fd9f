/**
 * Service-level burn: how fast the error budget of each route is used up.
 *
 * A burn rate of 1 uses the budget up exactly over the period of the objective
 * (Google SRE Workbook, chapter 5). Pure: samples in, rates out.
 */

/** Counters of one life of one box, by route. */
export interface BoxCounters {
    readonly incarnation: string;
    readonly good: Readonly<Record<string, number>>;
    readonly bad: Readonly<Record<string, number>>;
}

/** The counters of all boxes at one moment. */
export interface BurnSample {
    /** Milliseconds since the epoch. */
    readonly at: number;
    readonly boxes: Readonly<Record<string, BoxCounters>>;
}

/** A span of time over which burn is told. */
export interface BurnWindow {
    readonly name: string;
    readonly length: number;
}

/** Burn of one route. */
export interface RouteBurn {
    readonly route: string;
    readonly requests: number;
    readonly failures: number;
    /** By name of the window; undefined where nothing was asked. */
    readonly rates: Readonly<Record<string, number | undefined>>;
    readonly alert: BurnAlert;
}

/** What to do about a burn: wake someone, look at it by day, or nothing. */
type BurnAlert = "page" | "ticket" | "none";

/** Milliseconds of a minute. */
const minute = 60_000;
/** Milliseconds of an hour. */
const hour = 60 * minute;

/** The windows of the report. */
export const burnWindows: readonly BurnWindow[] = [
    { name: "5 min", length: 5 * minute },
    { name: "1 h", length: hour },
    { name: "6 h", length: 6 * hour },
    { name: "3 days", length: 72 * hour },
];

/** Rates from which both windows of an alert must burn. */
const pageRate = 14.4;
/** Burn rate from which a ticket is due; the same chapter of the SRE Workbook as the page's. */
const ticketRate = 1;

/** Outcomes that are the caller's own doing and use up no budget. */
const callersOwn: ReadonlySet<string> = new Set(["callerLeft", "noRoute", "bodyTooLarge", "bodyStalled"]);
/** Statuses of failures begin here, by HTTP. */
const leastFailureStatus = 500;

/** True, false, or undefined for an outcome that does not count. */
export function classifyOutcome(outcome: string): boolean | undefined {
    if (callersOwn.has(outcome)) {
        return undefined;
    }
    const status = Number(outcome);
    return Number.isInteger(status) && status < leastFailureStatus;
}

/** Returns the burn of every route, given samples in order of time and the objective, such as 0.999. */
export function computeBurn(samples: readonly BurnSample[], objective: number): RouteBurn[] {
    const routes = new Set(
        samples.flatMap(sample =>
            Object.values(sample.boxes).flatMap(box => [...Object.keys(box.good), ...Object.keys(box.bad)])
        ),
    );
    return [...routes].sort().map(route => routeBurn(route, samples, objective));
}

function routeBurn(route: string, samples: readonly BurnSample[], objective: number): RouteBurn {
    const rates = Object.fromEntries(burnWindows.map(window => {
        const { bad, good } = countWithin(route, samples, window.length);
        return [window.name, good + bad === 0 ? undefined : bad / (good + bad) / (1 - objective)];
    }));
    const longest = countWithin(route, samples, burnWindows[burnWindows.length - 1].length);
    return {
        route,
        requests: longest.good + longest.bad,
        failures: longest.bad,
        rates,
        alert: alertOf(rates),
    };
}

function alertOf(rates: RouteBurn["rates"]): BurnAlert {
    const isAbove = (names: readonly string[], limit: number) => names.every(name => (rates[name] ?? 0) > limit);
    if (isAbove(["5 min", "1 h"], pageRate)) {
        return "page";
    }
    return isAbove(["6 h", "3 days"], ticketRate) ? "ticket" : "none";
}

/** Adds up what the counters rose between samples that lie within the window before the last sample. */
function countWithin(route: string, samples: readonly BurnSample[], length: number) {
    const end = samples.at(-1)?.at ?? 0;
    const total = { good: 0, bad: 0 };
    const known = new Map<string, BoxCounters>();
    for (const [index, sample] of samples.entries()) {
        const isWithin = index > 0 && samples[index - 1].at >= end - length;
        for (const [box, counters] of Object.entries(sample.boxes)) {
            const last = known.get(box);
            known.set(box, counters);
            if (!isWithin) {
                continue;
            }
            // A new life of a box counts from zero; a box that missed samples, from its last one.
            const since = last?.incarnation === counters.incarnation ? last : undefined;
            total.good += (counters.good[route] ?? 0) - (since?.good[route] ?? 0);
            total.bad += (counters.bad[route] ?? 0) - (since?.bad[route] ?? 0);
        }
    }
    return total;
}

/**
 * Computes burn rates: how fast the error budget of each route is consumed.
 *
 * A burn rate of 1 consumes the budget exactly over the period of the objective
 * (Google SRE Workbook, chapter 5). Pure.
 */

/** Counters of one box since the start of its incarnation, by route. */
export interface BoxCounters {
    readonly incarnation: string;
    /** Requests that succeeded, by route. */
    readonly good: Readonly<Record<string, number>>;
    /** Requests that failed, by route. */
    readonly bad: Readonly<Record<string, number>>;
}

/** The counters of all boxes at one moment. */
export interface BurnSample {
    /** Milliseconds since the Unix epoch. */
    readonly at: number;
    /** By name of the box; a box that did not answer is absent. */
    readonly boxes: Readonly<Record<string, BoxCounters>>;
}

/** A window over which burn is computed. */
export interface BurnWindow {
    readonly name: string;
    /** Milliseconds. */
    readonly length: number;
}

/** Burn of one route. Requests and failures are those of the longest window. */
export interface RouteBurn {
    readonly route: string;
    readonly requests: number;
    readonly failures: number;
    /** Burn rate by name of the window; undefined if the window has no requests. */
    readonly rates: Readonly<Record<string, number | undefined>>;
    readonly alert: BurnAlert;
}

/** Severity of a burn: page on-call, file a ticket, or none. */
type BurnAlert = "page" | "ticket" | "none";

/** Milliseconds in a minute. */
const minute = 60_000;
/** Milliseconds in an hour. */
const hour = 60 * minute;

/** Windows of the report, shortest first. */
export const burnWindows: readonly BurnWindow[] = [
    { name: "5 min", length: 5 * minute },
    { name: "1 h", length: hour },
    { name: "6 h", length: 6 * hour },
    { name: "3 days", length: 72 * hour },
];

/** Burn rate above which both windows cause a page: 2% of a 30-day budget in one hour (SRE Workbook, chapter 5). */
const pageRate = 14.4;
/** Burn rate above which both windows cause a ticket (SRE Workbook, chapter 5). */
const ticketRate = 1;

/** Outcomes that callers cause; they consume no budget. */
const callerOutcomes: ReadonlySet<string> = new Set([
    "callerLeft",
    "callerLeftUnsent",
    "noRoute",
    "bodyTooLarge",
    "bodyStalled",
]);
/** Lowest HTTP status that counts as a failure. */
const minFailureStatus = 500;

/** Returns true for a success, false for a failure, and undefined for an outcome that does not count. */
export function classifyOutcome(outcome: string): boolean | undefined {
    if (callerOutcomes.has(outcome)) {
        return undefined;
    }
    const status = Number(outcome);
    return Number.isInteger(status) && status < minFailureStatus;
}

/** Returns the burn of each route. `samples` are in order of time; `objective` is a fraction, such as 0.999. */
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

/** Sums the increases of the counters between samples within the window that ends at the last sample. */
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
            // Counters of a new incarnation start at zero. If a box is missing from samples, its last one is the base.
            const since = last?.incarnation === counters.incarnation ? last : undefined;
            total.good += (counters.good[route] ?? 0) - (since?.good[route] ?? 0);
            total.bad += (counters.bad[route] ?? 0) - (since?.bad[route] ?? 0);
        }
    }
    return total;
}

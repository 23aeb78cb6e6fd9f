/**
 * Simulates one customer's requests over many boxes, with three strategies to keep its quota: equal shares of the
 * boxes, sums of admitted requests that boxes gossip, and leases of a quota coordinator. Time and randomness are
 * simulated.
 */

import { boxId, createSeededRandom, customerId, type Milliseconds, milliseconds } from "@chalkdale/kernel";
import {
    createQuotaAllocator,
    createQuotaShare,
    type CustomerQuota,
    effectiveQuota,
    type QuotaLease,
} from "../src/index.js";

/** A strategy by which boxes share a quota. */
export interface QuotaStrategy {
    readonly name: string;
    /** Returns true if a box admits a request. */
    readonly admit: (box: number, at: Milliseconds) => boolean;
    /** Runs one round of messages, every 300 ms. */
    readonly round: (at: Milliseconds) => void;
    /** Messages that all boxes have sent so far. */
    readonly messages: () => number;
}

/** What is simulated. */
export interface QuotaScenario {
    readonly boxCount: number;
    readonly quota: () => CustomerQuota;
    /** Returns the requests a second at a time in seconds. */
    readonly demand: (second: number) => number;
    /** Number of the customer's callers; each uses one box for a while. */
    readonly callers: number;
    readonly seconds: number;
    readonly seed: number;
    /** True while a box is cut off from all others. */
    readonly isCutOff?: (box: number, second: number) => boolean;
    /** Second at which the coordinator is lost; 3 s later another one without its state takes over. */
    readonly coordinatorLostAt?: number;
    /** Second at which all boxes stop; they start again one second later, without their state. */
    readonly restartAt?: number;
}

/** The result of a simulation. */
export interface QuotaResult {
    /**
     * Maximum excess of the requests admitted in any 5 s over what the quota allows in 5 s, as a fraction of the
     * latter.
     */
    readonly overshoot: number;
    /**
     * Refused requests that a single bucket for all boxes would have admitted, as a fraction of those it would have
     * admitted.
     */
    readonly wronglyRefused: number;
    /** Messages a second and per box. */
    readonly messageRate: number;
}

/** Milliseconds between two rounds of messages. */
const roundInterval = 300;
/** Milliseconds from a report to the lease that answers it, between regions. */
const leaseDelay = 75;
/** Milliseconds by which a box delays a request. */
const maxWait = milliseconds(500);
/** Milliseconds of the window in which admitted requests are compared with the quota. */
const window = 5000;
/** Mean time in milliseconds for which a caller uses the same box. */
const callerStay = 1000;

/** Runs a simulation. `allowance` is added to the limit of a window, as deployments do. */
export function simulateQuota(
    scenario: QuotaScenario,
    createStrategy: (scenario: QuotaScenario, second: () => number) => QuotaStrategy,
    allowance: number,
): QuotaResult {
    const random = createSeededRandom(scenario.seed);
    let now = 0;
    let strategy = createStrategy(scenario, () => now / 1000);
    let restarted = false;
    const admittedAt: number[] = [];
    const boxOfCaller = Array.from({ length: scenario.callers }, () => Math.floor(random() * scenario.boxCount));
    let idealTokens = scenario.quota().burst;
    let idealAdmitted = 0;
    let wronglyRefused = 0;
    let overshoot = -Infinity;
    let messages = 0;
    let nextRound = roundInterval;
    while (now < scenario.seconds * 1000) {
        const rate = Math.max(0.001, scenario.demand(now / 1000));
        const gap = -Math.log(1 - random()) * 1000 / rate;
        while (nextRound < now + gap) {
            strategy.round(milliseconds(nextRound));
            nextRound += roundInterval;
        }
        now += gap;
        if (!restarted && now / 1000 >= (scenario.restartAt ?? Infinity) + 1) {
            restarted = true;
            messages += strategy.messages();
            strategy = createStrategy(scenario, () => now / 1000);
        }
        if (now / 1000 > (scenario.restartAt ?? Infinity) && now / 1000 < scenario.restartAt! + 1) {
            continue;
        }
        const caller = Math.floor(random() * scenario.callers);
        if (random() < gap * scenario.callers / callerStay) {
            boxOfCaller[Math.floor(random() * scenario.callers)] = Math.floor(random() * scenario.boxCount);
        }
        const quota = scenario.quota();
        idealTokens = Math.min(quota.burst, idealTokens + quota.rate * gap / 1000);
        const isWithinQuota = idealTokens >= 1;
        if (isWithinQuota) {
            idealTokens -= 1;
            idealAdmitted += 1;
        }
        if (!strategy.admit(boxOfCaller[caller], milliseconds(now))) {
            wronglyRefused += isWithinQuota ? 1 : 0;
            continue;
        }
        admittedAt.push(now);
        while (admittedAt[0] < now - window) {
            admittedAt.shift();
        }
        const limit = quota.rate * window / 1000 + quota.burst;
        overshoot = Math.max(overshoot, (admittedAt.length - allowance) / limit - 1);
    }
    messages += strategy.messages();
    return {
        overshoot,
        wronglyRefused: wronglyRefused / Math.max(1, idealAdmitted),
        messageRate: messages / scenario.boxCount / scenario.seconds,
    };
}

/** Each box has an equal share of rate and burst. */
export function equalShares(scenario: QuotaScenario): QuotaStrategy {
    const buckets = Array.from({ length: scenario.boxCount }, () => ({ tokens: 0, at: 0 }));
    return {
        name: "equal shares",
        admit(box, at) {
            const { burst, rate } = scenario.quota();
            const bucket = buckets[box];
            const capacity = Math.max(1, burst / scenario.boxCount);
            bucket.tokens = Math.min(capacity, bucket.tokens + rate / scenario.boxCount * (at - bucket.at) / 1000);
            bucket.at = at;
            if (bucket.tokens < 1) {
                return false;
            }
            bucket.tokens -= 1;
            return true;
        },
        round: () => undefined,
        messages: () => 0,
    };
}

/**
 * Each box admits while the sums that it knows leave room; in each round every box sends its own and all known sums to
 * one other box.
 */
export function gossipedSums(scenario: QuotaScenario, second: () => number): QuotaStrategy {
    const random = createSeededRandom(scenario.seed + 1);
    const known = Array.from({ length: scenario.boxCount }, () => new Map<number, number>());
    const levels = Array.from({ length: scenario.boxCount }, () => ({ level: 0, charged: 0, at: 0 }));
    let messages = 0;
    const sumOf = (box: number) => [...known[box].values()].reduce((sum, value) => sum + value, 0);
    return {
        name: "gossiped sums",
        admit(box, at) {
            const { burst, rate } = scenario.quota();
            const local = levels[box];
            const sum = sumOf(box);
            local.level = Math.min(burst, local.level + rate * (at - local.at) / 1000) - (sum - local.charged);
            local.charged = sum;
            local.at = at;
            if (local.level < 1) {
                return false;
            }
            known[box].set(box, (known[box].get(box) ?? 0) + 1);
            return true;
        },
        round() {
            for (let box = 0; box < scenario.boxCount; box++) {
                const target = Math.floor(random() * scenario.boxCount);
                if (scenario.isCutOff?.(box, second()) || scenario.isCutOff?.(target, second())) {
                    continue;
                }
                messages += 1;
                for (const [origin, sum] of known[box]) {
                    known[target].set(origin, Math.max(sum, known[target].get(origin) ?? 0));
                }
            }
        },
        messages: () => messages,
    };
}

/** Leases of a quota coordinator, by which boxes refuse at once what their share does not admit. */
export function leases(scenario: QuotaScenario, second: () => number): QuotaStrategy {
    return leasesWithWait(scenario, second, milliseconds(0));
}

/** The same, but boxes delay requests that their share admits soon. */
export function leasesDelaying(scenario: QuotaScenario, second: () => number): QuotaStrategy {
    return leasesWithWait(scenario, second, maxWait);
}

function leasesWithWait(scenario: QuotaScenario, second: () => number, longestWait: Milliseconds): QuotaStrategy {
    const customer = customerId("c");
    const startedAt = milliseconds(second() * 1000);
    const shares = Array.from({ length: scenario.boxCount }, () => createQuotaShare(customer, startedAt));
    let allocator = createQuotaAllocator(startedAt);
    let coordinatorLostAt = scenario.coordinatorLostAt ?? Infinity;
    const pendingLeases: { readonly box: number; readonly lease: QuotaLease; readonly due: number; }[] = [];
    const quota = () => effectiveQuota(scenario.quota(), { over: 0.1, slack: 20 });
    const deliver = (at: Milliseconds) => {
        while (pendingLeases.length > 0 && pendingLeases[0].due <= at) {
            const { box, lease } = pendingLeases.shift()!;
            shares[box].onLease(lease, at);
        }
    };
    let messages = 0;
    return {
        name: "leases",
        admit(box, at) {
            deliver(at);
            const denial = shares[box].consume({
                quota: quota(),
                boxCount: scenario.boxCount,
                startingFor: undefined,
                at,
            });
            const isAdmitted = denial === undefined
                || longestWait > 0 && shares[box].reserve(denial, longestWait, at);
            if (shares[box].needsLease(at)) {
                report(box, at);
            }
            return isAdmitted;
        },
        round(at) {
            deliver(at);
            if (at / 1000 >= coordinatorLostAt + 3) {
                coordinatorLostAt = Infinity;
                allocator = createQuotaAllocator(at);
            }
            shares.forEach((_, box) => report(box, at));
        },
        messages: () => messages,
    };

    function report(box: number, at: Milliseconds): void {
        const due = shares[box].dueReport(at);
        if (due === undefined || scenario.isCutOff?.(box, at / 1000) || isCoordinatorLost(at)) {
            return;
        }
        messages += 2;
        const context = { quota: quota(), boxCount: scenario.boxCount, at };
        pendingLeases.push({ box, due: at + leaseDelay, lease: allocator.onReport(boxId(`b-${box}`), due, context) });
    }

    /** True for 3 s, until the other boxes have detected the loss of the coordinator. */
    function isCoordinatorLost(at: Milliseconds): boolean {
        return at / 1000 >= coordinatorLostAt && at / 1000 < coordinatorLostAt + 3;
    }
}

/**
 * One customer's requests over many boxes, with three ways to keep its quota:
 * equal parts of the boxes, sums of what all boxes admitted passed on by gossip,
 * and leases of a box that counts. Time and chance are emulated.
 */

import { boxId, createSeededRandom, customerId, type Milliseconds, milliseconds } from "@chalkdale/kernel";
import {
    createQuotaAllocator,
    createQuotaShare,
    type CustomerQuota,
    effectiveQuota,
    type QuotaLease,
} from "../src/index.js";

/** How boxes share a quota. */
export interface QuotaWay {
    readonly name: string;
    /** Decides on a request at a box. */
    readonly admit: (box: number, at: Milliseconds) => boolean;
    /** One round of messages, every 300 ms. */
    readonly round: (at: Milliseconds) => void;
    /** Messages sent so far, of all boxes. */
    readonly messages: () => number;
}

/** What is played. */
export interface QuotaDay {
    readonly boxCount: number;
    readonly quota: () => CustomerQuota;
    /** Requests a second at a time in seconds. */
    readonly demand: (second: number) => number;
    /** Callers of the customer: each uses one box for a while. */
    readonly callers: number;
    readonly seconds: number;
    readonly seed: number;
    /** True while a box reaches no other. */
    readonly isCut?: (box: number, second: number) => boolean;
    /** The box that counts starts anew, or another one takes over, at this second. */
    readonly counterLostAt?: number;
    /** All boxes end at this second and start anew within one. */
    readonly restartAt?: number;
}

/** What came of it. */
export interface QuotaResult {
    /** The most that any 5 s admitted over what the quota allows in 5 s, as a part of that. */
    readonly overshoot: number;
    /** Requests refused that one bucket for all boxes would have admitted, as a part of those. */
    readonly wronglyRefused: number;
    /** Messages a second and box. */
    readonly messageRate: number;
}

const round = 300;
/** Milliseconds from a report to the lease that answers it, between regions. */
const answerTime = 75;
const window = 5000;
/** Milliseconds for which a caller stays with a box. */
const stay = 1000;

/** Plays a day. `allowance` is added to the limit of a window, as deployments do. */
export function playQuota(
    day: QuotaDay,
    createWay: (day: QuotaDay, second: () => number) => QuotaWay,
    allowance: number,
): QuotaResult {
    const random = createSeededRandom(day.seed);
    let now = 0;
    let way = createWay(day, () => now / 1000);
    let restarted = false;
    const admittedAt: number[] = [];
    const boxOfCaller = Array.from({ length: day.callers }, () => Math.floor(random() * day.boxCount));
    let ideal = day.quota().burst;
    let idealAdmitted = 0;
    let wronglyRefused = 0;
    let overshoot = -Infinity;
    let messages = 0;
    let nextRound = round;
    while (now < day.seconds * 1000) {
        const rate = Math.max(0.001, day.demand(now / 1000));
        const gap = -Math.log(1 - random()) * 1000 / rate;
        while (nextRound < now + gap) {
            way.round(milliseconds(nextRound));
            nextRound += round;
        }
        now += gap;
        if (!restarted && now / 1000 >= (day.restartAt ?? Infinity) + 1) {
            restarted = true;
            messages += way.messages();
            way = createWay(day, () => now / 1000);
        }
        if (now / 1000 > (day.restartAt ?? Infinity) && now / 1000 < day.restartAt! + 1) {
            continue;
        }
        const caller = Math.floor(random() * day.callers);
        if (random() < gap * day.callers / stay) {
            boxOfCaller[Math.floor(random() * day.callers)] = Math.floor(random() * day.boxCount);
        }
        const quota = day.quota();
        ideal = Math.min(quota.burst, ideal + quota.rate * gap / 1000);
        const isWithin = ideal >= 1;
        if (isWithin) {
            ideal -= 1;
            idealAdmitted += 1;
        }
        if (!way.admit(boxOfCaller[caller], milliseconds(now))) {
            wronglyRefused += isWithin ? 1 : 0;
            continue;
        }
        admittedAt.push(now);
        while (admittedAt[0] < now - window) {
            admittedAt.shift();
        }
        const limit = quota.rate * window / 1000 + quota.burst;
        overshoot = Math.max(overshoot, (admittedAt.length - allowance) / limit - 1);
    }
    messages += way.messages();
    return {
        overshoot,
        wronglyRefused: wronglyRefused / Math.max(1, idealAdmitted),
        messageRate: messages / day.boxCount / day.seconds,
    };
}

/** Each box has an equal part of rate and burst. */
export function equalParts(day: QuotaDay): QuotaWay {
    const buckets = Array.from({ length: day.boxCount }, () => ({ tokens: 0, at: 0 }));
    return {
        name: "equal parts",
        admit(box, at) {
            const { burst, rate } = day.quota();
            const bucket = buckets[box];
            const most = Math.max(1, burst / day.boxCount);
            bucket.tokens = Math.min(most, bucket.tokens + rate / day.boxCount * (at - bucket.at) / 1000);
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

/** Each box admits while the sums that it has heard of leave room; each round every box tells its sum to one other, with those it knows. */
export function gossipedSums(day: QuotaDay, second: () => number): QuotaWay {
    const random = createSeededRandom(day.seed + 1);
    const known = Array.from({ length: day.boxCount }, () => new Map<number, number>());
    const levels = Array.from({ length: day.boxCount }, () => ({ level: 0, charged: 0, at: 0 }));
    let messages = 0;
    const sumOf = (box: number) => [...known[box].values()].reduce((sum, value) => sum + value, 0);
    return {
        name: "gossiped sums",
        admit(box, at) {
            const { burst, rate } = day.quota();
            const own = levels[box];
            const sum = sumOf(box);
            own.level = Math.min(burst, own.level + rate * (at - own.at) / 1000) - (sum - own.charged);
            own.charged = sum;
            own.at = at;
            if (own.level < 1) {
                return false;
            }
            known[box].set(box, (known[box].get(box) ?? 0) + 1);
            return true;
        },
        round() {
            for (let box = 0; box < day.boxCount; box++) {
                const other = Math.floor(random() * day.boxCount);
                if (day.isCut?.(box, second()) || day.isCut?.(other, second())) {
                    continue;
                }
                messages += 1;
                for (const [teller, sum] of known[box]) {
                    known[other].set(teller, Math.max(sum, known[other].get(teller) ?? 0));
                }
            }
        },
        messages: () => messages,
    };
}

/** Leases of a box that counts. */
export function leases(day: QuotaDay, second: () => number): QuotaWay {
    const customer = customerId("c");
    const startedAt = milliseconds(second() * 1000);
    const shares = Array.from({ length: day.boxCount }, () => createQuotaShare(customer, startedAt));
    let counter = createQuotaAllocator(startedAt);
    let counterLostAt = day.counterLostAt ?? Infinity;
    const answers: { readonly box: number; readonly lease: QuotaLease; readonly due: number; }[] = [];
    const quota = () => effectiveQuota(day.quota(), { over: 0.1, slack: 20 });
    const deliver = (at: Milliseconds) => {
        while (answers.length > 0 && answers[0].due <= at) {
            const { box, lease } = answers.shift()!;
            shares[box].onLease(lease, at);
        }
    };
    let messages = 0;
    return {
        name: "leases",
        admit(box, at) {
            deliver(at);
            const isAdmitted =
                shares[box].consume({ quota: quota(), boxCount: day.boxCount, startingFor: undefined, at })
                    === undefined;
            if (shares[box].needsLease(at)) {
                report(box, at);
            }
            return isAdmitted;
        },
        round(at) {
            deliver(at);
            if (at / 1000 >= counterLostAt + 3) {
                counterLostAt = Infinity;
                counter = createQuotaAllocator(at);
            }
            shares.forEach((_, box) => report(box, at));
        },
        messages: () => messages,
    };

    function report(box: number, at: Milliseconds): void {
        const due = shares[box].dueReport(at);
        if (due === undefined || day.isCut?.(box, at / 1000) || isCounterAway(at)) {
            return;
        }
        messages += 2;
        const context = { quota: quota(), boxCount: day.boxCount, at };
        answers.push({ box, due: at + answerTime, lease: counter.onReport(boxId(`b-${box}`), due, context) });
    }

    /** Nobody counts for 3 s, until the others know that the box is lost. */
    function isCounterAway(at: Milliseconds): boolean {
        return at / 1000 >= counterLostAt && at / 1000 < counterLostAt + 3;
    }
}

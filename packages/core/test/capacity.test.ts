import { expect } from "chai";
import fc from "fast-check";
import {
    bucketWindow,
    type CapacityObject,
    createBucket,
    createGrantObserver,
    emptyCapacityObject,
    heldAfterRenewal,
    type HeldCapacity,
    heldWhileRenewing,
    milliseconds,
    nothingHeld,
    renewGrant,
} from "../src/index.js";
import { propertyOptions } from "./property-options.js";

const pool = 100;
const duration = milliseconds(1000);

/** What can happen to holders that share one object. Each holder has a clock that runs on while it is paused. */
type LeaseEvent =
    | {
        readonly kind: "renew";
        readonly holder: number;
        readonly wanted: number;
        readonly answer: "done" | "lost" | "lostRequest";
    }
    | { readonly kind: "stale"; readonly holder: number; readonly wanted: number; }
    | { readonly kind: "pass"; readonly time: number; }
    | { readonly kind: "replace"; readonly holder: number; };

const holderCount = 4;
const holderArbitrary = fc.nat(holderCount - 1);
const eventArbitrary: fc.Arbitrary<LeaseEvent> = fc.oneof(
    {
        weight: 6,
        arbitrary: fc.record({
            kind: fc.constant("renew" as const),
            holder: holderArbitrary,
            wanted: fc.nat(150),
            answer: fc.constantFrom("done" as const, "lost" as const, "lostRequest" as const),
        }),
    },
    {
        weight: 2,
        arbitrary: fc.record({
            kind: fc.constant("stale" as const),
            holder: holderArbitrary,
            wanted: fc.nat(150),
        }),
    },
    { weight: 4, arbitrary: fc.record({ kind: fc.constant("pass" as const), time: fc.nat(1600) }) },
    { weight: 1, arbitrary: fc.record({ kind: fc.constant("replace" as const), holder: holderArbitrary }) },
);

/** Plays events on a shared object under conditional update and checks the sum of what all hold. */
function playLeases(events: readonly LeaseEvent[]): void {
    let now = 0;
    let object: CapacityObject = emptyCapacityObject;
    let version = 0;
    let names = 0;
    const fresh = () => ({
        name: `holder-${names++}`,
        held: nothingHeld as HeldCapacity,
        lastSerial: 0,
        observer: createGrantObserver(),
        /** A read taken earlier, as a paused holder has it. */
        read: { object: emptyCapacityObject as CapacityObject, version: -1 },
    });
    const holders = Array.from({ length: holderCount }, fresh);
    const zombies: { held: HeldCapacity; }[] = [];

    for (const event of events) {
        switch (event.kind) {
            case "pass":
                now += event.time;
                break;
            case "replace":
                zombies.push(holders[event.holder]);
                holders[event.holder] = fresh();
                break;
            case "renew":
                holders[event.holder].read = { object, version };
                write(holders[event.holder], event.wanted, event.answer);
                break;
            case "stale":
                write(holders[event.holder], event.wanted, "done");
                holders[event.holder].read = { object, version };
                break;
        }
        const sum = [...holders, ...zombies].reduce((total, { held }) => total + usable(held), 0);
        expect(sum).to.be.at.most(pool + 1e-6);
    }

    function usable(held: HeldCapacity): number {
        return now < held.until ? held.units.north ?? 0 : 0;
    }

    function write(holder: ReturnType<typeof fresh>, wanted: number, answer: "done" | "lost" | "lostRequest"): void {
        const { read, observer } = holder;
        observer.observe(read.object, milliseconds(now));
        const next = renewGrant(
            read.object,
            {
                holder: holder.name,
                lastSerial: holder.lastSerial,
                duration,
                wanted: { north: wanted },
                settingsVersion: 1,
                pools: { north: pool },
            },
            name => observer.isExpired(name, milliseconds(now)),
        );
        const proposed = next.grants[holder.name];
        holder.lastSerial = proposed.serial;
        holder.held = heldWhileRenewing(holder.held, proposed);
        const sentAt = milliseconds(now);
        if (answer === "lostRequest" || read.version !== version) {
            return;
        }
        object = next;
        version++;
        if (answer === "done") {
            holder.held = heldAfterRenewal(proposed, sentAt);
        }
    }
}

describe("capacity leases [P2]", () => {
    describe("under pauses, lost answers, stale reads and replaced holders", () => {
        it("never let all holders together use more than the pool", () => {
            fc.assert(
                fc.property(fc.array(eventArbitrary, { maxLength: 80 }), playLeases),
                { ...propertyOptions, numRuns: propertyOptions.numRuns * 4 },
            );
        });
    });

    describe("of a holder that was taken out and comes back", () => {
        it("bear a serial that no observer has seen stand still", () => {
            const request = { holder: "a", duration, wanted: { north: 1 }, settingsVersion: 1, pools: { north: pool } };
            const first = renewGrant(emptyCapacityObject, { ...request, lastSerial: 0 }, () => false);
            const back = renewGrant(emptyCapacityObject, { ...request, lastSerial: 1 }, () => false);
            expect(back.grants.a.serial).to.be.greaterThan(first.grants.a.serial);
        });
    });

    describe("when wishes exceed the pool", () => {
        it("give each its part within two rounds", () => {
            let object = emptyCapacityObject;
            const renew = (holder: string, wanted: number) => {
                object = renewGrant(
                    object,
                    {
                        holder,
                        lastSerial: 0,
                        duration,
                        wanted: { north: wanted },
                        settingsVersion: 1,
                        pools: { north: pool },
                    },
                    () => false,
                );
            };
            for (let round = 0; round < 2; round++) {
                renew("a", 150);
                renew("b", 50);
            }
            expect(object.grants.a.units.north).to.be.closeTo(75, 1e-6);
            expect(object.grants.b.units.north).to.be.closeTo(25, 1e-6);
        });
    });

    describe("with an older settings version", () => {
        it("keep the newer pool", () => {
            const request = { holder: "a", lastSerial: 0, duration, wanted: { north: 500 } };
            const newer = renewGrant(
                emptyCapacityObject,
                { ...request, settingsVersion: 2, pools: { north: 10 } },
                () => false,
            );
            const older = renewGrant(newer, { ...request, settingsVersion: 1, pools: { north: 400 } }, () => false);
            expect(older.grants.a.units.north).to.equal(10);
            expect(older.settingsVersion).to.equal(2);
        });
    });

    describe("with amounts that are none", () => {
        it("take them for nothing", () => {
            const request = { holder: "a", lastSerial: 0, duration, settingsVersion: 1, pools: { north: pool } };
            const object = renewGrant(emptyCapacityObject, { ...request, wanted: { north: NaN } }, () => false);
            expect(object.grants.a.units.north).to.equal(0);
        });
    });
});

describe("bucket [P2]", () => {
    it("keeps its rate in any window, bursts and changes of the rate included", () => {
        const stepArbitrary = fc.record({ gap: fc.nat(3000), rate: fc.integer({ min: 0, max: 50 }), asks: fc.nat(40) });
        fc.assert(
            fc.property(fc.array(stepArbitrary, { minLength: 1, maxLength: 60 }), steps => {
                const bucket = createBucket(milliseconds(0));
                const taken: number[] = [];
                const rates: { at: number; rate: number; }[] = [];
                let at = 0;
                for (const { gap, rate, asks } of steps) {
                    at += gap;
                    rates.push({ at, rate });
                    for (let ask = 0; ask < asks; ask++) {
                        if (bucket.take(1, rate, milliseconds(at)).ok) {
                            taken.push(at);
                        }
                    }
                }
                for (const end of taken) {
                    const start = end - bucketWindow;
                    const count = taken.filter(time => time > start && time <= end).length;
                    const highest = Math.max(
                        ...rates.filter(({ at: time }) => time > start && time <= end).map(({ rate }) => rate),
                    );
                    expect(count).to.be.at.most(highest * bucketWindow / 1000 + 1e-6);
                }
            }),
            propertyOptions,
        );
    });

    it("starts empty, so that a box that is replaced often gains nothing", () => {
        expect(createBucket(milliseconds(0)).take(1, 100, milliseconds(0)).err).to.equal(true);
    });

    it("says when to come back", () => {
        const bucket = createBucket(milliseconds(0));
        const denied = bucket.take(1, 10, milliseconds(0));
        expect(denied.err && denied.val.retryAfter).to.be.within(90, 130);
    });
});

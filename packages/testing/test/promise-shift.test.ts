import { createSeededRandom } from "@chalkdale/core";
import { expect } from "chai";
import { runLoad } from "../src/session/load.js";
import type { Session, SessionResult } from "../src/session/session.js";
import { withValues } from "../src/session/trees.js";
import { smallRegions, smallSession, smallStreams, smallTree } from "./small-deployment.js";

const capPerMinute = 0.6;
const rate = 40;
const bucket = 5000;
/** Requests by which each box's spread may be off, for the one box that an origin uses and one that replaces it. */
const spreadError = 4;

/** Requests of an origin that the plan placed, refused or not: what capacity refused was not placed. */
function placed(results: readonly SessionResult[], caller: string): SessionResult[] {
    const kinds = new Set<string>(["answered", "running", "serverBrokeOff", "serverUnreachable", "shiftCapReached"]);
    const reached = (result: SessionResult) => result.zone !== "" || result.kind === "shiftCapReached";
    return results.filter(result => result.request.caller === caller && kinds.has(result.kind) && reached(result));
}

/** Checks that no zone's share of an origin rises faster than the cap between any two buckets of time. */
function expectShiftsWithinCap(results: readonly SessionResult[], from: number): void {
    for (const { caller } of smallStreams(rate)) {
        const rows = new Map<number, SessionResult[]>();
        for (const result of placed(results, caller)) {
            const row = Math.floor((result.startedAt - from) / bucket);
            rows.set(row, [...rows.get(row) ?? [], result]);
        }
        const full = [...rows].filter(([, row]) => row.length >= rate * bucket / 1000 / 2).sort(([a], [b]) => a - b);
        for (const zone of smallRegions.map(region => `${region}-a`)) {
            const shares = full.map(([index, row]) => ({
                index,
                share: row.filter(result => result.zone === zone).length / row.length,
                error: spreadError / row.length,
            }));
            for (const [first, earlier] of shares.entries()) {
                for (const later of shares.slice(first + 1)) {
                    const time = (later.index - earlier.index + 1) * bucket;
                    const allowed = capPerMinute * time / 60_000 + earlier.error + later.error;
                    expect(later.share - earlier.share, `${caller} ${zone} at ${later.index}`).to.be.at.most(allowed);
                }
            }
        }
    }
}

describe("promise 1: a shift of traffic never exceeds the cap [P1]", () => {
    async function run(events: (session: Session) => readonly (readonly [number, () => void])[]): Promise<void> {
        const session = smallSession(smallTree({ shiftCap: capPerMinute }, { capacity: 3000 }));
        await session.advance(10_000);
        const from = session.clock.now();
        const due = [...events(session)];
        for (const [length, act] of due) {
            await runLoad(session, smallStreams(rate), length);
            act();
        }
        await runLoad(session, smallStreams(rate), 40_000);
        expectShiftsWithinCap(session.results, from);
        expect(session.results.filter(result => result.kind === "answered").length).to.be.greaterThan(2000);
        await session.end();
    }

    const drain = (session: Session, region: string, value: boolean) => () =>
        session.editSettings(document => withValues(document, `/regions/${region}`, { drain: value }));

    it("when a region is drained and opened again", () =>
        run(session => [[10_000, drain(session, "north", true)], [60_000, drain(session, "north", false)]]));

    it("when a whole region's servers fail at once: what may not move yet is refused as not run", async () => {
        const session = smallSession(smallTree({ shiftCap: capPerMinute }, { capacity: 3000 }));
        await session.advance(10_000);
        const from = session.clock.now();
        await runLoad(session, smallStreams(rate), 10_000);
        session.servers.all().filter(({ member }) => ["search-2", "search-5"].includes(member.id)).forEach(server => {
            server.up = false;
        });
        const after = await runLoad(session, smallStreams(rate), 60_000);
        expectShiftsWithinCap(session.results, from);
        const refused = after.filter(result => result.kind === "shiftCapReached");
        expect(refused.length).to.be.greaterThan(100);
        refused.forEach(result => expect(result.retryAfter).to.be.greaterThan(0));
        await session.end();
    });

    it("when boxes are replaced, alone and all at once, while a shift runs", () =>
        run(session => [
            [5000, drain(session, "north", true)],
            [10_000, () => {
                session.kill("north-1");
                session.startBox("north-1");
            }],
            [10_000, () =>
                smallRegions.forEach(region => {
                    session.kill(`${region}-1`);
                    session.startBox(`${region}-1`);
                })],
        ]));

    it("when a box was paused for a minute", () =>
        run(session => [
            [5000, drain(session, "north", true)],
            [1000, () => {
                session.box("north-1").paused = true;
            }],
            [60_000, () => {
                session.box("north-1").paused = false;
            }],
        ]));

    it("when regions lose each other and the platform is out", () =>
        run(session => [
            [5000, drain(session, "east", true)],
            [5000, () => {
                session.store.faults.outage = true;
                session.network.reaches = (from, to) => from.slice(0, 4) === to.slice(0, 4);
            }],
            [30_000, () => {
                session.store.faults.outage = false;
                session.network.reaches = () => true;
            }],
        ]));

    it("when failures are drawn at random", async () => {
        const random = createSeededRandom(Number(process.env.CHALKDALE_PROPERTY_SEED ?? 3));
        const pick = <Item>(items: readonly Item[]) => items[Math.floor(random() * items.length)];
        const seeds = Number(process.env.CHALKDALE_SESSION_RUNS ?? 2);
        for (let count = 0; count < seeds; count++) {
            await run(session =>
                Array.from({ length: 6 }, () => [2000 + Math.floor(random() * 8) * 1000, () => {
                    const region = pick(smallRegions);
                    pick([
                        drain(session, region, random() < 0.5),
                        () => {
                            session.kill(`${region}-1`);
                            session.startBox(`${region}-1`);
                        },
                        () => {
                            session.store.faults.outage = !session.store.faults.outage;
                        },
                        () => {
                            session.box(`${region}-1`).paused = !session.box(`${region}-1`).paused;
                        },
                    ])();
                }])
            );
        }
    });
});

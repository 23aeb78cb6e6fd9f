import { createSeededRandom, errorAnswers, type RequestError } from "@chalkdale/core";
import { expect } from "chai";
import { runLoad } from "../src/session/load.js";
import type { Session, SessionResult } from "../src/session/session.js";
import { callerIn, smallRegions, smallSession, smallStreams, smallTree } from "./small-deployment.js";

/** How often each operation ran at the backend servers. */
function runsOf(session: Session): Map<string, number> {
    const runs = new Map<string, number>();
    for (const operation of session.servers.all().flatMap(server => server.operations)) {
        runs.set(operation, (runs.get(operation) ?? 0) + 1);
    }
    return runs;
}

/** Sends operations under tickets, and sends every second one again with the same ticket, to the same or another box. */
async function sendOperations(session: Session, duration: number, disturb: (now: number) => void): Promise<void> {
    let number = 0;
    const again: { ticket: string; box: string; operation: string; at: number; }[] = [];
    await session.advance(duration, now => {
        disturb(now);
        if (now % 50 !== 0) {
            return;
        }
        const region = smallRegions[number % 3];
        const box = `${region}-1`;
        const running = session.box(box).router;
        const answer = running === undefined ? undefined : session.lookUp(box, "search", callerIn(region), true);
        const ticket = answer?.ok === true ? answer.val.ticket : undefined;
        const operation = `operation-${number++}`;
        if (ticket !== undefined) {
            session.send({ box, service: "search", caller: callerIn(region), method: "POST", ticket, operation });
            const other = `${smallRegions[number % 3]}-1`;
            again.push({ ticket, box: number % 2 === 0 ? box : other, operation, at: now + 300 });
        }
        while (again.length > 0 && again[0].at <= now) {
            const next = again.shift()!;
            const { ticket: same, operation: name } = next;
            session.send({
                box: next.box,
                service: "search",
                caller: callerIn(region),
                method: "POST",
                ticket: same,
                operation: name,
            });
        }
    });
}

/** Checks both promises on all that was sent. */
function expectSoundOutcomes(session: Session): void {
    const runs = runsOf(session);
    const byOperation = new Map<string, SessionResult[]>();
    for (const result of session.results) {
        const name = result.request.operation ?? "";
        byOperation.set(name, [...byOperation.get(name) ?? [], result]);
    }
    for (const [name, results] of byOperation) {
        expect(runs.get(name) ?? 0, name).to.be.at.most(1);
        const last = results.at(-1)!;
        if (results.every(result => result.ran === "not-run")) {
            expect(runs.get(name) ?? 0, `${name} ${last.kind}`).to.equal(0);
        }
        if (results.some(result => result.kind === "answered")) {
            expect(runs.get(name), name).to.equal(1);
        }
        if (runs.get(name) === 1) {
            const saidNotRun = results.slice(1).filter(result => result.ran === "not-run").map(result => result.kind);
            const truthful: string[] = ["ticketOfOtherBox", "serverUnreachable"];
            expect(saidNotRun.filter(kind => !truthful.includes(kind)), name).to.deep.equal([]);
        }
    }
}

describe("promises 4 and 5: what is refused as not run did not run, and nothing runs twice [P4] [P5]", () => {
    async function run(disturb: (session: Session) => (now: number) => void): Promise<Session> {
        const document = smallTree({ retryRatio: 1, ticketLifetime: 5 });
        const session = smallSession(document, { workTime: 30 });
        await session.advance(9000);
        await sendOperations(session, 30_000, disturb(session));
        await session.advance(1000);
        expectSoundOutcomes(session);
        await session.end();
        return session;
    }

    it("when operations are sent again through the same box and another", async () => {
        const session = await run(() => () => undefined);
        expect(runsOf(session).size).to.be.greaterThan(500);
        const kinds = new Set(session.results.map(result => result.kind));
        expect(kinds.has("ticketSpent")).to.equal(true);
        expect(kinds.has("ticketOfOtherBox")).to.equal(true);
    });

    it("when entry programs crash between any two steps", async () => {
        const session = await run(current => now => {
            if (now % 7000 === 100) {
                current.kill("north-1", "entry");
                current.startEntry("north-1");
            }
        });
        expect(session.results.some(result => result.kind === "ticketOfOtherIncarnation")).to.equal(true);
    });

    it("when backend servers crash and come back", () =>
        run(current => now => {
            current.servers.all().forEach((server, index) => {
                server.up = Math.floor(now / 400 + index) % 3 !== 0;
            });
        }));

    it("when the platform is out and regions lose each other", () =>
        run(current => now => {
            current.store.faults.outage = now % 10_000 > 3000;
            const cut = now % 8000 > 4000;
            current.network.reaches = (from, to) => !cut || from === to;
        }));

    it("when servers shed, and failures are drawn at random", () => {
        const random = createSeededRandom(11);
        return run(current => now => {
            if (now % 500 !== 0) {
                return;
            }
            const server = current.servers.all()[Math.floor(random() * 6)];
            server.up = random() < 0.7;
            server.queueLimit = random() < 0.5 ? -49 : 10;
            if (random() < 0.1) {
                const box = `${smallRegions[Math.floor(random() * 3)]}-1`;
                current.kill(box, "entry");
                current.startEntry(box);
            }
        });
    });

    it("in the closed table: every kind that a box gives before it sends anything says not-run", () => {
        const before: RequestError["kind"][] = [
            "shiftCapReached",
            "capacityReached",
            "linkLimitReached",
            "notReady",
            "boxLeaving",
            "noCapacityRights",
            "tooManyRequests",
            "serversBusy",
            "noServerAvailable",
            "ticketOfOtherBox",
        ];
        before.forEach(kind => expect(errorAnswers[kind].ran, kind).to.equal("not-run"));
    });
});

describe("promise 6: a leaving backend server gets no new work after 3 s [P6]", () => {
    /** The server leaves by one source alone, while the others are silent or late; returns the last start after that. */
    async function lastStartAfterLeaving(leave: (session: Session) => void): Promise<number> {
        const session = smallSession(smallTree({ isolationTime: 60 }, { capacity: 3000 }));
        await session.advance(80_000);
        await runLoad(session, smallStreams(40), 5000);
        const server = session.servers.get("search-2");
        expect(server.startedAt.length).to.be.greaterThan(20);
        const leftAt = session.clock.now();
        leave(session);
        await runLoad(session, smallStreams(40), 10_000);
        await session.end();
        return Math.max(...server.startedAt) - leftAt;
    }

    it("when only the list says so", async () => {
        expect(await lastStartAfterLeaving(session => session.writeMembers("north-a", ["search-2"]))).to.be.below(3000);
    });

    it("when only the server itself says so, and the list never does", async () => {
        const last = await lastStartAfterLeaving(session => {
            session.servers.get("search-2").leaving = true;
        });
        expect(last).to.be.below(3000);
    });

    it("when only its answers say so, since its health is silent and the list late", async () => {
        const last = await lastStartAfterLeaving(session => {
            session.servers.get("search-2").leaving = true;
            session.servers.get("search-2").health = "silent";
        });
        expect(last).to.be.below(3000);
    });

    it("when the platform is out and all agents are dead", async () => {
        const last = await lastStartAfterLeaving(session => {
            session.store.faults.outage = true;
            smallRegions.forEach(region => session.kill(`${region}-1`, "agent"));
            session.servers.get("search-2").leaving = true;
        });
        expect(last).to.be.below(3000);
    });

    it("when the list says so while regions lose each other", async () => {
        const last = await lastStartAfterLeaving(session => {
            session.writeMembers("north-a", ["search-2"]);
            session.network.reaches = (from, to) => to === "platform" || from === to;
        });
        expect(last).to.be.below(3000);
    });
});

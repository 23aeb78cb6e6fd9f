/**
 * Golden sessions over the whole path: agents, routers, platform and backend
 * servers in one process on a manual clock.
 */

import { compareWithGolden } from "../src/golden/golden-file.js";
import { countBy, type LoadStream, runLoad } from "../src/session/load.js";
import { createSession, type Session } from "../src/session/session.js";
import { exampleTree, withValues } from "../src/session/trees.js";

const logged = [
    "plan.changed",
    "settings.inForce",
    "platform.unavailable",
    "platform.back",
    "superseded",
    "lease.settled",
];
const fleets = [{ service: "profil-api", count: 25 }, { service: "tura-depot", count: 12 }];

function pedalaSession(): Session {
    const document = withValues(exampleTree("pedala"), "/", { shiftCap: 1, isolationTime: 4, leaseTime: 6 });
    return createSession({ document, fleets, logged, loggedBox: "pedala-3" });
}

function morningStreams(): LoadStream[] {
    return [
        { service: "profil-api", caller: "10.1.0.1", boxes: ["pedala-1", "pedala-2", "pedala-3"], rate: () => 40 },
        { service: "profil-api", caller: "10.2.0.1", boxes: ["pedala-4", "pedala-5", "pedala-6"], rate: () => 20 },
        { service: "tura-depot", caller: "10.3.0.1", boxes: ["pedala-7", "pedala-8", "pedala-9"], rate: () => 5 },
    ];
}

/** Writes one line a second: where the requests went, and how they ended. */
async function record(session: Session, streams: readonly LoadStream[], duration: number): Promise<void> {
    await runLoad(session, streams, duration, results => {
        const ended = results.filter(result => result.kind === "answered");
        session.note("second", {
            zones: countBy(ended, result => result.zone) || "none",
            ends: countBy(results, result => result.kind) || "none",
        });
    });
}

describe("the whole path", () => {
    describe("a quiet start", () => {
        it("serves each region from its own zones", async () => {
            const session = pedalaSession();
            await session.advance(7000);
            await record(session, morningStreams(), 8000);
            await session.end();
            compareWithGolden("quiet-start", session.lines);
        });
    });

    describe("an availability zone drained by an edit", () => {
        it("moves its traffic under the cap and refuses nothing", async () => {
            const session = pedalaSession();
            await session.advance(7000);
            await record(session, morningStreams(), 6000);
            session.note("edit", { node: "/regions/ro-nord/ro-nord-a", drain: true });
            session.editSettings(document => withValues(document, "/regions/ro-nord/ro-nord-a", { drain: true }));
            await record(session, morningStreams(), 40_000);
            await session.end();
            compareWithGolden("zone-drain", session.lines);
        });
    });

    describe("a platform outage with a box replaced in it", () => {
        it("goes on with what it has, and the fresh box learns it from its peers", async () => {
            const session = pedalaSession();
            await session.advance(7000);
            await record(session, morningStreams(), 3000);
            session.note("outage");
            session.store.faults.outage = true;
            await record(session, morningStreams(), 5000);
            session.note("replace", { box: "pedala-3" });
            session.kill("pedala-3");
            session.startBox("pedala-3");
            await record(session, morningStreams(), 15_000);
            session.note("outage over");
            session.store.faults.outage = false;
            await record(session, morningStreams(), 5000);
            await session.end();
            compareWithGolden("platform-outage", session.lines);
        });
    });
});

import { objectVersion } from "@chalkdale/core";
import { objectKeys } from "@chalkdale/platform";
import { expect } from "chai";
import type { Session } from "../src/session/session.js";
import { withValues } from "../src/session/trees.js";
import { smallRegions, smallSession } from "./small-deployment.js";

/** Watches the versions in force at every step; each must only go up. */
function watchVersions(session: Session) {
    const highest = new Map<unknown, number>();
    return () => {
        for (const { router } of session.boxes) {
            const version = router?.settings()?.version ?? 0;
            expect(version).to.be.at.least(highest.get(router) ?? 0);
            highest.set(router, version);
        }
    };
}

function versions(session: Session): number[] {
    return session.boxes.map(box => box.router?.settings()?.version ?? 0);
}

function edit(session: Session, shiftCap: number): number {
    session.editSettings(document => withValues(document, "/", { shiftCap }));
    return session.store.read(objectKeys.settings)!.version;
}

describe("promise 8: a configuration is in force everywhere within seconds and never reverts [P8]", () => {
    it("within 3 s of each of many edits", async () => {
        const session = smallSession();
        await session.advance(5000);
        const check = watchVersions(session);
        for (let count = 1; count <= 10; count++) {
            const version = edit(session, count / 100);
            await session.advance(3000, check);
            expect(versions(session)).to.deep.equal(session.boxes.map(() => version));
        }
        await session.end();
    });

    it("within 3 s when the platform takes a second for each call", async () => {
        const session = smallSession();
        await session.advance(5000);
        session.platformDelay.milliseconds = 1000;
        await session.advance(5000);
        const version = edit(session, 0.02);
        await session.advance(3000, watchVersions(session));
        expect(versions(session)).to.deep.equal(session.boxes.map(() => version));
        await session.end();
    });

    it("when a box is cut off from the platform and hears of it by its peers", async () => {
        const session = smallSession();
        await session.advance(5000);
        session.network.reaches = (from, to) => !(from === "north-1" && to === "platform");
        const version = edit(session, 0.02);
        await session.advance(3000, watchVersions(session));
        expect(versions(session)).to.deep.equal(session.boxes.map(() => version));
        await session.end();
    });

    it("for a fresh box in an outage, which takes the highest version that any peer knows", async () => {
        const session = smallSession();
        await session.advance(5000);
        const version = edit(session, 0.02);
        await session.advance(3000);
        session.store.faults.outage = true;
        session.kill("west-1");
        session.startBox("west-1");
        expect(session.box("west-1").router!.isReady()).to.equal(false);
        await session.advance(6000, watchVersions(session));
        expect(versions(session)).to.deep.equal(session.boxes.map(() => version));
        expect(session.box("west-1").router!.isReady()).to.equal(true);
        await session.end();
    });

    it("for a fresh box that reaches nobody: it serves nothing", async () => {
        const session = smallSession();
        await session.advance(5000);
        session.network.reaches = (from, to) => from === to || (from !== "west-1" && to !== "west-1");
        session.kill("west-1");
        session.startBox("west-1");
        await session.advance(20_000);
        const result = session.send({ box: "west-1", service: "search", caller: "10.3.0.1" });
        expect(result.kind).to.equal("notReady");
        await session.end();
    });

    it("when the platform comes back with an older state than the boxes have", async () => {
        const session = smallSession();
        await session.advance(5000);
        const version = edit(session, 0.02);
        await session.advance(3000);
        const check = watchVersions(session);
        const { get, list, watch } = session.store.platform;
        const older = session.store.read(objectKeys.settings)!;
        const stale = { ...older, version: objectVersion(1), value: { document: smallSession().lines, edits: [] } };
        Object.assign(session.store.platform, {
            get,
            watch,
            list: async (...args: Parameters<typeof list>) => {
                const outcome = await list(...args);
                return outcome.kind === "done"
                    ? { kind: "done", value: { ...outcome.value, objects: [stale] } }
                    : outcome;
            },
        });
        smallRegions.forEach(region => session.kill(`${region}-1`, "agent"));
        smallRegions.forEach(region => session.startAgent(`${region}-1`));
        await session.advance(10_000, check);
        expect(versions(session)).to.deep.equal(session.boxes.map(() => version));
        await session.end();
    });

    it("when the settings at the platform are junk: the last sound ones stay in force", async () => {
        const session = smallSession();
        await session.advance(5000);
        const before = versions(session);
        session.store.put(objectKeys.settings, {
            document: { deployment: "small", nodes: { "/": { shiftCap: "fast" } } },
        });
        await session.advance(3000, watchVersions(session));
        expect(versions(session)).to.deep.equal(before);
        session.store.put(objectKeys.settings, { nothing: true });
        await session.advance(3000, watchVersions(session));
        expect(versions(session)).to.deep.equal(before);
        await session.end();
    });
});

import { expect } from "chai";
import { callerIn, smallRegions, smallSession } from "./small-deployment.js";

describe("membership of entry boxes", () => {
    async function named(disturb: (session: ReturnType<typeof smallSession>) => void): Promise<string[]> {
        const session = smallSession();
        await session.advance(10_000);
        disturb(session);
        await session.advance(12_000);
        const answer = session.lookUp("east-1", "search", callerIn("north"));
        await session.end();
        return answer.ok ? answer.val.boxes.map(({ box }) => box) : [];
    }

    it("names all boxes, the caller's region first", async () => {
        expect((await named(() => undefined))[0]).to.equal("north-1");
        expect(await named(() => undefined)).to.have.members(smallRegions.map(region => `${region}-1`));
    });

    it("does not name a box whose entry program is dead, though the list says it lives", async () => {
        expect(await named(session => session.kill("north-1", "entry"))).to.not.include("north-1");
    });

    it("does not name a box that the list says is leaving, though it says nothing itself", async () => {
        expect(await named(session => session.writeMembers("north-a", ["north-1"]))).to.not.include("north-1");
    });

    it("goes by the list for a zone whose agents are all silent", async () => {
        expect(await named(session => session.kill("north-1", "agent"))).to.include("north-1");
    });
});

describe("two processes of one box", () => {
    it("the older one stops when it hears of the newer", async () => {
        const session = smallSession();
        await session.advance(8000);
        session.replaceCutOff("north-1");
        await session.advance(8000);
        expect(session.box("north-1~old").router!.describe().leaving).to.equal(true);
        expect(session.box("north-1").router!.describe().leaving).to.equal(false);
        await session.end();
    });

    it("an entry program that asks another box's agent is not taken for one of its older processes", async () => {
        for (const region of smallRegions) {
            const session = smallSession();
            await session.advance(8000);
            session.kill(`${region}-1`, "agent");
            await session.advance(12_000);
            expect(session.box(`${region}-1`).router!.describe().leaving, region).to.equal(false);
            await session.end();
        }
    });
});

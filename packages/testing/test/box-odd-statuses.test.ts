/**
 * Servers whose answers have a status that is none. Guards against boxes that pass such a status on, or take the answer
 * for an internal fault of their own.
 */

import { expect } from "chai";
import { type OneBox, startOneBox } from "./one-box.js";

describe("a server whose answers have a status that ends no request [P3]", () => {
    let fixture: OneBox;

    before(async () => {
        fixture = await startOneBox();
    });

    after(() => fixture.deployment.close());

    for (const status of ["000", "099", "101", "150", "600", "999"]) {
        it(`has not answered an unsafe request, which is not sent again (${status})`, async () => {
            const { ask, misbehave, runs } = fixture;
            misbehave({ kind: "oddStatus", status }, 1);
            const before = runs().length;
            expect((await ask("/save/", { method: "POST", body: "b" })).status).to.equal(502);
            expect(runs()).to.have.length(before + 1);
        });

        it(`has not answered a read, which another server does (${status})`, async () => {
            const { ask, misbehave } = fixture;
            misbehave({ kind: "oddStatus", status }, 1);
            const answer = await ask("/lookup/");
            expect(answer.status).to.equal(200);
        });
    }

    it("leaves the box without a fault of its own", () => {
        expect(fixture.box.logLines.filter(line => line.includes("event=request.fault"))).to.deep.equal([]);
    });
});

/**
 * Guards against two failures that made `npm run demo` fail in six of eight runs: a customer within its quota was
 * refused in the first seconds after its boxes started (see `quota-starts.test.ts` of the box), and an availability
 * zone got no requests after it was reopened (see `key-rebalancing.test.ts` of the decisions). Steps, checks and bounds
 * are those of the command.
 */

import { expect } from "chai";
import { type DemoCheck, runDemo } from "../src/demo/demo.js";

describe("the demo", () => {
    it("passes all of its checks", async () => {
        const checks: DemoCheck[] = [];
        await runDemo(check => checks.push(check));
        const failed = checks.filter(({ passed }) => !passed);
        expect(failed, JSON.stringify(failed, undefined, 2)).to.deep.equal([]);
        expect(checks).to.have.length(7);
    }).timeout(120_000);
});

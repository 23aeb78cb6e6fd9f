import { type BackendServer, createServerState } from "@chalkdale/decisions";
import { backendServerId, milliseconds } from "@chalkdale/kernel";
import { createLog } from "@chalkdale/runtime";
import { expect } from "chai";
import { createColdServerReport } from "../src/servers/cold-server-report.js";
import { createSampleRecord } from "./sample-server.js";

describe("report of cold servers", () => {
    const share = { allows: () => true, onSent: () => undefined, onNotSent: () => undefined, ownRate: () => 3.15 };
    let now: number;
    let lines: string[];
    let server: BackendServer;

    function createReport() {
        const report = createColdServerReport({
            clock: () => milliseconds(now),
            log: createLog({ write: line => lines.push(line.slice(line.indexOf("event=")).trim()) }),
            catalog: { all: () => [server] },
            serversAge: () => 40,
        });
        return report;
    }

    beforeEach(() => {
        now = 1000;
        lines = [];
        const state = createServerState(createSampleRecord("s-1"), milliseconds(0), {
            recordPropagationDelay: milliseconds(0),
            slowStart: share,
            createLimitShare: () => share,
        });
        server = { id: backendServerId("s-1"), idHash: 1, state, addedAt: undefined };
    });

    it("says by what a server was taken for cold, this box's share, and what was sent until it was warm", () => {
        const { coldCount, report, requestsToCold } = createReport();
        report();
        server.state.onCold(milliseconds(900), milliseconds(3000));
        server.state.onChosen(milliseconds(950));
        server.state.onChosen(milliseconds(960))();
        report();
        expect(coldCount()).to.equal(1);
        now = 4000;
        report();
        expect(lines).to.deep.equal([
            "event=server.cold server=s-1 source=healthCheck since=100 for=2900 revision=1 serversAge=40 share=3.15",
            "event=server.warm server=s-1 source=healthCheck after=3100 sent=1",
        ]);
        expect([coldCount(), requestsToCold()]).to.deep.equal([0, 1]);
    });
});

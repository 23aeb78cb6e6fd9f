import { type BackendServer, createServerState } from "@chalkdale/decisions";
import { backendServerId, milliseconds, regionId, unixMilliseconds } from "@chalkdale/kernel";
import { expect } from "chai";
import { areColdReports, type ColdReport } from "../src/servers/cold-messages.js";
import { createColdServerSharing } from "../src/servers/cold-server-sharing.js";
import { sampleMember } from "./sample-member.js";
import { createSampleRecord } from "./sample-server.js";

describe("sharing of cold servers that health checks find [P14]", () => {
    const share = { allows: () => true, onSent: () => undefined, onNotSent: () => undefined, ownRate: () => 1 };
    const born = unixMilliseconds(1_700_000_000_000);
    let sent: { readonly box: string; readonly reports: readonly ColdReport[]; }[];

    function createSharing() {
        const record = { ...createSampleRecord("s-1"), bornAt: born };
        const state = createServerState(record, milliseconds(0), {
            recordPropagationDelay: milliseconds(0),
            slowStart: share,
            createLimitShare: () => share,
        });
        const server: BackendServer = { id: backendServerId("s-1"), idHash: 1, state, addedAt: undefined };
        const others = [{ ...sampleMember("far"), region: regionId("south") }, sampleMember("near")];
        const sharing = createColdServerSharing({
            clock: () => milliseconds(1000),
            catalog: { get: id => id === server.id ? server : undefined },
            recentMembers: () => others,
            send: ({ box }, reports) => sent.push({ box, reports }),
        });
        return { server, sharing };
    }

    beforeEach(() => {
        sent = [];
    });

    it("tells others once, those of the server's region first", () => {
        const { server, sharing } = createSharing();
        sharing.onChecked(server, milliseconds(3000));
        sharing.onChecked(server, milliseconds(2500));
        const reports = [["s-1", born, 3000]];
        expect(sent).to.deep.equal([{ box: "near", reports }, { box: "far", reports }]);
    });

    it("takes reports of the listed incarnation only, and passes none on", () => {
        const { server, sharing } = createSharing();
        sharing.onReports([["s-1", born - 1, 3000], ["s-9", 0, 3000]]);
        expect(server.state.isCold(milliseconds(1000))).to.equal(false);
        sharing.onReports([["s-1", born, 3000]]);
        expect(server.state.coldPeriod()).to.include({ source: "peer", until: 4000 });
        expect(sent).to.deep.equal([]);
    });

    it("rejects reports that are not in the form of a message", () => {
        expect(areColdReports([["s-1", 0, 3000]])).to.equal(true);
        for (const invalid of [undefined, {}, [["s-1", 0]], [["s-1", 0, -1]], [[1, 0, 3]], [["s-1", 0, Infinity]]]) {
            expect(areColdReports(invalid)).to.equal(false);
        }
    });
});

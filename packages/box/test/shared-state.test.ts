import { createServerCatalog, createServerState } from "@chalkdale/decisions";
import { availabilityZoneId, milliseconds } from "@chalkdale/kernel";
import { createLog } from "@chalkdale/runtime";
import { expect } from "chai";
import { createSharedState } from "../src/state/shared-state.js";
import { createSampleRecord } from "./sample-server.js";

describe("the shared state of a box", () => {
    const noRequests = { allows: () => false, onSent: () => undefined, onNotSent: () => undefined, ownRate: () => 0 };
    let now: number;

    function createState() {
        const catalog = createServerCatalog((record, at) =>
            createServerState(record, at, {
                recordPropagationDelay: milliseconds(0),
                slowStart: noRequests,
                createLimitShare: () => noRequests,
            })
        );
        const state = createSharedState({
            clock: () => milliseconds(now),
            log: createLog({ write: () => undefined }),
            catalog,
            regionOfZone: new Map(),
            confirmedAge: () => milliseconds(0),
            describeRecentSends: () => undefined,
            onServerRestarted: () => undefined,
            onRollouts: () => undefined,
            onConfiguration: () => undefined,
        });
        const coldServers = () =>
            [...catalog.all()].filter(server => server.state.isCold(milliseconds(now))).map(server => server.id);
        return { state, coldServers };
    }

    beforeEach(() => {
        now = 1000;
    });

    describe("after a zone was taken back", () => {
        it("takes its servers for cold until their records can have arrived [P14]", () => {
            const { coldServers, state } = createState();
            const other = { ...createSampleRecord("s-2"), zone: availabilityZoneId("north-b") };
            state.replica("servers").applySnapshot({ revision: 1, items: [createSampleRecord("s-1"), other] });
            state.replica("closedZones").applySnapshot({ revision: 2, items: [availabilityZoneId("north-a")] });
            expect(coldServers()).to.deep.equal([]);
            now = 5000;
            state.replica("closedZones").applySnapshot({ revision: 3, items: [] });
            expect(coldServers()).to.deep.equal(["s-1"]);
            now = 6000;
            expect(coldServers()).to.deep.equal([]);
        });
    });
});

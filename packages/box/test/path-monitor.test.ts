/**
 * Guards against a box that goes on refusing its callers although another box that reaches the servers has come into
 * service.
 */

import {
    type BackendServer,
    createForwardingBoxes,
    createServerCatalog,
    type MemberRecord,
    type ServerCatalog,
} from "@chalkdale/decisions";
import { incarnationId, type Milliseconds, milliseconds } from "@chalkdale/kernel";
import { createLog } from "@chalkdale/runtime";
import { expect } from "chai";
import { createPathMonitor, type PathMonitor } from "../src/paths/path-monitor.js";
import { sampleMember } from "./sample-member.js";
import { createSampleRecord, createSampleState } from "./sample-server.js";

describe("a box without links to servers [P29]", () => {
    let now: Milliseconds;
    let inService: readonly MemberRecord[];
    let asked: string[];
    let reply: "reached" | "unreached";
    let catalog: ServerCatalog;
    let paths: PathMonitor;
    let servers: readonly BackendServer[];

    beforeEach(() => {
        now = milliseconds(0);
        inService = [];
        asked = [];
        reply = "reached";
        catalog = createServerCatalog((record, at) => createSampleState(record, at));
        catalog.applyList(
            ["i-0", "i-1", "i-2", "i-3"].map(name => ({ ...createSampleRecord(name), address: refusingAddress })),
            now,
        );
        servers = [...catalog.all()];
        paths = createPathMonitor({
            clock: () => now,
            log: createLog({ write: () => undefined }),
            localAddress: "127.0.0.1",
            catalog,
            attempts: { sentBefore: () => [], abort: () => undefined },
            closeIdle: () => undefined,
            connectTimeout: () => milliseconds(50),
            client: {
                askReach(box) {
                    asked.push(box.box);
                    return Promise.resolve(reply);
                },
            },
            forwardingBoxes: createForwardingBoxes({
                self: sampleMember("box-0"),
                inService: () => inService,
                random: () => 0,
            }),
        });
    });

    /** Lets tests of connections and questions to other boxes end. */
    const settle = () => new Promise(resolve => setTimeout(resolve, 30));

    async function becomeIsolated(): Promise<void> {
        await Promise.all(servers.slice(0, 3).map(server => paths.onConnectFailed(server)));
        await settle();
        now = milliseconds(1000);
        paths.tick();
        await settle();
        expect(paths.isIsolated()).to.equal(true);
    }

    it("asks a box that comes into service at once", async () => {
        await becomeIsolated();
        now = milliseconds(1050);
        inService = [sampleMember("box-1")];
        paths.tick();
        await settle();
        expect(asked).to.deep.equal(["box-1"]);
        expect(paths.pathTo(servers[0])).to.equal("viaPeer");
    });

    it("does not ask the same boxes again at once", async () => {
        reply = "unreached";
        inService = Array.from({ length: 40 }, (_, index) => ({
            ...sampleMember(`box-${index + 1}`),
            incarnation: incarnationId(`${index}`),
        }));
        await becomeIsolated();
        const askedBefore = asked.length;
        now = milliseconds(1050);
        paths.tick();
        await settle();
        expect(asked.length).to.equal(askedBefore);
    });
});

/** Nothing listens on the first port. */
const refusingAddress = "127.0.0.1:1";

/**
 * What all boxes know of a limit that a server names, with messages that take
 * their time and may be lost.
 */

import { type BackendServer, createLimitShare, createServerState, createSlowStart } from "@chalkdale/decisions";
import { milliseconds, unixMilliseconds } from "@chalkdale/kernel";
import { createLog } from "@chalkdale/runtime";
import { expect } from "chai";
import { areLimitReports, type LimitReport } from "../src/servers/limit-messages.js";
import { createLimitedServers, type LimitedServers } from "../src/servers/limited-servers.js";
import { createEmulatedGossip, type EmulatedGossip, type GossipingBox } from "./emulated-gossip.js";
import { sampleMember } from "./sample-member.js";
import { createSampleRecord } from "./sample-server.js";

/** Milliseconds within which all boxes must know of a limit: the shortest that users set. */
const contact = 2500;
/** Part of the messages that are lost. */
const loss = 0.2;
const firstBirth = 1_700_000_000_000;

interface EmulatedBox extends GossipingBox {
    readonly limits: LimitedServers;
    readonly lines: string[];
    server: BackendServer;
}

describe("the limits of servers as all boxes know them [P27]", () => {
    let gossip: EmulatedGossip<EmulatedBox, LimitReport>;
    let boxes: EmulatedBox[];

    function start(count: number): void {
        gossip = createEmulatedGossip({
            seed: count,
            startsAt: 1000,
            loss: () => loss,
            onRound: ({ limits }) => limits.onGossipRound(),
            gossipPart: ({ limits }) => limits.gossipPayload(),
            onReports({ limits }, reports) {
                expect(areLimitReports(reports)).to.equal(true);
                limits.onReports(reports);
            },
        });
        ({ boxes } = gossip);
        for (let index = 0; index < count; index++) {
            addBox(`b-${index}`);
        }
    }

    function createServer(born: number): BackendServer {
        const record = { ...createSampleRecord("s-1"), bornAt: unixMilliseconds(born) };
        const sharing = {
            self: sampleMember("b-0").box,
            server: record.id,
            boxes: () => [],
            advertisedBoxIds: () => [],
        };
        const state = createServerState(record, gossip.now(), {
            recordPropagationDelay: milliseconds(0),
            slowStart: createSlowStart({ ...sharing, rate: () => 1 }),
            createLimitShare: known => createLimitShare(sharing, known),
        });
        return { id: record.id, idHash: 1, addedAt: undefined, state };
    }

    function addBox(name: string): void {
        const record = sampleMember(name);
        const lines: string[] = [];
        const limits = createLimitedServers({
            clock: gossip.now,
            random: gossip.random,
            log: createLog({ write: line => lines.push(line) }),
            protocol: {
                headers: { notRun: "not-run" } as never,
                readRateLimit({ limit }) {
                    return limit === undefined
                        ? { kind: "none" }
                        : limit === "many"
                        ? { kind: "unreadable", text: limit }
                        : { kind: "named", rate: Number(limit) };
                },
            },
            catalog: { get: () => added.server },
            otherAdvertisedBoxes: () => boxes.map(box => box.record).filter(other => other !== record),
            sharesLimit: ({ box }) => box.endsWith("0"),
            send: (to, reports) => gossip.send(added, to, reports),
        });
        const added: EmulatedBox = { record, limits, lines, server: createServer(firstBirth), isCutOff: false };
        boxes.push(added);
    }

    function answer(box: EmulatedBox, limit: string | undefined, sentAt: number = gossip.now(), status = 200): void {
        box.limits.onAnswer(box.server, { status, headers: { limit } }, milliseconds(sentAt));
    }

    const knownRates = () =>
        new Set(boxes.map(({ server }) => {
            const word = server.state.limit();
            return word?.kind === "named" ? word.rate : "none";
        }));

    for (const count of [9, 67, 195, 740]) {
        it(`spread to all in time, as it begins, changes and ends: ${count} boxes, a fifth of the messages lost`, async () => {
            start(count);
            for (const limit of ["1.7", "0.4", "0", undefined]) {
                answer(boxes[Math.floor(gossip.random() * count)], limit);
                await gossip.play(contact);
                expect([...knownRates()]).to.deep.equal([limit === undefined ? "none" : Number(limit)]);
            }
        });
    }

    it("are told to a box that starts, and the end to one that was cut off", async () => {
        start(9);
        answer(boxes[0], "1.7");
        await gossip.play(30_000);
        addBox("late");
        await gossip.play(contact);
        expect([...knownRates()]).to.deep.equal([1.7]);
        boxes[3].isCutOff = true;
        answer(boxes[0], undefined);
        await gossip.play(40_000);
        expect([...knownRates()]).to.have.members([1.7, "none"]);
        boxes[3].isCutOff = false;
        await gossip.play(contact);
        expect([...knownRates()]).to.deep.equal(["none"]);
    });

    it("are of one life of a server", async () => {
        start(9);
        answer(boxes[0], "1.7");
        boxes.slice(1, 5).forEach(box => {
            box.server = createServer(firstBirth + 5000);
        });
        await gossip.play(contact);
        expect(boxes.slice(1, 5).map(({ server }) => server.state.limit())).to.deep.equal(Array(4).fill(undefined));
        expect(boxes[6].server.state.limit()?.kind).to.equal("named");
    });

    it("hold on through what is no word of the server's", async () => {
        start(1);
        const [box] = boxes;
        answer(box, "1.7");
        await gossip.play(500);
        answer(box, "many");
        answer(box, undefined, gossip.now(), 500);
        answer(box, undefined, gossip.now() - 600);
        box.limits.onAnswer(box.server, { status: 429, headers: { "not-run": "1" } }, gossip.now());
        box.limits.onHealthCheckAnswer(box.server, {});
        expect([...knownRates()]).to.deep.equal([1.7]);
        answer(box, "many");
        expect(box.lines.filter(line => line.includes("limitUnreadable"))).to.have.length(1);
        answer(box, undefined);
        expect([...knownRates()]).to.deep.equal(["none"]);
    });

    it("cost few messages while a server names another rate with each answer", async () => {
        start(9);
        for (let index = 0; index < 100; index++) {
            answer(boxes[index % 9], String(1.5 + index % 7));
            await gossip.play(100);
        }
        // Ten seconds: 34 rounds of two messages each at most, and eight more beside each of them.
        expect(gossip.messages()).to.be.at.most(9 * 34 * (2 + 8));
    });

    it("take nothing from what is no report", async () => {
        expect(areLimitReports([["s-1", 0, 1.5, 10], ["s-1", 5, "none", 0]])).to.equal(true);
        const faulty: readonly unknown[] = [
            {},
            [["s-1"]],
            [[1, 0, 1, 1]],
            [["s-1", 0, -1, 1]],
            [["s-1", 0, "1", 1]],
            [["s-1", 0, 1, undefined]],
            [["s-1", 0, Infinity, 1]],
            [["s-1", "0", 1, 1]],
            [undefined],
        ];
        faulty.forEach(value => expect(areLimitReports(value), JSON.stringify(value)).to.equal(false));
    });
});

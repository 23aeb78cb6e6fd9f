/**
 * What all boxes know of a limit that a server names, with messages that take
 * their time and may be lost.
 */

import {
    type BackendServer,
    createLimitShare,
    createServerState,
    createSlowStart,
    type MemberRecord,
} from "@chalkdale/decisions";
import { createSeededRandom, milliseconds, unixMilliseconds } from "@chalkdale/kernel";
import { createLog } from "@chalkdale/runtime";
import { expect } from "chai";
import { areLimitReports, type LimitReport } from "../src/servers/limit-messages.js";
import { createLimitedServers, type LimitedServers } from "../src/servers/limited-servers.js";
import { sampleMember } from "./sample-member.js";
import { createSampleRecord } from "./sample-server.js";

/** Milliseconds between two rounds of gossip. */
const round = 300;
/** Milliseconds of one step. */
const step = 10;
/** Milliseconds that a message takes at most. */
const longestWay = 40;
/** Milliseconds within which all boxes must know of a limit: the shortest that users set. */
const contact = 2500;
/** Part of the messages that are lost. */
const loss = 0.2;
const firstBirth = 1_700_000_000_000;

interface EmulatedBox {
    readonly record: MemberRecord;
    readonly limits: LimitedServers;
    readonly lines: string[];
    server: BackendServer;
    isCutOff: boolean;
}

describe("the limits of servers as all boxes know them [P27]", () => {
    let now: number;
    let random: () => number;
    let boxes: EmulatedBox[];
    let onTheWay: { readonly due: number; readonly deliver: () => void; }[];
    let messages: number;

    function start(count: number): void {
        now = 1000;
        random = createSeededRandom(count);
        boxes = [];
        onTheWay = [];
        messages = 0;
        for (let index = 0; index < count; index++) {
            addBox(`b-${index}`);
        }
    }

    function createServer(born: number): BackendServer {
        const record = { ...createSampleRecord("s-1"), bornAt: unixMilliseconds(born) };
        const sharing = { self: sampleMember("b-0").box, server: record.id, boxes: () => [], allBoxes: () => [] };
        const state = createServerState(record, milliseconds(now), {
            recordDelay: milliseconds(0),
            slowStart: createSlowStart({ ...sharing, rate: () => 1 }),
            shareLimit: known => createLimitShare(sharing, known),
        });
        return { id: record.id, idHash: 1, addedAt: undefined, state };
    }

    function addBox(name: string): EmulatedBox {
        const record = sampleMember(name);
        const lines: string[] = [];
        const limits = createLimitedServers({
            clock: () => milliseconds(now),
            random,
            log: createLog({ write: line => lines.push(line) }),
            protocol: {
                headers: { notRun: "not-run" } as never,
                readLimit({ limit }) {
                    return limit === undefined
                        ? { kind: "none" }
                        : limit === "many"
                        ? { kind: "unreadable", text: limit }
                        : { kind: "named", rate: Number(limit) };
                },
            },
            catalog: { get: () => added.server },
            others: () => boxes.map(box => box.record).filter(other => other !== record),
            sharesLimit: ({ box }) => box.endsWith("0"),
            send: (to, reports) => send(added, boxes.find(box => box.record === to)!, reports),
        });
        const added: EmulatedBox = { record, limits, lines, server: createServer(firstBirth), isCutOff: false };
        boxes.push(added);
        return added;
    }

    function send(from: EmulatedBox, to: EmulatedBox, reports: readonly LimitReport[]): void {
        messages += 1;
        if (from.isCutOff || to.isCutOff || random() < loss) {
            return;
        }
        const copy = JSON.parse(JSON.stringify(reports)) as readonly LimitReport[];
        expect(areLimitReports(copy)).to.equal(true);
        onTheWay.push({ due: now + random() * longestWay, deliver: () => to.limits.onReports(copy) });
    }

    /** Each box asks another one in each round, and both tell what they know. */
    function gossip(): void {
        for (const box of boxes) {
            box.limits.round();
            const peer = boxes[Math.floor(random() * boxes.length)];
            for (const [from, to] of [[box, peer], [peer, box]] as const) {
                const reports = from === to ? undefined : from.limits.gossipPart();
                if (reports !== undefined) {
                    send(from, to, reports);
                }
            }
        }
    }

    function play(duration: number): void {
        for (const end = now + duration; now < end; now += step) {
            if (now % round === 0) {
                gossip();
            }
            const arrived = onTheWay.filter(({ due }) => due <= now);
            onTheWay = onTheWay.filter(({ due }) => due > now);
            arrived.forEach(({ deliver }) => deliver());
        }
    }

    function answer(box: EmulatedBox, limit: string | undefined, sentAt = now, status = 200): void {
        box.limits.onAnswer(box.server, { status, headers: { limit } }, milliseconds(sentAt));
    }

    const knownRates = () =>
        new Set(boxes.map(({ server }) => {
            const word = server.state.limit();
            return word?.kind === "named" ? word.rate : "none";
        }));

    for (const count of [9, 67, 195, 740]) {
        it(`spread to all in time, as it begins, changes and ends: ${count} boxes, a fifth of the messages lost`, () => {
            start(count);
            for (const limit of ["1.7", "0.4", "0", undefined]) {
                answer(boxes[Math.floor(random() * count)], limit);
                play(contact);
                expect([...knownRates()]).to.deep.equal([limit === undefined ? "none" : Number(limit)]);
            }
        });
    }

    it("are told to a box that starts, and the end to one that was cut off", () => {
        start(9);
        answer(boxes[0], "1.7");
        play(30_000);
        addBox("late");
        play(contact);
        expect([...knownRates()]).to.deep.equal([1.7]);
        boxes[3].isCutOff = true;
        answer(boxes[0], undefined);
        play(40_000);
        expect([...knownRates()]).to.have.members([1.7, "none"]);
        boxes[3].isCutOff = false;
        play(contact);
        expect([...knownRates()]).to.deep.equal(["none"]);
    });

    it("are of one life of a server", () => {
        start(9);
        answer(boxes[0], "1.7");
        boxes.slice(1, 5).forEach(box => {
            box.server = createServer(firstBirth + 5000);
        });
        play(contact);
        expect(boxes.slice(1, 5).map(({ server }) => server.state.limit())).to.deep.equal(Array(4).fill(undefined));
        expect(boxes[6].server.state.limit()?.kind).to.equal("named");
    });

    it("hold on through what is no word of the server's", () => {
        start(1);
        const [box] = boxes;
        answer(box, "1.7");
        now += 500;
        answer(box, "many");
        answer(box, undefined, now, 500);
        answer(box, undefined, now - 600);
        box.limits.onAnswer(box.server, { status: 429, headers: { "not-run": "1" } }, milliseconds(now));
        box.limits.onHealthAnswer(box.server, {});
        expect([...knownRates()]).to.deep.equal([1.7]);
        answer(box, "many");
        expect(box.lines.filter(line => line.includes("limitUnreadable"))).to.have.length(1);
        answer(box, undefined);
        expect([...knownRates()]).to.deep.equal(["none"]);
    });

    it("cost few messages while a server names another rate with each answer", () => {
        start(9);
        for (let index = 0; index < 100; index++) {
            answer(boxes[index % 9], String(1.5 + index % 7));
            play(100);
        }
        // Ten seconds: 34 rounds of two messages each at most, and eight more beside each of them.
        expect(messages).to.be.at.most(9 * 34 * (2 + 8));
    });

    it("take nothing from what is no report", () => {
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

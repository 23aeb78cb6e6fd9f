/**
 * The guards of many boxes against a request that ends servers, with messages that
 * take their time and may be lost.
 */

import { type BackendServer, collectorsOf } from "@chalkdale/decisions";
import { backendServerId } from "@chalkdale/kernel";
import { createLog } from "@chalkdale/runtime";
import { expect } from "chai";
import {
    createPoisonRequestGuard,
    type PoisonRequestGuard,
    type TrackedRequest,
} from "../src/poison-requests/poison-request-guard.js";
import type { PoisonRequestReport } from "../src/poison-requests/poison-request-messages.js";
import type { ActiveRequest } from "../src/requests/active-request.js";
import type { AttemptOutcome } from "../src/requests/attempt-request.js";
import { fingerprintOf } from "../src/requests/request-fingerprint.js";
import { createEmulatedGossip, type EmulatedGossip, type GossipingBox } from "./emulated-gossip.js";
import { sampleMember } from "./sample-member.js";

/** Milliseconds within which all boxes must keep a request from servers, from the third end on: the shortest that users set. */
const contact = 2500;

interface GuardedBox extends GossipingBox {
    readonly guard: PoisonRequestGuard;
}

describe("the guards of all boxes against a request that ends servers [P26]", () => {
    const body = Buffer.from("a climb");
    const path = "/save/deadly";
    let loss: number;
    let gossip: EmulatedGossip<GuardedBox, PoisonRequestReport>;
    let boxes: GuardedBox[];

    function start(count: number): void {
        loss = 0;
        gossip = createEmulatedGossip({
            seed: count,
            startsAt: 0,
            loss: () => loss,
            onRound: ({ guard }) => guard.onGossipRound(),
            gossipPart: ({ guard }) => guard.gossipPayload(),
            onReports: ({ guard }, reports) => guard.onReports(reports),
        });
        ({ boxes } = gossip);
        for (let index = 0; index < count; index++) {
            addBox(`b-${index}`);
        }
    }

    function addBox(name: string): void {
        const record = sampleMember(name);
        const guard = createPoisonRequestGuard({
            clock: gossip.now,
            log: createLog({ write: () => undefined }),
            self: record.box,
            advertised: () => boxes.map(box => box.record).slice(0, 64),
            recentMembers: () => boxes.map(box => box.record).filter(other => other !== record),
            send: (to, reports) => gossip.send(added, to, reports),
        });
        const added: GuardedBox = { record, guard, isCutOff: false };
        boxes.push(added);
    }

    function follow({ guard }: GuardedBox, path = "/save/deadly", controller = new AbortController()): TrackedRequest {
        const head = {
            host: "app.example",
            method: "POST",
            path,
            customer: undefined,
            requestId: "r",
            route: { name: "save" },
        };
        return guard.track(head as unknown as ActiveRequest, body, controller);
    }

    async function endUnder(box: GuardedBox, server: string): Promise<void> {
        const followed = follow(box);
        expect(await followed.waitForPermission()).to.equal("go");
        const outcome: AttemptOutcome = {
            kind: "broken",
            reason: "closed",
            wasStaleConnection: false,
            serverTerminatedAt: Promise.resolve(gossip.now()),
        };
        followed.onAttemptEnded(serverOf(server), outcome);
        await settled();
        followed.end();
    }

    async function answer(box: GuardedBox): Promise<void> {
        const followed = follow(box);
        expect(await followed.waitForPermission()).to.equal("go");
        followed.onAttemptEnded(serverOf("i-good"), { kind: "answered", answer: { status: 200 } } as AttemptOutcome);
        await settled();
        followed.end();
    }

    const serverOf = (id: string) =>
        ({ id: backendServerId(id), state: { record: () => ({ bornAt: 1 }) } }) as unknown as BackendServer;
    const settled = () => new Promise(setImmediate);

    async function holding(): Promise<number> {
        const clearances = await Promise.all(boxes.map(async box => {
            const followed = follow(box);
            const clearance = await followed.waitForPermission();
            followed.end();
            return clearance;
        }));
        return clearances.filter(clearance => clearance === "refuse").length;
    }

    /** One server after the other ends, each under a request of one of the boxes. */
    async function endSome(at: readonly number[] = [0, 1, 2]): Promise<void> {
        for (const [turn, index] of at.entries()) {
            await endUnder(boxes[index], `i-${turn}`);
            await gossip.play(200);
        }
    }

    it("hold it at all of nine boxes once three servers have ended at three of them", async () => {
        start(9);
        await endSome();
        expect(await holding()).to.equal(9);
    });

    it("hold it if all three ended at one box", async () => {
        start(9);
        await endSome([4, 4, 4]);
        expect(await holding()).to.equal(9);
    });

    for (const count of [9, 67, 195, 740]) {
        it(`hold it at all of ${count} boxes within the bound while three of ten messages are lost`, async () => {
            start(count);
            loss = 0.3;
            await endSome();
            await gossip.play(contact);
            expect(await holding()).to.equal(count);
        });
    }

    it("say little in one datagram, and tell in turn of as many as there are", async () => {
        start(2);
        const ends = Array.from(
            { length: 20 },
            (_, end) => [`i-94e54d34ab-${end}@1770268739000`, 60_000 - end * 200] as const,
        );
        const fingerprints = Array.from({ length: 12 }, (_, index) => String(index).padStart(24, "0"));
        boxes[0].guard.onReports(fingerprints.map(fingerprint => ({ fingerprint, ends, answers: [], seenAgo: 0 })));
        const parts = Array.from({ length: 4 }, () => boxes[0].guard.gossipPayload()!);
        expect(Math.max(...parts.map(part => JSON.stringify(part).length))).to.be.lessThan(1800);
        expect(new Set(parts.flat().map(({ fingerprint }) => fingerprint)).size).to.equal(12);
    });

    it("go on without a message while nothing ends", async () => {
        start(67);
        await gossip.play(3000);
        expect(gossip.messages()).to.equal(0);
    });

    it("tell a box that starts, and one that was cut off", async () => {
        start(9);
        boxes[8].isCutOff = true;
        await endSome();
        await gossip.play(3000);
        expect(await holding()).to.equal(8);
        boxes[8].isCutOff = false;
        addBox("b-new");
        await gossip.play(contact);
        expect(await holding()).to.equal(10);
    });

    for (const [what, at] of [["one box", [0, 0, 0]], ["three boxes", [0, 1, 2]]] as const) {
        it(`hold it though both boxes that collect what ${what} saw are lost`, async () => {
            start(9);
            const fingerprint = fingerprintOf({ host: "app.example", method: "POST", path, customer: undefined }, body);
            const lost = new Set(collectorsOf(fingerprint, boxes.map(({ record }) => record)));
            boxes.forEach(box => {
                box.isCutOff = lost.has(box.record);
            });
            boxes.sort((a, b) => Number(a.isCutOff) - Number(b.isCutOff));
            await endSome(at);
            await gossip.play(contact);
            expect(await holding()).to.equal(7);
        });
    }

    it("forget it at all boxes once one of them has an answer", async () => {
        start(67);
        loss = 0.3;
        await endSome([0, 1]);
        await answer(boxes[2]);
        await gossip.play(contact);
        await endUnder(boxes[3], "i-3");
        await gossip.play(contact);
        expect(await holding()).to.equal(0);
    });

    it("stop requests that are at servers once it is held, and leave others there", async () => {
        start(9);
        const controllers = [new AbortController(), new AbortController()];
        const [deadly, other] = [
            follow(boxes[5], undefined, controllers[0]),
            follow(boxes[5], "/save/other", controllers[1]),
        ];
        expect([await deadly.waitForPermission(), await other.waitForPermission()]).to.deep.equal(["go", "go"]);
        await endSome();
        expect([deadly.isStopped(), controllers[0].signal.aborted]).to.deep.equal([true, true]);
        expect([other.isStopped(), controllers[1].signal.aborted]).to.deep.equal([false, false]);
    });

    it("let one go at a time after the second end, and the next once that has its end", async () => {
        start(9);
        await endSome([0, 1]);
        const [first, second] = [follow(boxes[2]), follow(boxes[2])];
        expect(await first.waitForPermission()).to.equal("go");
        let isSecondCleared = false;
        const cleared = second.waitForPermission().then(clearance => {
            isSecondCleared = true;
            return clearance;
        });
        await settled();
        expect(isSecondCleared).to.equal(false);
        first.onAttemptEnded(serverOf("i-9"), { kind: "notRun", status: 503, hasFreeSlots: false });
        expect(await cleared).to.equal("go");
    });

    it("let the next one go if the first one finds no server", async () => {
        start(9);
        await endSome([0, 1]);
        const [first, second] = [follow(boxes[2]), follow(boxes[2])];
        expect(await first.waitForPermission()).to.equal("go");
        const cleared = second.waitForPermission();
        first.end();
        expect(await cleared).to.equal("go");
    });

    it("count a request as under way until it is known what became of its first server, though it was sent on", async () => {
        start(9);
        await endSome([0, 1]);
        const [first, second] = [follow(boxes[2]), follow(boxes[2])];
        expect(await first.waitForPermission()).to.equal("go");
        let tell: (endedAt: undefined) => void = () => undefined;
        const serverEnded = new Promise<undefined>(resolve => tell = resolve);
        first.onAttemptEnded(serverOf("i-2"), {
            kind: "broken",
            reason: "closed",
            wasStaleConnection: false,
            serverTerminatedAt: serverEnded,
        });
        const [sentOn, cleared] = [first.waitForPermission(), second.waitForPermission()];
        tell(undefined);
        expect(await sentOn).to.equal("go");
        let isSecondCleared = false;
        void cleared.then(() => isSecondCleared = true);
        await settled();
        expect(isSecondCleared).to.equal(false);
    });

    it("end a wait when its caller leaves", async () => {
        start(9);
        await endSome([0, 1]);
        const controller = new AbortController();
        const [first, second] = [follow(boxes[2]), follow(boxes[2], undefined, controller)];
        await first.waitForPermission();
        const cleared = second.waitForPermission();
        controller.abort();
        expect(await cleared).to.equal("callerLeft");
    });
});

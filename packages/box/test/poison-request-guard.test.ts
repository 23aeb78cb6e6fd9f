/**
 * The guards of many boxes against a poison request, with messages that are delayed and
 * may be lost.
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

/** Milliseconds from the third termination within which all boxes must hold a request: the shortest that users set. */
const maxHoldDelay = 2500;

interface GuardedBox extends GossipingBox {
    readonly guard: PoisonRequestGuard;
}

describe("the guards of all boxes against a poison request [P26]", () => {
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

    function track({ guard }: GuardedBox, path = "/save/deadly", controller = new AbortController()): TrackedRequest {
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

    async function terminateAt(box: GuardedBox, server: string): Promise<void> {
        const tracked = track(box);
        expect(await tracked.waitForPermission()).to.equal("go");
        const outcome: AttemptOutcome = {
            kind: "broken",
            reason: "closed",
            wasStaleConnection: false,
            serverTerminatedAt: Promise.resolve(gossip.now()),
        };
        tracked.onAttemptEnded(serverOf(server), outcome);
        await settled();
        tracked.end();
    }

    async function answer(box: GuardedBox): Promise<void> {
        const tracked = track(box);
        expect(await tracked.waitForPermission()).to.equal("go");
        tracked.onAttemptEnded(serverOf("i-good"), { kind: "answered", answer: { status: 200 } } as AttemptOutcome);
        await settled();
        tracked.end();
    }

    const serverOf = (id: string) =>
        ({ id: backendServerId(id), state: { record: () => ({ bornAt: 1 }) } }) as unknown as BackendServer;
    const settled = () => new Promise(setImmediate);

    async function countHolding(): Promise<number> {
        const permissions = await Promise.all(boxes.map(async box => {
            const tracked = track(box);
            const permission = await tracked.waitForPermission();
            tracked.end();
            return permission;
        }));
        return permissions.filter(permission => permission === "refuse").length;
    }

    /** Servers terminate one after the other, each while it runs a request of one of the boxes. */
    async function terminateSome(at: readonly number[] = [0, 1, 2]): Promise<void> {
        for (const [turn, index] of at.entries()) {
            await terminateAt(boxes[index], `i-${turn}`);
            await gossip.play(200);
        }
    }

    it("hold it at all of nine boxes once three of them have observed a termination", async () => {
        start(9);
        await terminateSome();
        expect(await countHolding()).to.equal(9);
    });

    it("hold it if one box has observed all three terminations", async () => {
        start(9);
        await terminateSome([4, 4, 4]);
        expect(await countHolding()).to.equal(9);
    });

    for (const count of [9, 67, 195, 740]) {
        it(`hold it at all of ${count} boxes in time while three of ten messages are lost`, async () => {
            start(count);
            loss = 0.3;
            await terminateSome();
            await gossip.play(maxHoldDelay);
            expect(await countHolding()).to.equal(count);
        });
    }

    it("send few reports in one datagram, and all of them in rotation", async () => {
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

    it("send no message while no server terminates", async () => {
        start(67);
        await gossip.play(3000);
        expect(gossip.messages()).to.equal(0);
    });

    it("inform a box that starts, and one that was disconnected", async () => {
        start(9);
        boxes[8].isCutOff = true;
        await terminateSome();
        await gossip.play(3000);
        expect(await countHolding()).to.equal(8);
        boxes[8].isCutOff = false;
        addBox("b-new");
        await gossip.play(maxHoldDelay);
        expect(await countHolding()).to.equal(10);
    });

    for (const [what, at] of [["one box", [0, 0, 0]], ["three boxes", [0, 1, 2]]] as const) {
        it(`hold it although both boxes that collect what ${what} observed are lost`, async () => {
            start(9);
            const fingerprint = fingerprintOf({ host: "app.example", method: "POST", path, customer: undefined }, body);
            const lost = new Set(collectorsOf(fingerprint, boxes.map(({ record }) => record)));
            boxes.forEach(box => {
                box.isCutOff = lost.has(box.record);
            });
            boxes.sort((a, b) => Number(a.isCutOff) - Number(b.isCutOff));
            await terminateSome(at);
            await gossip.play(maxHoldDelay);
            expect(await countHolding()).to.equal(7);
        });
    }

    it("clear it at all boxes once one of them has an answer", async () => {
        start(67);
        loss = 0.3;
        await terminateSome([0, 1]);
        await answer(boxes[2]);
        await gossip.play(maxHoldDelay);
        await terminateAt(boxes[3], "i-3");
        await gossip.play(maxHoldDelay);
        expect(await countHolding()).to.equal(0);
    });

    it("abort its requests at servers once it is held, and no others", async () => {
        start(9);
        const controllers = [new AbortController(), new AbortController()];
        const [poison, other] = [
            track(boxes[5], undefined, controllers[0]),
            track(boxes[5], "/save/other", controllers[1]),
        ];
        expect([await poison.waitForPermission(), await other.waitForPermission()]).to.deep.equal(["go", "go"]);
        await terminateSome();
        expect([poison.isStopped(), controllers[0].signal.aborted]).to.deep.equal([true, true]);
        expect([other.isStopped(), controllers[1].signal.aborted]).to.deep.equal([false, false]);
    });

    it("send one at a time after the second termination, and the next once that is completed", async () => {
        start(9);
        await terminateSome([0, 1]);
        const [first, second] = [track(boxes[2]), track(boxes[2])];
        expect(await first.waitForPermission()).to.equal("go");
        let isSecondPermitted = false;
        const secondPermission = second.waitForPermission().then(permission => {
            isSecondPermitted = true;
            return permission;
        });
        await settled();
        expect(isSecondPermitted).to.equal(false);
        first.onAttemptEnded(serverOf("i-9"), { kind: "notRun", status: 503, hasFreeSlots: false });
        expect(await secondPermission).to.equal("go");
    });

    it("send the next one if the first one finds no server", async () => {
        start(9);
        await terminateSome([0, 1]);
        const [first, second] = [track(boxes[2]), track(boxes[2])];
        expect(await first.waitForPermission()).to.equal("go");
        const secondPermission = second.waitForPermission();
        first.end();
        expect(await secondPermission).to.equal("go");
    });

    it("regard a request as in progress until the outcome at its first server is known, retried or not", async () => {
        start(9);
        await terminateSome([0, 1]);
        const [first, second] = [track(boxes[2]), track(boxes[2])];
        expect(await first.waitForPermission()).to.equal("go");
        let resolveTerminated: (terminatedAt: undefined) => void = () => undefined;
        const serverTerminated = new Promise<undefined>(resolve => resolveTerminated = resolve);
        first.onAttemptEnded(serverOf("i-2"), {
            kind: "broken",
            reason: "closed",
            wasStaleConnection: false,
            serverTerminatedAt: serverTerminated,
        });
        const [sentAgain, secondPermission] = [first.waitForPermission(), second.waitForPermission()];
        resolveTerminated(undefined);
        expect(await sentAgain).to.equal("go");
        let isSecondPermitted = false;
        void secondPermission.then(() => isSecondPermitted = true);
        await settled();
        expect(isSecondPermitted).to.equal(false);
    });

    it("end the wait of a request whose caller leaves", async () => {
        start(9);
        await terminateSome([0, 1]);
        const controller = new AbortController();
        const [first, second] = [track(boxes[2]), track(boxes[2], undefined, controller)];
        await first.waitForPermission();
        const secondPermission = second.waitForPermission();
        controller.abort();
        expect(await secondPermission).to.equal("callerLeft");
    });
});

/**
 * Which attempts count towards the transfer sizes of a route.
 */

import { type ChosenServer, createTransferSizes, createWorkEstimate, type Route } from "@chalkdale/decisions";
import { backendServerId, boxId, milliseconds } from "@chalkdale/kernel";
import { createLog } from "@chalkdale/runtime";
import { expect } from "chai";
import { createBoxMetrics } from "../src/metrics.js";
import { createPoisonRequestGuard } from "../src/poison-requests/poison-request-guard.js";
import type { ActiveRequest } from "../src/requests/active-request.js";
import { createAttemptLoop } from "../src/requests/attempt-loop.js";
import type { AttemptOutcome } from "../src/requests/attempt-request.js";
import { noTrials } from "../src/rollouts/trials.js";
import { bodyOf } from "../src/servers/answer-body.js";
import { createRecentSends } from "../src/servers/recent-sends.js";

const route = { name: "photos", kind: "safe", maxAttempts: 1 } as Route;

/** Runs one request with one attempt that has the given outcome; returns the transfer sizes that were learned. */
async function learnedFrom(outcome: AttemptOutcome): Promise<readonly number[]> {
    const learned: number[] = [];
    const unused = () => undefined;
    const runAttempts = createAttemptLoop({
        clock: () => milliseconds(0),
        metrics: createBoxMetrics(),
        choose: () => ({ kind: "chosen", server: { id: backendServerId("i-1") } }) as ChosenServer,
        attempt: ({ onSend }) => {
            onSend();
            return Promise.resolve(outcome);
        },
        retryBudgetOf: () => ({ onRequest: unused, tryConsume: () => false }),
        recentKeys: undefined as never,
        workEstimate: createWorkEstimate(),
        transferSizes: { ...createTransferSizes(), onTransferred: (_route, bytes) => learned.push(bytes) },
        roundTrip: () => milliseconds(1),
        loadPerSlot: () => 0,
        isIsolated: () => false,
        phase: () => "running",
        timeToAnswer: () => milliseconds(Infinity),
        trials: noTrials,
        recentSends: createRecentSends(() => milliseconds(0)),
        serversAge: () => milliseconds(0),
        requestLog: {
            attemptFailed: unused,
            hedged: unused,
            served: unused,
            refused: unused,
            notAdmitted: unused,
            callerLeft: unused,
            callerLeftUnread: unused,
        },
        isVerified: () => true,
        poisonRequestGuard: createPoisonRequestGuard({
            clock: () => milliseconds(0),
            log: createLog(),
            self: boxId("b-1"),
            advertised: () => [],
            recentMembers: () => [],
            send: unused,
        }),
    });
    const head = { host: "app.example", method: "GET", path: "/photos/1", customer: undefined };
    const active = {
        route,
        ...head,
        tried: new Set(),
        sent: 0,
        notSent: 0,
        deadlineAt: 1000,
        caller: { isConfirmed: () => true, confirm: () => Promise.resolve(true) },
    } as unknown as ActiveRequest;
    await runAttempts(active, Buffer.alloc(60_000), new AbortController());
    return learned;
}

function answerOf(status: number): AttemptOutcome {
    const body = bodyOf(Buffer.alloc(400));
    return { kind: "answered", answer: { status, body, rawHeaders: [], headers: {}, framed: true, reusable: true } };
}

describe("the attempt loop", () => {
    it("learns the size of request and answer bodies from a success", async () => {
        expect(await learnedFrom(answerOf(200))).to.deep.equal([60_400]);
    });

    it("learns nothing from failures, whose answers are short", async () => {
        expect(await learnedFrom(answerOf(500))).to.deep.equal([]);
        expect(await learnedFrom({ kind: "broken", reason: "reset", wasStaleConnection: false })).to.deep.equal([]);
        expect(await learnedFrom({ kind: "notRun", status: 503, hasFreeSlots: false })).to.deep.equal([]);
    });
});

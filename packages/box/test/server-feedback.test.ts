import { createSendRecord, createServiceLoad, type LoadReport } from "@chalkdale/decisions";
import { milliseconds } from "@chalkdale/kernel";
import { expect } from "chai";
import { Socket } from "node:net";
import type { CallerProtocol } from "../src/callers/caller-protocol.js";
import type { AttemptRequest } from "../src/requests/attempt-request.js";
import { createServerFeedback } from "../src/requests/server-feedback.js";
import { bodyOf } from "../src/servers/answer-body.js";
import type { ServerConnections } from "../src/servers/server-connections.js";
import { createAmpleMemory } from "./ample-memory.js";
import { createSampleRecord, createSampleState, sampleService, sampleSlots } from "./sample-server.js";

/**
 * The part of the protocol that the feedback uses: load and back-off, each in one header, and the header of a request
 * that was not run.
 */
const protocol = {
    headers: { notRun: "not-run" },
    readBackoff: ({ headers }) =>
        headers.backoff === undefined
            ? { kind: "none" }
            : { kind: "asked", duration: milliseconds(Number(headers.backoff)) },
    readLoad: headers => headers.load === undefined ? undefined : JSON.parse(String(headers.load)) as LoadReport,
} as CallerProtocol;

const connections: ServerConnections = {
    acquire: () => Promise.reject(new Error("unexpected call: the feedback acquires no connections")),
    release: () => undefined,
    closeIdle: () => undefined,
    sweep: () => undefined,
    count: () => 0,
};

function createSetup() {
    let now = 1000;
    const clock = () => milliseconds(now);
    const state = createSampleState(createSampleRecord("s-1"), milliseconds(0));
    const request: AttemptRequest = {
        isIdempotent: true,
        allowedRegions: undefined,
        service: sampleService,
        server: { id: state.record().id, idHash: 1, addedAt: undefined, state },
        method: "GET",
        path: "/a/",
        rawHeaders: [],
        body: Buffer.alloc(0),
        requestId: "r-1",
        timeLeft: () => milliseconds(1500),
        roundTrip: milliseconds(2),
        expected: milliseconds(150),
        signal: new AbortController().signal,
        answerMemory: createAmpleMemory(),
        sends: createSendRecord(),
        caller: { isConfirmed: () => true, confirm: () => Promise.resolve(true) },
        onSend: () => undefined,
        onServed: () => undefined,
    };
    const feedback = createServerFeedback({
        clock,
        protocol,
        connections,
        serviceLoad: createServiceLoad(),
        limitedServers: { onAnswer: () => undefined },
        serverNotices: { onAnswer: () => undefined },
        hasNewIncarnation: () => false,
    });
    return {
        state,
        refuseWithoutRunning: (load: LoadReport, otherHeaders: Readonly<Record<string, string>> = {}) => {
            state.onSent();
            const headers = { "not-run": "1", load: JSON.stringify(load), ...otherHeaders };
            const answer = {
                status: 503,
                rawHeaders: [],
                headers,
                body: bodyOf(Buffer.alloc(0)),
                framed: true,
                reusable: false,
            };
            return feedback.onAnswer(request, new Socket(), answer, clock());
        },
        timeOutAfter: (duration: number) => {
            const sentAt = clock();
            state.onSent();
            now += duration;
            feedback.onCancelled(request, sentAt, milliseconds(0));
        },
        clock,
    };
}

describe("the feedback on a server", () => {
    describe("that refuses a request without running it", () => {
        it("treats the server as full if it has no free slot", () => {
            const { clock, refuseWithoutRunning, state } = createSetup();
            refuseWithoutRunning({ running: sampleSlots, waiting: 2, slots: sampleSlots });
            expect(state.load(clock())).to.be.greaterThan(sampleSlots);
            expect(state.severity(clock())).to.be.lessThan(0.5);
        });

        it("treats the server as failing, not as full, if it has free slots", () => {
            const { clock, refuseWithoutRunning, state } = createSetup();
            refuseWithoutRunning({ running: 1, waiting: 0, slots: sampleSlots });
            expect(state.load(clock())).to.equal(1);
            expect(state.severity(clock())).to.be.greaterThan(0.5);
        });
    });

    describe("that refuses a request without running it and asks for back-off", () => {
        it("treats the server neither as failing nor as full, and allows no retry at the same server", () => {
            const { clock, refuseWithoutRunning, state } = createSetup();
            const outcome = refuseWithoutRunning({ running: 1, waiting: 0, slots: sampleSlots }, { backoff: "3000" });
            expect(outcome).to.deep.equal({ kind: "notRun", status: 503, hasFreeSlots: false });
            expect(state.load(clock())).to.equal(1);
            expect(state.severity(clock())).to.be.lessThan(0.5);
        });
    });

    describe("that does not answer in time", () => {
        it("counts the elapsed time as slowness and the request as failed", () => {
            const { clock, state, timeOutAfter } = createSetup();
            timeOutAfter(800);
            expect(state.slowness(clock())).to.be.greaterThan(1.5);
            timeOutAfter(800);
            expect(state.severity(clock())).to.be.greaterThan(1);
        });

        it("changes nothing for a server that had less time than it usually needs", () => {
            const { clock, state, timeOutAfter } = createSetup();
            timeOutAfter(100);
            expect(state.slowness(clock())).to.equal(1);
        });
    });
});

import { createSendRecord, decideStatus } from "@chalkdale/decisions";
import { milliseconds } from "@chalkdale/kernel";
import { expect } from "chai";
import { createServer, get, type ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { type ForwardableAnswer, forwardAnswer } from "../src/requests/caller-answers.js";
import { bodyOf } from "../src/servers/answer-body.js";

/** More than the kernel takes of an answer that nobody reads. */
const bodyBytes = 16 * 1024 * 1024;

describe("an answer that its caller doesn't read by its deadline, while others wait for memory", () => {
    for (const framed of [true, false]) {
        it(`ends with a reset, so that it doesn't look complete (${framed ? "with" : "without"} a length)`, async () => {
            const answer: ForwardableAnswer = {
                status: decideStatus(200, createSendRecord())!,
                rawHeaders: [],
                headers: {},
                body: bodyOf(Buffer.alloc(bodyBytes)),
                framed,
                reusable: false,
            };
            let end: (() => void) | undefined;
            const memory = {
                startSending: (onStalled: () => void) => {
                    end = onStalled;
                },
                recordSent: () => undefined,
                close: () => undefined,
            };
            const server = createServer((_request, response: ServerResponse) =>
                forwardAnswer(answer, {
                    memory,
                    callerWaits: () => false,
                    onFault: () => undefined,
                }).write(
                    response,
                    true,
                )
            );
            await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
            const boxSide = new Promise<Socket>(resolve => server.once("connection", resolve));
            const { port } = server.address() as AddressInfo;
            const request = get({ host: "127.0.0.1", port, agent: false }, response => response.pause());
            request.on("error", () => undefined);
            const socket = await boxSide;
            let wasReset = false;
            const resetAndDestroy = socket.resetAndDestroy.bind(socket);
            socket.resetAndDestroy = () => {
                wasReset = true;
                return resetAndDestroy();
            };
            const closed = new Promise(resolve => socket.once("close", resolve));
            await waitFor(() => end !== undefined);
            end?.();
            await closed;
            expect(wasReset).to.equal(true);
            request.destroy();
            server.close();
        });
    }
});

async function waitFor(condition: () => boolean): Promise<void> {
    while (!condition()) {
        await new Promise(resolve => setTimeout(resolve, milliseconds(1)));
    }
}

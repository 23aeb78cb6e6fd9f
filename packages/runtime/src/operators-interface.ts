/**
 * The interface that each daemon has for operators: bounded, read-only HTTP.
 */

import { createServer, type Server } from "node:http";
import type { Address } from "./addresses.js";

/** An answer to an operator. */
export interface OperatorsAnswer {
    readonly status: number;
    readonly type: "text/plain" | "application/json";
    readonly body: string;
}

const requestTimeout = 5000;
const mostConnections = 32;

/** Makes an answer of one line of text. */
export function textAnswer(status: number, line: string): OperatorsAnswer {
    return { status, type: "text/plain", body: `${line}\n` };
}

/** Makes an answer of JSON. */
export function jsonAnswer(value: unknown): OperatorsAnswer {
    return { status: 200, type: "application/json", body: JSON.stringify(value) };
}

/** Answers GET requests at an address until the signal aborts; resolves when it listens. */
export async function serveOperators(
    address: Address,
    answerTo: (url: string) => OperatorsAnswer,
    signal: AbortSignal,
): Promise<void> {
    const server = createServer({ requestTimeout }, (request, response) => {
        request.resume();
        const answer = request.method === "GET"
            ? answerTo(request.url ?? "")
            : textAnswer(405, "only GET is answered here");
        response.writeHead(answer.status, { "content-type": answer.type }).end(answer.body);
    });
    server.maxConnections = mostConnections;
    await listenUntilAborted(server, address, signal);
}

/** Listens at an address; with the signal the server and all its connections close. */
export async function listenUntilAborted(server: Server, address: Address, signal: AbortSignal): Promise<void> {
    signal.addEventListener("abort", () => {
        server.closeAllConnections();
        server.close();
    }, { once: true });
    await new Promise<void>((resolve, reject) => {
        server.once("error", reject);
        server.listen(address.port, address.address, resolve);
    });
}

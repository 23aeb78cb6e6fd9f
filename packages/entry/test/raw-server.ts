/**
 * Backend servers for tests that answer as they are told.
 */

import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { type AddressInfo, createServer as createSocketServer } from "node:net";

/** A running server. */
export interface RawServer {
    readonly port: number;
    readonly requests: IncomingMessage[];
}

/** Listens until the signal aborts and answers by a function. */
export async function startRawServer(
    answer: (request: IncomingMessage, response: ServerResponse) => void,
    signal: AbortSignal,
): Promise<RawServer> {
    const requests: IncomingMessage[] = [];
    const server: Server = createServer((request, response) => {
        requests.push(request);
        response.on("error", () => undefined);
        answer(request, response);
    });
    signal.addEventListener("abort", () => {
        server.closeAllConnections();
        server.close();
    }, { once: true });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return { port: (server.address() as AddressInfo).port, requests };
}

/** Returns a port on which nothing listens. */
export async function closedPort(): Promise<number> {
    const server = createSocketServer();
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as AddressInfo;
    await new Promise(resolve => server.close(resolve));
    return port;
}

/** Waits until a condition holds, for as long as the test may run. */
export async function until(condition: () => boolean): Promise<void> {
    while (!condition()) {
        await new Promise(resolve => setTimeout(resolve, 5));
    }
}

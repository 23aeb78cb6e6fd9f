/** A server that answers each request with a text, whether or not it is a valid answer. */

import { type AddressInfo, createServer, type Socket } from "node:net";

/** A change of protocol that no request asked for. */
export const unrequestedUpgrade =
    "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n\r\nhello";

export interface RawServer {
    readonly address: string;
    /** Requests received. */
    readonly requests: () => number;
    readonly close: () => void;
}

/** Starts the server on loopback; `answer` returns the text for the request with this number, from 1 on. */
export async function startRawServer(answer: (request: number) => string): Promise<RawServer> {
    const sockets = new Set<Socket>();
    let requests = 0;
    const server = createServer(socket => {
        sockets.add(socket);
        socket.on("error", () => undefined);
        socket.on("data", () => {
            requests += 1;
            socket.write(answer(requests));
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return {
        address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
        requests: () => requests,
        close() {
            server.close();
            sockets.forEach(socket => socket.destroy());
        },
    };
}

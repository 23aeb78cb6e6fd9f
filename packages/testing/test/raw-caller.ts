/**
 * A caller that writes its bytes itself, for bodies that come late, in part or not at all.
 */

import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { type TestBox, testHost, waitUntil } from "../src/standins/deployment.js";

/** One connection to a box. */
export interface RawCaller {
    readonly socket: Socket;
    readonly send: (text: string) => void;
    /** Writes the head of a POST. */
    readonly sendHead: (path: string, requestId: string, headers: readonly string[]) => void;
    /** All that has come back. */
    readonly received: () => string;
    /** Resolves with what has come back once it holds the text. */
    readonly receives: (text: string) => Promise<string>;
    /** True once the box has ended the connection. */
    readonly isEnded: () => boolean;
}

/** Connects to a box. */
export async function connectRaw(box: TestBox): Promise<RawCaller> {
    const socket = connect({ port: Number(box.callerAddress.split(":")[1]), host: "127.0.0.1", allowHalfOpen: true });
    let received = "";
    let isEnded = false;
    socket.on("data", data => {
        received += data.toString("latin1");
    });
    socket.on("end", () => {
        isEnded = true;
    });
    socket.on("close", () => {
        isEnded = true;
    });
    // A box that drops the connection is what some tests wait for.
    socket.on("error", () => undefined);
    await once(socket, "connect");

    return {
        socket,
        send: text => void socket.write(text),
        sendHead(path, requestId, headers) {
            const lines = [`POST ${path} HTTP/1.1`, `Host: ${testHost}`, `Request-Id: ${requestId}`, ...headers];
            socket.write(`${lines.join("\r\n")}\r\n\r\n`);
        },
        received: () => received,
        async receives(text) {
            await waitUntil(() => received.includes(text), `the caller gets ${text}`);
            return received;
        },
        isEnded: () => isEnded,
    };
}

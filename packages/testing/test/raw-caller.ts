/**
 * A caller that writes the bytes of its requests itself, for bodies that arrive late, in part or not at all.
 */

import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { type TestBox, testHost, waitUntil } from "../src/standins/deployment.js";

/** One connection to a box. */
export interface RawCaller {
    readonly socket: Socket;
    readonly send: (text: string) => void;
    /** Sends the head of a POST request. */
    readonly sendHead: (path: string, requestId: string, headers: readonly string[]) => void;
    /** Text received so far. */
    readonly received: () => string;
    /** Resolves with the text received so far once it contains the given text. */
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
    // Some tests wait for the box to close the connection, which may raise an error here.
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
            await waitUntil(() => received.includes(text), `the caller receives ${text}`);
            return received;
        },
        isEnded: () => isEnded,
    };
}

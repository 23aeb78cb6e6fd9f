/**
 * Bytes without end, as a faulty server sends them in place of an answer, or a faulty caller in place of a request's
 * body, until the other end closes the connection.
 */

import type { Socket } from "node:net";

/** What is sent without end; the text before it and the part that is repeated. */
interface EndlessText {
    readonly start: string;
    readonly repeated: string;
}

/** Bytes of one write; as many whole repetitions as fit. */
const bytesPerWrite = 64 * 1024;
const chunkedHead = "HTTP/1.1 200 OK\r\n{headers}Transfer-Encoding: chunked\r\n\r\n";
const largeChunk = `1000\r\n${"x".repeat(4096)}\r\n`;

/** Texts by kind; `{headers}` stands for the headers of a sound answer to the request. */
const endlessAnswers = {
    interimAnswers: { start: "", repeated: "HTTP/1.1 102 Processing\r\n\r\n" },
    emptyLines: { start: "", repeated: "\r\n" },
    tinyChunks: { start: chunkedHead, repeated: "1\r\nx\r\n" },
    largeChunks: { start: chunkedHead, repeated: largeChunk },
    chunkExtensions: { start: chunkedHead, repeated: `1;${"e".repeat(4000)}\r\nx\r\n` },
    endlessExtension: { start: `${chunkedHead}1;`, repeated: "e".repeat(1000) },
    trailers: { start: `${chunkedHead}0\r\n`, repeated: "T: x\r\n" },
    noLength: { start: "HTTP/1.1 200 OK\r\n{headers}\r\n", repeated: "x".repeat(4096) },
    endlessLength: {
        start: "HTTP/1.1 200 OK\r\n{headers}Content-Length: 999999999999\r\n\r\n",
        repeated: "x".repeat(4096),
    },
    headerLines: { start: "HTTP/1.1 200 OK\r\n{headers}", repeated: "H: x\r\n" },
    notHttp: { start: "", repeated: "no answer " },
    surplusAnswers: { start: "", repeated: "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 0\r\n\r\n" },
} satisfies Readonly<Record<string, EndlessText>>;

/** The same behind statuses that end no request. */
const endlessOddAnswers = {
    oddStatus: { start: "HTTP/1.1 000 Odd\r\n{headers}\r\n", repeated: "x".repeat(4096) },
    changeOfProtocol: {
        start: "HTTP/1.1 101 Switching Protocols\r\n{headers}Connection: Upgrade\r\nUpgrade: other\r\n\r\n",
        repeated: "x".repeat(4096),
    },
} satisfies Readonly<Record<string, EndlessText>>;

const endlessTexts = { ...endlessAnswers, ...endlessOddAnswers };

/** Kinds of endless answers. */
export type EndlessAnswer = keyof typeof endlessTexts;

/** Kinds from which seeds of the soak draw; these stay as they are. */
export const endlessAnswerKinds = Object.keys(endlessAnswers) as readonly EndlessAnswer[];
export const endlessOddAnswerKinds = Object.keys(endlessOddAnswers) as readonly EndlessAnswer[];

const endlessConnections = new WeakSet<Socket>();

/** True for a connection on which an endless answer was begun. */
export function carriesEndlessAnswer(socket: Socket): boolean {
    return endlessConnections.has(socket);
}

/** Sends an endless answer until the connection closes. */
export function sendEndlessAnswer(
    socket: Socket,
    kind: EndlessAnswer,
    headers: Readonly<Record<string, string>>,
    pauseBetweenWrites = 0,
): void {
    const { repeated, start } = endlessTexts[kind];
    const headerText = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`).join("");
    endlessConnections.add(socket);
    socket.write(start.replace("{headers}", headerText));
    sendWithoutEnd(socket, repeated, pauseBetweenWrites);
}

/** Repeats a text until the connection closes, as fast as the other end reads, or with pauses in milliseconds. */
export function sendWithoutEnd(socket: Socket, repeated: string, pauseBetweenWrites = 0): void {
    const size = pauseBetweenWrites === 0 ? bytesPerWrite : 1024;
    const bytes = Buffer.from(repeated.repeat(Math.max(1, Math.floor(size / repeated.length))));
    const timers = { next: undefined as NodeJS.Timeout | undefined };
    socket.on("error", () => undefined);
    socket.on("close", () => clearTimeout(timers.next));
    writeNext();

    function writeNext(): void {
        if (socket.destroyed || !socket.writable) {
            return;
        }
        socket.write(bytes, error => {
            if (error !== undefined && error !== null) {
                return;
            }
            if (pauseBetweenWrites === 0) {
                setImmediate(writeNext);
                return;
            }
            timers.next = setTimeout(writeNext, pauseBetweenWrites);
        });
    }
}

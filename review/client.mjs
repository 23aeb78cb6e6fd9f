// Stand-in for a client: one attempt on a new connection, read as the page "Answers" says.
import { connect } from "node:net";

/** Sends one attempt. `readRate`: bytes a second that the client reads; undefined for no limit. */
export function sendAttempt({ address, method, path, requestId, deadline, body, host = "shop.example", headers = {}, readRate, onHead }) {
    const [ip, port] = address.split(":");
    return new Promise(resolve => {
        const sentAt = performance.now();
        const socket = connect({ host: ip, port: Number(port) });
        const chunks = [];
        let size = 0;
        let head;
        let error;
        let ended = false;
        let firstByteAt;
        const timer = setTimeout(() => {
            error ??= "gave up at its deadline";
            socket.destroy();
        }, deadline);
        socket.on("connect", () => {
            const fields = {
                "Host": host,
                "Request-Id": requestId,
                "Deadline-Ms": String(deadline),
                ...body === undefined ? {} : { "Content-Length": String(Buffer.byteLength(body)) },
                ...headers,
            };
            socket.write(`${method} ${path} HTTP/1.1\r\n${Object.entries(fields).map(([name, value]) => `${name}: ${value}\r\n`).join("")}\r\n${body ?? ""}`);
        });
        socket.on("data", chunk => {
            chunks.push(chunk);
            size += chunk.length;
            if (head === undefined) {
                const text = Buffer.concat(chunks);
                const end = text.indexOf("\r\n\r\n");
                if (end >= 0) {
                    head = parseHead(text.subarray(0, end).toString("latin1"));
                    head.bytes = end + 4;
                    onHead?.(head);
                }
            }
            if (readRate !== undefined) {
                firstByteAt ??= performance.now();
                socket.pause();
                setTimeout(() => socket.resume(), firstByteAt + size / readRate * 1000 - performance.now());
            }
            if (isComplete()) {
                socket.end();
                finish();
            }
        });
        socket.on("error", reason => {
            error ??= reason.code ?? reason.message;
        });
        socket.on("end", () => {
            ended = true;
        });
        socket.on("close", finish);

        function isComplete() {
            const length = head?.headers["content-length"];
            return length !== undefined && size - head.bytes >= Number(length);
        }

        function finish() {
            clearTimeout(timer);
            const length = head?.headers["content-length"];
            const received = head === undefined ? 0 : size - head.bytes;
            // An answer without a length is complete when its connection ends without an error.
            const complete = head !== undefined && (length === undefined ? ended && error === undefined : received >= Number(length));
            resolve({
                requestId,
                status: head?.status ?? 0,
                headers: head?.headers ?? {},
                framed: length !== undefined,
                complete,
                received,
                body: head === undefined ? Buffer.alloc(0) : Buffer.concat(chunks).subarray(head.bytes),
                error,
                sentAt,
                duration: performance.now() - sentAt,
            });
        }
    });
}

function parseHead(text) {
    const [first, ...lines] = text.split("\r\n");
    const headers = {};
    for (const line of lines) {
        const colon = line.indexOf(":");
        headers[line.slice(0, colon).toLowerCase()] = line.slice(colon + 1).trim();
    }
    return { status: Number(first.split(" ")[1]), headers };
}

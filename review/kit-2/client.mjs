// Stand-in for a client: one request on a new connection, or several on one; every outcome with its times.
import { connect } from "node:net";

let sequence = 0;
const run = Math.floor(Math.random() * 2 ** 32).toString(16).padStart(8, "0");
export const newRequestId = () => run + (sequence += 1).toString(16).padStart(8, "0");

/** Asks a directory for the addresses of boxes. */
export async function resolve(directory, { name, region, zone }) {
    const query = new URLSearchParams({ name, region, zone });
    const answer = await fetch(`http://${directory}/v1/resolve?${query}`, { signal: AbortSignal.timeout(1000) });
    if (answer.status !== 200) {
        throw new Error(`directory answered ${answer.status}`);
    }
    const { addresses, ttl } = await answer.json();
    return { addresses, ttl: ttl.endsWith("ms") ? parseFloat(ttl) : parseFloat(ttl) * 1000 };
}

/**
 * Sends one request. Resolves with { kind: "answer", status, headers, body } once the answer is whole, with
 * { kind: "closed", how } if the connection ended before, or with { kind: "deadline" }. All with sentAt and endedAt.
 */
export function send(address, { method, path, host, headers = {}, body = "", deadline, connectTimeout = 1000 }) {
    const [ip, port] = address.split(":");
    const requestId = headers["Request-Id"] ?? newRequestId();
    return new Promise(done => {
        const startedAt = performance.now();
        const socket = connect({ host: ip, port: Number(port), noDelay: true });
        let received = Buffer.alloc(0);
        let sentAt;
        let isSettled = false;
        const settle = outcome => {
            if (isSettled) {
                return;
            }
            isSettled = true;
            clearTimeout(timer);
            socket.destroy();
            done({ requestId, address, sentAt, endedAt: performance.now(), ...outcome });
        };
        let timer = setTimeout(() => settle({ kind: "closed", how: "no connection" }), connectTimeout);
        socket.on("error", error => settle({ kind: "closed", how: error.code ?? error.message }));
        socket.on("connect", () => {
            clearTimeout(timer);
            sentAt = performance.now();
            timer = setTimeout(() => settle({ kind: "deadline" }), Math.max(1, deadline - (sentAt - startedAt)));
            const lines = { "Host": host, "Request-Id": requestId, "Deadline-Ms": String(Math.floor(deadline)), ...headers };
            if (body.length > 0 || !["GET", "DELETE", "HEAD"].includes(method)) {
                lines["Content-Length"] = String(Buffer.byteLength(body));
            }
            const head = Object.entries(lines).map(([field, value]) => `${field}: ${value}\r\n`).join("");
            socket.write(`${method} ${path} HTTP/1.1\r\n${head}\r\n${body}`);
        });
        socket.on("data", chunk => {
            received = Buffer.concat([received, chunk]);
            const answer = parse(received, method, false);
            if (answer !== undefined) {
                settle({ kind: "answer", ...answer });
            }
        });
        socket.on("end", () => {
            const answer = parse(received, method, true);
            settle(answer === undefined ? { kind: "closed", how: "end" } : { kind: "answer", ...answer });
        });
    });
}

/** The whole answer at the beginning of the bytes; undefined if it isn't whole. */
export function parse(bytes, method, hasEnded) {
    const end = bytes.indexOf("\r\n\r\n");
    if (end < 0) {
        return undefined;
    }
    const [first, ...lines] = bytes.toString("latin1", 0, end).split("\r\n");
    const status = Number(first.split(" ")[1]);
    const headers = Object.fromEntries(lines.map(line => {
        const colon = line.indexOf(":");
        return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
    }));
    const rest = bytes.subarray(end + 4);
    if (method === "HEAD" || status === 204 || status === 304) {
        return { status, headers, body: "", length: end + 4 };
    }
    if (headers["content-length"] !== undefined) {
        const length = Number(headers["content-length"]);
        return rest.length < length
            ? undefined
            : { status, headers, body: rest.toString("latin1", 0, length), length: end + 4 + length };
    }
    return hasEnded ? { status, headers, body: rest.toString("latin1"), length: bytes.length } : undefined;
}

/**
 * Stand-in for a client on the users' platform: asks the directory, keeps
 * connections or opens new ones, and retries as the platform's pages say.
 */

import { Agent, request as httpRequest } from "node:http";

/** What a client got for one attempt. */
export interface ClientAnswer {
    /** 0 when the connection ended without a whole answer. */
    readonly status: number;
    readonly headers: NodeJS.Dict<string | string[]>;
    readonly body: string;
}

/** One attempt of a client. */
export interface ClientRequest {
    readonly address: string;
    readonly host: string;
    readonly path: string;
    readonly method?: string;
    readonly requestId: string;
    readonly affinityKey?: string;
    readonly deadlineMs?: number;
    readonly body?: string;
    /** Send the body in chunks instead of with a length. */
    readonly chunked?: boolean;
    /** Close the connection after so many milliseconds. */
    readonly leaveAfterMs?: number;
    readonly agent?: Agent;
}

/** Makes one attempt. Never rejects. */
export function sendRequest(options: ClientRequest): Promise<ClientAnswer> {
    const [host, port] = options.address.split(":");
    const headers: Record<string, string> = { "Host": options.host, "Request-Id": options.requestId };
    if (options.affinityKey !== undefined) {
        headers["Affinity-Key"] = options.affinityKey;
    }
    if (options.deadlineMs !== undefined) {
        headers["Deadline-Ms"] = String(options.deadlineMs);
    }
    if (options.body !== undefined && options.chunked !== true) {
        headers["Content-Length"] = String(Buffer.byteLength(options.body));
    }
    return new Promise(resolve => {
        const lost = { status: 0, headers: {}, body: "" };
        const request = httpRequest({
            host,
            port: Number(port),
            path: options.path,
            method: options.method ?? "GET",
            headers,
            agent: options.agent ?? false,
        });
        request.on("error", () => resolve(lost));
        request.on("response", response => {
            const chunks: Buffer[] = [];
            response.on("data", (chunk: Buffer) => chunks.push(chunk));
            response.on("error", () => resolve(lost));
            response.on("end", () => {
                const body = Buffer.concat(chunks).toString("utf8");
                resolve({ status: response.statusCode ?? 0, headers: response.headers, body });
            });
        });
        request.end(options.body);
        if (options.leaveAfterMs !== undefined) {
            setTimeout(() => {
                request.destroy();
                resolve(lost);
            }, options.leaveAfterMs);
        }
    });
}

/** Asks a directory which boxes to use. */
export async function lookUp(
    directory: string,
    place: { readonly name: string; readonly region: string; readonly zone: string; },
): Promise<{ readonly status: number; readonly addresses: readonly string[]; readonly ttl: string; }> {
    const query = new URLSearchParams({ ...place }).toString();
    const answer = await sendRequest({
        address: directory,
        host: directory,
        path: `/v1/resolve?${query}`,
        requestId: "look-up",
    });
    const body = answer.status === 200 ? JSON.parse(answer.body) as { addresses: string[]; ttl: string; } : undefined;
    return { status: answer.status, addresses: body?.addresses ?? [], ttl: body?.ttl ?? "" };
}

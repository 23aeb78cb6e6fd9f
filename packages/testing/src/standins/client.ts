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
    /** Key of the client's customer. */
    readonly credential?: string | string[];
    /** Headers that a client should not send, or not so. */
    readonly extraHeaders?: Readonly<Record<string, string>>;
    readonly deadlineMs?: number;
    readonly body?: string;
    /** Send the body in chunks instead of with a length. */
    readonly chunked?: boolean;
    /** Close the connection after so many milliseconds. */
    readonly disconnectAfterMs?: number;
    readonly agent?: Agent;
}

/** Makes one attempt. Never rejects. */
export function sendRequest(options: ClientRequest): Promise<ClientAnswer> {
    const [host, port] = options.address.split(":");
    const headers: Record<string, string | string[]> = {
        "Host": options.host,
        "Request-Id": options.requestId,
        ...options.extraHeaders,
    };
    if (options.credential !== undefined) {
        headers.Credential = options.credential;
    }
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
        if (options.disconnectAfterMs !== undefined) {
            setTimeout(() => {
                request.destroy();
                resolve(lost);
            }, options.disconnectAfterMs);
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

/** What a client asks, without where and by which id. */
type ClientCall = Omit<ClientRequest, "address" | "requestId" | "agent">;

/** A client that looks up first, chooses at random, and retries. */
export interface Client {
    readonly call: (call: ClientCall, options: { readonly idempotent: boolean; }) => Promise<ClientAnswer>;
    /** Attempts so far, retries included. */
    readonly attempts: () => number;
    readonly close: () => void;
}

export interface ClientOptions {
    readonly directories: readonly string[];
    readonly region: string;
    readonly zone: string;
    /** Keep connections for many requests, or open a new one for each. */
    readonly pooled: boolean;
    readonly random: () => number;
    readonly retries?: number;
    /** Prefix of the ids of its attempts. */
    readonly name: string;
}

const promises = new Set([408, 421, 429, 503]);
const longestRetryAfter = 500;

/** Creates a client. Every attempt has an id of its own. */
export function createClient(options: ClientOptions): Client {
    const agent = new Agent({ keepAlive: options.pooled });
    const failed = new Set<string>();
    let attempts = 0;

    return {
        async call(call, { idempotent }) {
            for (let left = options.retries ?? 1;; left--) {
                const address = await chooseBox(call.host);
                const answer = address === undefined ? unanswered : await attempt(address, call);
                const mayRetry = idempotent ? answer.status === 0 || answer.status >= 500 : promises.has(answer.status);
                if (left <= 0 || !mayRetry && !promises.has(answer.status)) {
                    return answer;
                }
                await waitAsTold(answer);
            }
        },
        attempts: () => attempts,
        close: () => agent.destroy(),
    };

    async function attempt(address: string, call: ClientCall): Promise<ClientAnswer> {
        attempts += 1;
        const requestId = `${options.name}-${attempts}`;
        const answer = await sendRequest({ ...call, address, requestId, agent: options.pooled ? agent : undefined });
        if (answer.status === 0) {
            failed.add(address);
        }
        return answer;
    }

    /** Asks the directories in turn; boxes that failed are avoided as long as there are others. */
    async function chooseBox(name: string): Promise<string | undefined> {
        for (const directory of options.directories) {
            const { addresses } = await lookUp(directory, { name, region: options.region, zone: options.zone });
            const sound = addresses.filter(address => !failed.has(address));
            const usable = sound.length > 0 ? sound : addresses;
            if (usable.length > 0) {
                return usable[Math.floor(options.random() * usable.length)];
            }
        }
        return undefined;
    }
}

const unanswered: ClientAnswer = { status: 0, headers: {}, body: "" };

async function waitAsTold(answer: ClientAnswer): Promise<void> {
    const told = Number(answer.headers["retry-after"] ?? 0) * 1000;
    await new Promise(resolve => setTimeout(resolve, Math.min(longestRetryAfter, told)));
}

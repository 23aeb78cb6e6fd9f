/**
 * Stand-in for a client on the users' platform: looks up boxes in the directory, keeps connections open or opens new
 * ones, and retries by the platform's rules.
 */

import { Agent, request as httpRequest } from "node:http";

/** The answer to one attempt, as the client received it. */
export interface ClientAnswer {
    /** 0 when the connection ended before the answer was complete. */
    readonly status: number;
    readonly headers: NodeJS.Dict<string | string[]>;
    readonly body: string;
    /** Set if the client closed the connection without having an answer. */
    readonly hasLeft?: true;
}

/** One attempt of a client, and how to send it. */
export interface ClientRequest {
    readonly address: string;
    readonly host: string;
    readonly path: string;
    readonly method?: string;
    readonly requestId: string;
    readonly affinityKey?: string;
    /** API key of the client's customer; a list sends the header several times. */
    readonly credential?: string | string[];
    /** Further headers, also such as a correct client does not send. */
    readonly extraHeaders?: Readonly<Record<string, string>>;
    readonly deadlineMs?: number;
    readonly body?: string;
    /** Send the body in chunks instead of with a length. */
    readonly chunked?: boolean;
    /** Close the connection after this many milliseconds. */
    readonly disconnectAfterMs?: number;
    readonly agent?: Agent;
}

/** Makes one attempt. Never rejects: a lost answer has status 0. */
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
                resolve({ ...lost, hasLeft: true });
            }, options.disconnectAfterMs);
        }
    });
}

/** Asks a box's directory for the addresses of boxes. */
export async function lookUp(
    directory: string,
    target: { readonly name: string; readonly region: string; readonly zone: string; },
): Promise<{ readonly status: number; readonly addresses: readonly string[]; readonly ttl: string; }> {
    const query = new URLSearchParams({ ...target }).toString();
    const answer = await sendRequest({
        address: directory,
        host: directory,
        path: `/v1/resolve?${query}`,
        requestId: "look-up",
    });
    const body = answer.status === 200 ? JSON.parse(answer.body) as { addresses: string[]; ttl: string; } : undefined;
    return { status: answer.status, addresses: body?.addresses ?? [], ttl: body?.ttl ?? "" };
}

/** A request without its address and id, which each attempt chooses. */
type ClientCall = Omit<ClientRequest, "address" | "requestId" | "agent">;

/** A client that looks up boxes, chooses one at random, and retries. */
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
    /** True to reuse connections, false to open a new one for each request. */
    readonly pooled: boolean;
    readonly random: () => number;
    readonly retries?: number;
    /** Prefix of the ids of its attempts. */
    readonly name: string;
}

/** Statuses by which a box promises that the request did not run. */
const notRunStatuses = new Set([408, 421, 429, 503]);
/** Milliseconds; longer values of Retry-After are cut, so that tests stay short. */
const maxRetryAfter = 500;

/** Creates a client. Each attempt has its own request id. */
export function createClient(options: ClientOptions): Client {
    const agent = new Agent({ keepAlive: options.pooled });
    const failed = new Set<string>();
    let attempts = 0;

    return {
        async call(call, { idempotent }) {
            for (let retriesLeft = options.retries ?? 1;; retriesLeft--) {
                const address = await chooseBox(call.host);
                const answer = address === undefined ? unanswered : await attempt(address, call);
                const mayRetry = idempotent
                    ? answer.status === 0 || answer.status >= 500
                    : notRunStatuses.has(answer.status);
                if (retriesLeft <= 0 || !mayRetry && !notRunStatuses.has(answer.status)) {
                    return answer;
                }
                await waitForRetryAfter(answer);
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

    /** Asks the directories in order until one names boxes; avoids boxes that failed while there are others. */
    async function chooseBox(name: string): Promise<string | undefined> {
        for (const directory of options.directories) {
            const { addresses } = await lookUp(directory, { name, region: options.region, zone: options.zone });
            const healthy = addresses.filter(address => !failed.has(address));
            const usable = healthy.length > 0 ? healthy : addresses;
            if (usable.length > 0) {
                return usable[Math.floor(options.random() * usable.length)];
            }
        }
        return undefined;
    }
}

const unanswered: ClientAnswer = { status: 0, headers: {}, body: "" };

async function waitForRetryAfter(answer: ClientAnswer): Promise<void> {
    const retryAfter = Number(answer.headers["retry-after"] ?? 0) * 1000;
    await new Promise(resolve => setTimeout(resolve, Math.min(maxRetryAfter, retryAfter)));
}

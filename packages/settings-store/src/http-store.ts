/**
 * The store of the settings tree by JSON over HTTP: `GET /v1/entries/KEY`,
 * `POST /v1/entries/KEY` to create, and `PUT /v1/entries/KEY` with
 * `If-Match: VERSION`.
 *
 * Owns its connections, which close with the signal; relies on `undici`.
 */

import { Agent, errors, request } from "undici";
import { callWithTimeout } from "./call-with-timeout.js";
import type { SettingsStore, StoredObject, StoreOutcome } from "./settings-store.js";

/** Milliseconds until a connection must be up; an operator waits for it. */
const connectTimeout = 1000;

/** Codes of errors that show that nothing was sent. */
const notSentCodes = new Set(["ECONNREFUSED", "EHOSTUNREACH", "ENETUNREACH", "UND_ERR_CONNECT_TIMEOUT"]);

interface Call {
    readonly method: "GET" | "POST" | "PUT";
    readonly path: string;
    readonly headers?: Record<string, string>;
    readonly body?: unknown;
    readonly timeout: number;
    readonly signal: AbortSignal;
}

/** Creates a client of the store at a URL such as `http://127.0.0.1:7000`. It closes when the signal aborts. */
export function createHttpStore(url: string, signal: AbortSignal): SettingsStore {
    const agent = new Agent({ connections: 4, connect: { timeout: connectTimeout } });
    signal.addEventListener("abort", () => void agent.destroy().catch(() => undefined), { once: true });

    return {
        get: (key, options) => call<StoredObject>({ method: "GET", path: pathOf(key), ...options }),
        create: (key, body, options) => call<StoredObject>({ method: "POST", path: pathOf(key), body, ...options }),
        update: (key, version, body, options) =>
            call<StoredObject>({
                method: "PUT",
                path: pathOf(key),
                headers: { "if-match": String(version) },
                body,
                ...options,
            }),
    };

    async function call<Value>({ method, path, headers, body, timeout, signal: caller }: Call) {
        try {
            return await callWithTimeout([caller], timeout, async bounded => {
                const response = await request(`${url}${path}`, {
                    method,
                    headers: { "content-type": "application/json", ...headers },
                    body: body === undefined ? undefined : JSON.stringify(body),
                    dispatcher: agent,
                    signal: bounded,
                });
                return outcomeOf<Value>(response.statusCode, await response.body.text(), method);
            });
        }
        catch (error) {
            return failureOf<Value>(error, method);
        }
    }
}

function pathOf(key: string): string {
    return `/v1/entries/${key.split("/").map(encodeURIComponent).join("/")}`;
}

function outcomeOf<Value>(status: number, text: string, method: Call["method"]): StoreOutcome<Value> {
    switch (status) {
        case 200:
        case 201:
            return { kind: "done", value: JSON.parse(text) as Value };
        case 404:
            return { kind: "absent" };
        case 409:
        case 412:
            return { kind: "conflict" };
        case 429:
        case 503:
            return { kind: "unavailable", reason: `status ${status}` };
        default:
            return method === "GET"
                ? { kind: "unavailable", reason: `status ${status}` }
                : { kind: "unknown", reason: `status ${status}` };
    }
}

function failureOf<Value>(error: unknown, method: Call["method"]): StoreOutcome<Value> {
    const code = error instanceof errors.UndiciError || error instanceof Error
        ? (error as { code?: string; }).code ?? error.name
        : String(error);
    const notSent = notSentCodes.has(code);
    return method === "GET" || notSent
        ? { kind: "unavailable", reason: code }
        : { kind: "unknown", reason: code };
}

/**
 * Tells when a request of Node's HTTP client has ended without an answer and without an error.
 *
 * Node reports neither when the other side changes the protocol and nobody listens for that: only the request's `close`
 * follows, and a promise that waits for the answer or the error would stay pending for good.
 *
 * Owns nothing.
 */

import type { ClientRequest } from "node:http";

/** Calls the listener once if the request closes without a `response` and without an `error`. */
export function onClosedUnanswered(request: ClientRequest, listener: () => void): void {
    let isReported = false;
    const report = () => {
        isReported = true;
    };
    request.once("response", report);
    request.once("error", report);
    request.once("close", () => {
        if (!isReported) {
            listener();
        }
    });
}
